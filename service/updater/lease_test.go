package updater

import (
	"fmt"
	"testing"
	"time"

	"pgregory.net/rapid"

	"celerygap.example/lib/codec"
	"celerygap.example/lib/identifier"
)

// leaseCall is a store call of one holder; ghosts are writes that were reported as uncertain and may still arrive.
type leaseCall struct {
	holder  int
	command LeaseCommand
	ghost   bool
}

// leaseWorld runs several holders against one lease object, with virtual time and any order of events.
type leaseWorld struct {
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

func newLeaseWorld(n int) *leaseWorld {
	w := &leaseWorld{
		now: time.Unix(1000, 0), wakes: make([]time.Time, n), lastValid: make([]time.Time, n),
		fencing: make(map[identifier.Fencing]int),
	}
	for i := range n {
		w.holders = append(w.holders, NewLease(LeaseConfig{Holder: identifier.HostID(fmt.Sprint(i))}))
	}
	return w
}

func (w *leaseWorld) handle(holder int, event LeaseEvent) {
	for _, command := range w.holders[holder].Handle(w.now, event) {
		if wake, ok := command.(SetLeaseTimer); ok {
			w.wakes[holder] = wake.At
			continue
		}
		if write, ok := command.(WriteLease); ok && write.Lease.Holder == "" {
			w.lastValid[holder] = time.Time{}
		}
		w.calls = append(w.calls, leaseCall{holder: holder, command: command})
	}
}

func (w *leaseWorld) execute(command LeaseCommand) LeaseEvent {
	write, ok := command.(WriteLease)
	switch {
	case !ok && w.version == 0:
		return LeaseRead{Result: StoreMissing}
	case !ok:
		return LeaseRead{Result: StoreOK, Version: w.version, Lease: w.object}
	case write.Expected != w.version:
		return LeaseWritten{Result: StoreConflict, Version: w.version, Lease: w.object}
	}
	w.version++
	w.object = write.Lease
	return LeaseWritten{Result: StoreOK, Version: w.version}
}

func (w *leaseWorld) call(t *rapid.T, faults bool) {
	if len(w.calls) == 0 {
		t.Skip("no call")
	}
	i := rapid.IntRange(0, len(w.calls)-1).Draw(t, "call")
	chosen := w.calls[i]
	w.calls = append(w.calls[:i:i], w.calls[i+1:]...)
	result := StoreOK
	if faults {
		result = rapid.SampledFrom([]StoreResult{StoreDown, StoreOutcomeUnknown, StoreMissing}).Draw(t, "result")
	}
	_, write := chosen.command.(WriteLease)
	event := LeaseEvent(LeaseRead{Result: StoreDown})
	switch {
	case result == StoreOK:
		event = w.execute(chosen.command)
	case write && result == StoreMissing:
		// The write is late: its holder sees an uncertain result before it takes effect.
		w.calls = append(w.calls, leaseCall{command: chosen.command, ghost: true})
		event = LeaseWritten{Result: StoreOutcomeUnknown}
	case write && result == StoreOutcomeUnknown:
		w.execute(chosen.command)
		event = LeaseWritten{Result: StoreOutcomeUnknown}
	case write:
		event = LeaseWritten{Result: StoreDown}
	}
	if !chosen.ghost {
		w.handle(chosen.holder, event)
	}
}

// check records who may send orders now, and fails if two may, or if one may before the orders of another have ended.
func (w *leaseWorld) check(t *rapid.T) {
	for i, lease := range w.holders {
		grant := lease.Grant()
		if grant.Until.IsZero() {
			continue
		}
		if owner, ok := w.fencing[grant.Fencing]; ok && owner != i {
			t.Fatalf("holders %d and %d have the fencing number %d", owner, i, grant.Fencing)
		}
		w.fencing[grant.Fencing] = i
		w.lastValid[i] = earlier(grant.Until, w.now)
		if !grant.Valid(w.now) {
			continue
		}
		for other, last := range w.lastValid {
			if other != i && !last.IsZero() && w.now.Sub(last) < DefaultOrderFlight {
				t.Fatalf("holder %d may send orders at %s, holder %d could at %s", i, w.now, other, last)
			}
		}
	}
}

// Guards against two holders that may send orders at one time, or a successor that does not wait for the orders of a
// frozen holder, with lost and late store responses and holders that wake at any time.
func TestLeaseHasOneHolder(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		w := newLeaseWorld(3)
		t.Repeat(map[string]func(*rapid.T){
			"": w.check,
			"want": func(t *rapid.T) {
				wanted := rapid.Bool().Draw(t, "wanted")
				w.handle(rapid.IntRange(0, 2).Draw(t, "holder"), LeaseWanted{Wanted: wanted})
			},
			"call": func(t *rapid.T) { w.call(t, false) }, "call_too": func(t *rapid.T) { w.call(t, false) },
			"fail": func(t *rapid.T) { w.call(t, true) },
			"advance": func(t *rapid.T) {
				w.now = w.now.Add(rapid.SampledFrom([]time.Duration{time.Second, 2 * time.Second, 9 * time.Second, 16 * time.Second}).Draw(t, "time"))
			},
			"wake": func(t *rapid.T) {
				holder := rapid.IntRange(0, 2).Draw(t, "holder")
				if w.now.Before(w.wakes[holder]) {
					t.Skip("not due")
				}
				w.handle(holder, LeaseTimerFired{})
			},
		})
	})
}

// Guards against orders of a machine that was suspended past its lease: its monotonic clock has not moved.
func TestSuspensionEndsTheGrant(t *testing.T) {
	for _, c := range []struct {
		steady, day time.Duration
		want        bool
	}{
		{time.Second, time.Second, true},
		{time.Second, -time.Minute, false},
		{-time.Second, time.Minute, false},
	} {
		if got := stillValid(c.steady, c.day); got != c.want {
			t.Errorf("stillValid(%s, %s) = %t", c.steady, c.day, got)
		}
	}
}
