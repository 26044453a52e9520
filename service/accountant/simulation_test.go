package accountant_test

import (
	"fmt"
	"maps"
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"celerygap.example/lib/codec"
	"celerygap.example/lib/identifier"
	"celerygap.example/service/accountant"
	"celerygap.example/service/connector"
)

const (
	windowLength = 5 * time.Second
	step         = 50 * time.Millisecond
	due          = 10 * time.Second
	// detection is how long other hosts take a dead host for live.
	detection = 2 * time.Second
)

var (
	windows = accountant.Windows{Length: windowLength}
	epoch   = time.Unix(1_767_000_000, 0)
)

// call is a report that reached the platform.
type call struct {
	at     time.Duration
	holder int
	counts accountant.Counts
}

// host is one host of a simulation.
type host struct {
	process     identifier.Incarnation
	dead        bool
	diedAt      time.Duration
	frozenUntil time.Duration
	counter     *accountant.Counter
	collector   *accountant.Collector
	reporter    *accountant.Reporter
	// inbox holds what arrives while the host is frozen.
	inbox []func()
}

// simulation plays some hosts, a store and the platform's API in virtual time.
type simulation struct {
	t      *testing.T
	random *rand.Rand
	now    time.Duration
	hosts  []*host
	// holder is the host with the lease; -1 means none.
	holder int
	later  map[time.Duration][]func()

	version int64
	ledger  codec.UsageLedger
	calls   map[identifier.UsageWindow][]call
	truth   map[identifier.UsageWindow]accountant.Counts

	// The faults.
	loseStoreResponse func() bool
	storeDown         func() bool
	loseCallResponse  func() bool
	// cut reports whether messages from a host to another one are lost.
	cut func(from, to int) bool
	// messageDelay returns how long a message takes.
	messageDelay func() time.Duration
}

func newSimulation(t *testing.T, seed uint64, hosts int) *simulation {
	never := func() bool { return false }
	s := &simulation{
		t: t, random: rand.New(rand.NewPCG(seed, 1)), later: make(map[time.Duration][]func()),
		calls: make(map[identifier.UsageWindow][]call), truth: make(map[identifier.UsageWindow]accountant.Counts),
		loseStoreResponse: never, storeDown: never, loseCallResponse: never, cut: func(int, int) bool { return false },
	}
	s.messageDelay = func() time.Duration { return step }
	for range hosts {
		h := &host{}
		s.hosts = append(s.hosts, h)
		s.start(h)
	}
	return s
}

func (s *simulation) start(h *host) {
	*h = host{
		process: h.process + 1, counter: accountant.NewCounter(windows), collector: accountant.NewCollector(windows),
		reporter: accountant.NewReporter(windows),
	}
}

func (s *simulation) time() time.Time { return epoch.Add(s.now) }

func (s *simulation) after(delay time.Duration, f func()) {
	at := s.now + max(delay, step).Truncate(step)
	s.later[at] = append(s.later[at], f)
}

// deliver runs f on a host after a delay; a frozen host runs it when it resumes, another process of the host never.
func (s *simulation) deliver(to int, delay time.Duration, f func(h *host)) {
	h, process := s.hosts[to], s.hosts[to].process
	s.after(delay, func() {
		run := func() {
			if !h.dead && h.process == process {
				f(h)
			}
		}
		if s.now < h.frozenUntil {
			h.inbox = append(h.inbox, run)
			return
		}
		run()
	})
}

// collectors returns the first two hosts that count as live.
func (s *simulation) collectors() []accountant.Destination {
	var found []accountant.Destination
	for i, h := range s.hosts {
		if (!h.dead || s.now < h.diedAt+detection) && len(found) < 2 {
			found = append(found, accountant.Destination{Host: name(i), Incarnation: h.process})
		}
	}
	return found
}

func name(i int) identifier.HostID { return identifier.HostID(fmt.Sprint("h", i)) }

func index(host identifier.HostID) (i int) {
	_, _ = fmt.Sscanf(string(host), "h%d", &i)
	return i
}

func (s *simulation) kill(i int) { s.hosts[i].dead, s.hosts[i].diedAt = true, s.now }

// run plays until a time; each host begins requests of some customers, and at calls f at each step.
func (s *simulation) run(until time.Duration, f func()) {
	for ; s.now < until; s.now += step {
		if f != nil {
			f()
		}
		for _, f := range s.later[s.now] {
			f()
		}
		delete(s.later, s.now)
		for i, h := range s.hosts {
			if h.dead || s.now < h.frozenUntil {
				continue
			}
			for _, f := range h.inbox {
				f()
			}
			h.inbox = nil
			if s.random.Float64() < 0.1 {
				customer := identifier.CustomerName(fmt.Sprint("c", s.random.IntN(6)))
				h.counter.Started(customer, s.time())
				window := windows.At(s.time())
				if s.truth[window] == nil {
					s.truth[window] = make(accountant.Counts)
				}
				s.truth[window][customer]++
			}
			if s.now%(200*time.Millisecond) == 0 {
				s.tick(i, h)
			}
		}
	}
}

func (s *simulation) tick(i int, h *host) {
	for _, send := range h.counter.Due(s.time(), s.collectors(), false) {
		to := index(send.To.Host)
		lost := s.cut(i, to) || s.hosts[to].dead
		message := codec.UsageCounts{From: name(i), Process: h.process, Windows: send.Windows}
		if !lost {
			s.deliver(to, s.messageDelay(), func(h *host) { h.collector.Received(s.time(), message) })
		}
		s.deliver(i, 400*time.Millisecond, func(h *host) { h.counter.Ended(send.To, !lost) })
	}
	first, ok := h.collector.First()
	if !ok {
		first = windows.At(epoch)
	}
	s.handle(i, accountant.Tick{Holding: s.holder == i, Earliest: min(first, windows.At(epoch))})
}

func (s *simulation) handle(i int, event accountant.Event) {
	for _, command := range s.hosts[i].reporter.Handle(s.time(), event) {
		switch c := command.(type) {
		case accountant.ReadLedger:
			s.deliver(i, step, func(*host) { s.handle(i, s.read()) })
		case accountant.WriteLedger:
			s.after(step, func() {
				result := s.write(c)
				s.deliver(i, step, func(*host) { s.handle(i, result) })
			})
		case accountant.Collect:
			for _, to := range s.collectors() {
				if other := s.hosts[index(to.Host)]; !other.dead && index(to.Host) != i {
					for _, counts := range other.collector.Reply(s.hosts[i].collector.Query(c.Window)).Counts {
						s.hosts[i].collector.Received(s.time(), counts)
					}
				}
			}
			sum, _ := s.hosts[i].collector.Sum(c.Window)
			s.deliver(i, step, func(*host) { s.handle(i, accountant.Collected{Window: c.Window, Counts: sum}) })
		case accountant.Report:
			s.report(i, c)
		}
	}
}

func (s *simulation) read() accountant.LedgerRead {
	switch {
	case s.storeDown():
		return accountant.LedgerRead{Err: connector.ErrUnavailable}
	case s.version == 0:
		return accountant.LedgerRead{Err: connector.ErrNotFound}
	}
	return accountant.LedgerRead{Version: s.version, Ledger: s.ledger}
}

func (s *simulation) write(c accountant.WriteLedger) accountant.LedgerWritten {
	switch {
	case s.storeDown():
		return accountant.LedgerWritten{Result: accountant.WriteFailed}
	case c.Expected != s.version:
		return accountant.LedgerWritten{Result: accountant.WriteConflict, Version: s.version, Ledger: s.ledger}
	}
	require.LessOrEqual(s.t, len(c.Ledger.Open), 8)
	s.version++
	s.ledger = c.Ledger
	if s.loseStoreResponse() {
		return accountant.LedgerWritten{Result: accountant.WriteUnknown}
	}
	return accountant.LedgerWritten{Result: accountant.WriteOK, Version: s.version}
}

// report makes a call, which the check of the lease immediately before it may prevent.
func (s *simulation) report(i int, c accountant.Report) {
	outcome := connector.DutyFailed
	if s.holder == i {
		window := c.Window.Window
		s.calls[window] = append(s.calls[window], call{s.now, i, maps.Clone(c.Window.Counts)})
		outcome = connector.DutyAccepted
		if s.loseCallResponse() {
			outcome = connector.DutyOutcomeUnknown
		}
	}
	s.deliver(i, 100*time.Millisecond, func(*host) {
		s.handle(i, accountant.CallEnded{Window: c.Window.Window, Outcome: outcome})
	})
}

// check checks that each window that ended by a time was reported in time, with one content, and with an error of at most a
// fraction of the truth plus lost requests.
func (s *simulation) check(until, late time.Duration, fraction float64, lost int64) (missing int64) {
	for window := windows.At(epoch); !windows.End(window).After(epoch.Add(until)); window++ {
		calls := s.calls[window]
		require.NotEmpty(s.t, calls, "window %d was not reported", window)
		require.LessOrEqual(s.t, calls[0].at-windows.End(window).Sub(epoch), late, "window %d was late", window)
		for _, c := range calls {
			require.Equal(s.t, calls[0].counts, c.counts, "window %d was reported with two contents", window)
		}
		for customer, truth := range s.truth[window] {
			require.LessOrEqual(s.t, calls[0].counts[customer], truth, "window %d", window)
		}
		truth, reported := sum(s.truth[window]), sum(calls[0].counts)
		missing += truth - reported
		require.LessOrEqual(s.t, float64(truth-reported), fraction*float64(truth)+float64(lost), "window %d", window)
	}
	return missing
}

func sum(counts accountant.Counts) (total int64) {
	for _, customer := range slices.Sorted(maps.Keys(counts)) {
		total += counts[customer]
	}
	return total
}
