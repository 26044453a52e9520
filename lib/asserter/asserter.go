package asserter

import (
	"fmt"
	"sync"
	"sync/atomic"
)

// Invariant names a property that must hold whenever it is checked.
type Invariant string

// The invariants: one for each promise in section 1.1 of docs/design.md, and further ones for the state on which the
// promises rest.
const (
	LabelsMatchChunks       Invariant = "labels_match_chunks"
	StalenessWithinBound    Invariant = "staleness_within_bound"
	SlotDeliveredOnce       Invariant = "slot_delivered_once"
	ResponseComplete        Invariant = "answer_whole"
	NotRunIsTrue            Invariant = "not_run_is_true"
	PermitUsedOnce          Invariant = "permit_used_once"
	LeavingGetsNoWork       Invariant = "leaving_gets_no_work"
	ShutdownCutsNoRequest   Invariant = "shutdown_cuts_no_request"
	RevisionNeverReverts    Invariant = "revision_never_reverts"
	OrderWithinLease        Invariant = "order_within_lease"
	SnapshotNeverGoesBack   Invariant = "snapshot_never_goes_back"
	FinalResponseImmediate  Invariant = "final_answer_immediate"
	ProvenRequestNeverSent  Invariant = "proven_request_never_sent"
	InFlightNeverNegative   Invariant = "in_flight_never_negative"
	RetryBudgetNotOverspent Invariant = "retry_budget_not_overspent"
	EventsInOrder           Invariant = "events_in_order"
	ItemListedOnce          Invariant = "item_listed_once"
	ListedStaysListed       Invariant = "listed_stays_listed"
)

// All lists every invariant.
var All = []Invariant{
	LabelsMatchChunks, StalenessWithinBound, SlotDeliveredOnce, ResponseComplete, NotRunIsTrue, PermitUsedOnce,
	LeavingGetsNoWork, ShutdownCutsNoRequest, RevisionNeverReverts, OrderWithinLease, SnapshotNeverGoesBack,
	FinalResponseImmediate, ProvenRequestNeverSent, InFlightNeverNegative, RetryBudgetNotOverspent, EventsInOrder,
	ItemListedOnce, ListedStaysListed,
}

// Handler receives the invariant and the detail of each failed check.
type Handler func(Invariant, string)

// Counts is the number of checks of one invariant and how many of them failed.
type Counts struct {
	Checked int64
	Failed  int64
}

type counter struct {
	checked atomic.Int64
	failed  atomic.Int64
}

var (
	counters = newCounters()
	mu       sync.RWMutex
	handler  Handler = func(Invariant, string) {}
)

func newCounters() map[Invariant]*counter {
	m := make(map[Invariant]*counter, len(All))
	for _, name := range All {
		m[name] = &counter{}
	}
	return m
}

// SetHandler replaces the handler of failed checks and returns a function that restores the previous one.
func SetHandler(h Handler) (restore func()) {
	mu.Lock()
	defer mu.Unlock()
	former := handler
	handler = h
	return func() {
		mu.Lock()
		defer mu.Unlock()
		handler = former
	}
}

// Check counts a check of an invariant and returns holds. If holds is false, it counts a failure and calls the handler
// with the formatted detail.
func Check(name Invariant, holds bool, format string, args ...any) bool {
	c := counters[name]
	c.checked.Add(1)
	if holds {
		return true
	}
	c.failed.Add(1)
	mu.RLock()
	h := handler
	mu.RUnlock()
	h(name, fmt.Sprintf(format, args...))
	return false
}

// Read returns the counts of one invariant.
func Read(name Invariant) Counts {
	c := counters[name]
	return Counts{Checked: c.checked.Load(), Failed: c.failed.Load()}
}

// Failures returns the number of failed checks of all invariants.
func Failures() int64 {
	var sum int64
	for _, c := range counters {
		sum += c.failed.Load()
	}
	return sum
}
