package limiter

import (
	"time"

	"celerygap.example/lib/codec"
	"celerygap.example/lib/identifier"
	"celerygap.example/lib/refuser"
)

// RequestID identifies a request; it is unique on this host.
type RequestID uint64

// Event is an input of the limiter.
type Event interface{ isEvent() }

// EntryLimits are the limits of one catalogue entry over all hosts.
type EntryLimits struct {
	Entry  identifier.EntryName
	Pool   identifier.PoolName
	Limits codec.Limits
}

// Configured sets the limits of the given entries; those of other entries stay.
type Configured struct{ Entries []EntryLimits }

// ShareSet sets the fraction of an entry's limits that this host may use. A share that is not above zero and at most one is
// ignored.
type ShareSet struct {
	Entry identifier.EntryName
	Share float64
}

// PoolSized reports how many requests a pool can run at the same time and how many run there, those of other hosts included.
// Zero slots mean that the size is unknown. It is expected once a second: each one adjusts the limit of training.
type PoolSized struct {
	Pool  identifier.PoolName
	Slots int
	Load  int
}

// Arrived reports a new request; the command for it is Admitted, Queued or Refused. If it is queued in place of another request, a
// Refused for that one follows. A zero Deadline means none.
type Arrived struct {
	ID    RequestID
	Entry identifier.EntryName
	Class codec.EntryClass
	// Rank orders requests before anything else but the class; lower ones run first, and the usual one is zero.
	Rank int
	// Priority orders the requests of one rank; higher ones run first.
	Priority int
	// Customer is the customer whose share of the entry's queue the request uses; requests without one share one.
	Customer identifier.CustomerName
	Deadline time.Time
}

// CallerLeft removes a waiting request whose caller no longer waits for it.
type CallerLeft struct{ ID RequestID }

// Finished reports that an admitted request has ended, so that another one may run.
type Finished struct{ ID RequestID }

// Tick advances the time of the state machine: tokens accrue and waiting requests expire.
type Tick struct{}

// RetryRequested requests permission to retry an attempt; the command for it is RetryAllowed or RetryDenied.
type RetryRequested struct{ Entry identifier.EntryName }

func (Configured) isEvent()     {}
func (ShareSet) isEvent()       {}
func (PoolSized) isEvent()      {}
func (Arrived) isEvent()        {}
func (CallerLeft) isEvent()     {}
func (Finished) isEvent()       {}
func (Tick) isEvent()           {}
func (RetryRequested) isEvent() {}

// Command is an output of the limiter.
type Command interface{ isCommand() }

// Admitted lets a request run.
type Admitted struct{ ID RequestID }

// Queued makes a request wait until Admitted or Refused follows for it.
type Queued struct{ ID RequestID }

// Refused refuses a request that was not run. RetryAfter is the expected wait, bounded.
type Refused struct {
	ID         RequestID
	Reason     refuser.Reason
	RetryAfter time.Duration
}

// RetryAllowed allows one retry, which counts against the budget.
type RetryAllowed struct{}

// RetryDenied denies a retry; after RetryAfter the budget may allow one again.
type RetryDenied struct{ RetryAfter time.Duration }

func (Admitted) isCommand()     {}
func (Queued) isCommand()       {}
func (Refused) isCommand()      {}
func (RetryAllowed) isCommand() {}
func (RetryDenied) isCommand()  {}
