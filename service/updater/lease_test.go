package updater

import (
	"fmt"
	"testing"
	"time"

	"pgregory.net/rapid"

	"celerygap.example/lib/codec"
	"celerygap.example/lib/identifier"
)

// leaseCall is a store call of one holder; late marks a write whose outcome was reported as unknown and that may still take
// effect.
type leaseCall struct {
	holder  int
	command LeaseCommand
	late    bool
}

// leaseSimulation runs several holders against one lease object, with virtual time and events in any order.
type leaseSimulation struct {
	now     time.Time
	holders []*Lease
	wakes   []time.Time
	calls   []leaseCall
	object  codec.Lease
	version int64
	// lastValid is when each holder could last send an order; zero after a release.
	lastValid []time.Time
	fencing   map[identifier.Fencing]int
}

func newLeaseSimulation(n int) *leaseSimulation {
	s := &leaseSimulation{
		now: time.Unix(1000, 0), wakes: make([]time.Time, n), lastValid: make([]time.Time, n),
		fencing: make(map[identifier.Fencing]int),
	}
	for i := range n {
		s.holders = append(s.holders, NewLease(LeaseConfig{Holder: identifier.HostID(fmt.Sprint(i))}))
	}
	return s
}

func (s *leaseSimulation) handle(holder int, event LeaseEvent) {
	for _, command := range s.holders[holder].Handle(s.now, event) {
		if wake, ok := command.(SetLeaseTimer); ok {
			s.wakes[holder] = wake.At
			continue
		}
		if write, ok := command.(WriteLease); ok && write.Lease.Holder == "" {
			s.lastValid[holder] = time.Time{}
		}
		s.calls = append(s.calls, leaseCall{holder: holder, command: command})
	}
}

func (s *leaseSimulation) execute(command LeaseCommand) LeaseEvent {
	write, ok := command.(WriteLease)
	switch {
	case !ok && s.version == 0:
		return LeaseRead{Result: StoreMissing}
	case !ok:
		return LeaseRead{Result: StoreOK, Version: s.version, Lease: s.object}
	case write.Expected != s.version:
		return LeaseWritten{Result: StoreConflict, Version: s.version, Lease: s.object}
	}
	s.version++
	s.object = write.Lease
	return LeaseWritten{Result: StoreOK, Version: s.version}
}

func (s *leaseSimulation) call(t *rapid.T, faults bool) {
	if len(s.calls) == 0 {
		t.Skip("no call")
	}
	i := rapid.IntRange(0, len(s.calls)-1).Draw(t, "call")
	chosen := s.calls[i]
	s.calls = append(s.calls[:i:i], s.calls[i+1:]...)
	result := StoreOK
	if faults {
		result = rapid.SampledFrom([]StoreResult{StoreUnavailable, StoreOutcomeUnknown, StoreMissing}).Draw(t, "result")
	}
	_, write := chosen.command.(WriteLease)
	event := LeaseEvent(LeaseRead{Result: StoreUnavailable})
	switch {
	case result == StoreOK:
		event = s.execute(chosen.command)
	case write && result == StoreMissing:
		// The write is late: its holder gets the result "outcome unknown" before the write takes effect.
		s.calls = append(s.calls, leaseCall{command: chosen.command, late: true})
		event = LeaseWritten{Result: StoreOutcomeUnknown}
	case write && result == StoreOutcomeUnknown:
		s.execute(chosen.command)
		event = LeaseWritten{Result: StoreOutcomeUnknown}
	case write:
		event = LeaseWritten{Result: StoreUnavailable}
	}
	if !chosen.late {
		s.handle(chosen.holder, event)
	}
}

// check records which holders may send orders now. It fails if two may, or if one may while an order of another holder can
// still be in flight.
func (s *leaseSimulation) check(t *rapid.T) {
	for i, lease := range s.holders {
		grant := lease.Grant()
		if grant.Until.IsZero() {
			continue
		}
		if owner, ok := s.fencing[grant.Fencing]; ok && owner != i {
			t.Fatalf("holders %d and %d both have fencing token %d", owner, i, grant.Fencing)
		}
		s.fencing[grant.Fencing] = i
		s.lastValid[i] = earlier(grant.Until, s.now)
		if !grant.Valid(s.now) {
			continue
		}
		for other, last := range s.lastValid {
			if other != i && !last.IsZero() && s.now.Sub(last) < DefaultMaxOrderDelay {
				t.Fatalf("holder %d may send orders at %s, but holder %d could until %s", i, s.now, other, last)
			}
		}
	}
}

// Guards against two holders that may send orders at the same time, and against a successor that does not wait for the
// orders of a frozen holder. Store responses are lost or late, and timers fire late. The action call_too doubles the
// probability of call.
func TestLeaseHasOneHolder(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		s := newLeaseSimulation(3)
		t.Repeat(map[string]func(*rapid.T){
			"": s.check,
			"want": func(t *rapid.T) {
				wanted := rapid.Bool().Draw(t, "wanted")
				s.handle(rapid.IntRange(0, 2).Draw(t, "holder"), LeaseWanted{Wanted: wanted})
			},
			"call": func(t *rapid.T) { s.call(t, false) }, "call_too": func(t *rapid.T) { s.call(t, false) },
			"fail": func(t *rapid.T) { s.call(t, true) },
			"advance": func(t *rapid.T) {
				s.now = s.now.Add(rapid.SampledFrom([]time.Duration{time.Second, 2 * time.Second, 9 * time.Second, 16 * time.Second}).Draw(t, "time"))
			},
			"wake": func(t *rapid.T) {
				holder := rapid.IntRange(0, 2).Draw(t, "holder")
				if s.now.Before(s.wakes[holder]) {
					t.Skip("not due")
				}
				s.handle(holder, LeaseTimerFired{})
			},
		})
	})
}

// Guards against orders of a machine that was suspended past the end of its lease, during which its monotonic clock stood
// still.
func TestSuspensionEndsTheGrant(t *testing.T) {
	for _, c := range []struct {
		monotonic, wallClock time.Duration
		want                 bool
	}{
		{time.Second, time.Second, true},
		{time.Second, -time.Minute, false},
		{-time.Second, time.Minute, false},
	} {
		if got := stillValid(c.monotonic, c.wallClock); got != c.want {
			t.Errorf("stillValid(%s, %s) = %t", c.monotonic, c.wallClock, got)
		}
	}
}

// Guards against a wait that starts only with the first read although an earlier time is known, and against one that is too short.
func TestWaitForAnotherHolderCountsFromTheTimeKnown(t *testing.T) {
	start := time.Unix(1000, 0)
	for since, want := range map[time.Duration]bool{0: false, DefaultLeaseDuration + DefaultMaxOrderDelay - time.Second: false, DefaultLeaseDuration + DefaultMaxOrderDelay: true} {
		lease := NewLease(LeaseConfig{Holder: "a"})
		lease.Handle(start, LeaseWanted{Wanted: true})
		read := LeaseRead{Result: StoreOK, Version: 3, Lease: codec.Lease{Holder: "b", Renewal: 3, Fencing: 1}, Since: start.Add(-since)}
		lease.Handle(start, read)
		commands := lease.Handle(start.Add(leaseRetry), LeaseTimerFired{})
		if len(commands) != 1 {
			t.Fatalf("since %s: %v", since, commands)
		}
		if _, writes := commands[0].(WriteLease); writes != want {
			t.Fatalf("since %s: %v", since, commands)
		}
	}
}
