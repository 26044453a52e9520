package dispatcher

import (
	"context"
	"fmt"
	"time"

	"celerygap.example/lib/asserter"
	"celerygap.example/lib/identifier"
	"celerygap.example/lib/refuser"
	"celerygap.example/service/connector"
	"celerygap.example/service/isolator"
	"celerygap.example/service/router"
)

// maxPlaceWait bounds the wait for an upstream that is reserved for a suspect or has yet to switch to newer weights.
const maxPlaceWait = 5 * time.Second

// place is where an attempt runs.
type place struct {
	upstream connector.Upstream
	attempt  identifier.AttemptID
	ticket   isolator.Ticket
	alone    bool
}

// findPlace asks the isolator and the router until the attempt may start, and counts the attempt as begun.
func (j *job) findPlace(ctx context.Context, want router.Route) (place, *refuser.Refusal) {
	d := j.d
	p := place{attempt: newAttemptID()}
	waitUntil := time.Now().Add(maxPlaceWait)
	for {
		d.mu.Lock()
		decision := j.ask(&p)
		if decision == nil {
			changed := d.changed
			began, wait := j.begin(&p, want)
			d.mu.Unlock()
			if began {
				return p, nil
			}
			if p.alone {
				// A suspect waits for an idle upstream as long as its deadline allows.
				waitUntil = j.deadline
			}
			if refusal := j.awaitPlace(ctx, changed, waitUntil, wait); refusal != nil {
				j.abandon(&p)
				return place{}, refusal
			}
			continue
		}
		d.mu.Unlock()
		if refusal := j.awaitTicket(ctx, &p, decision); refusal != nil {
			j.abandon(&p)
			return place{}, refusal
		}
	}
}

// ask asks the isolator; nil means that the attempt may be routed now. The mutex must be held.
func (j *job) ask(p *place) chan isolator.Command {
	d := j.d
	if p.alone {
		return j.recheck(p)
	}
	p.ticket = isolator.Ticket(d.nextID())
	decided := make(chan isolator.Command, 1)
	d.tickets[p.ticket] = decided
	d.isolate(isolator.RunRequested{Ticket: p.ticket, Fingerprint: j.fingerprint, Class: j.class, Pool: j.pool})
	select {
	case command := <-decided:
		if _, ok := command.(isolator.Proceed); ok {
			return nil
		}
		decided <- command
	default:
	}
	return decided
}

// recheck refuses an isolated suspect that another host has proven meanwhile.
func (j *job) recheck(p *place) chan isolator.Command {
	until, proven := j.d.isolator.ProvenUntil(time.Now(), j.fingerprint)
	if !proven {
		return nil
	}
	decided := make(chan isolator.Command, 1)
	decided <- isolator.Refuse{Ticket: p.ticket, Until: until}
	return decided
}

// awaitTicket waits for the isolator's answer; after Proceed the caller asks again, so that the answer and the start of
// the attempt cannot be separated by a proof.
func (j *job) awaitTicket(ctx context.Context, p *place, decided chan isolator.Command) *refuser.Refusal {
	select {
	case command := <-decided:
		switch c := command.(type) {
		case isolator.Refuse:
			return j.refuse(refuser.CrashesUpstreams, 0, "this request is known to crash upstreams until %s", c.Until.Format(time.RFC3339))
		case isolator.Isolate:
			p.alone = true
		}
		return nil
	case <-ctx.Done():
		return j.refuseEnded(ctx)
	}
}

// begin routes the attempt and counts it; the mutex must be held. It returns wait when upstreams exist but all are
// kept for a suspect, have to become idle first, or serve weights that are too old.
func (j *job) begin(p *place, want router.Route) (began, wait bool) {
	d := j.d
	now := time.Now()
	listed := d.refreshPool(j.pool)
	upstream, ok, outdated := j.choose(now, p, want)
	if !ok {
		return false, outdated || j.anyReserved()
	}
	if p.alone && d.router.InFlight(upstream.ID) > 0 {
		return false, true
	}
	for _, known := range listed {
		asserter.Check(asserter.LeavingGetsNoWork, known.ID != upstream.ID || !known.Leaving,
			"entry %s: attempt on %s, which is leaving", j.entry.Name, upstream.ID)
	}
	p.upstream = upstream
	j.attempts++
	d.router.Handle(now, router.AttemptStarted{Upstream: upstream.ID})
	d.isolate(isolator.AttemptStarted{Attempt: p.attempt, Fingerprint: j.fingerprint, Upstream: upstream.ID})
	return true, false
}

// choose keeps the upstream that was reserved for a suspect, as long as it may take work.
func (j *job) choose(now time.Time, p *place, want router.Route) (upstream connector.Upstream, ok, outdated bool) {
	d := j.d
	if p.upstream.ID != "" {
		d.router.Handle(now, router.Released{Upstream: p.upstream.ID})
	}
	want.Pool = j.pool
	want.Idle = p.alone
	want.Avoided = j.avoid
	for _, command := range d.router.Handle(now, want) {
		switch c := command.(type) {
		case router.Chosen:
			if p.alone {
				p.upstream = c.Upstream
				d.router.Handle(now, router.Reserved{Upstream: c.Upstream.ID})
			}
			return c.Upstream, true, false
		case router.Outdated:
			outdated = true
		}
	}
	p.upstream = connector.Upstream{}
	return connector.Upstream{}, false, outdated
}

func (j *job) anyReserved() bool {
	for _, state := range j.d.router.States() {
		if state.Pool == j.pool && state.Reserved {
			return true
		}
	}
	return false
}

// describePool tells why no upstream of the pool takes the request, for its refusal.
func (j *job) describePool() string {
	j.d.mu.Lock()
	defer j.d.mu.Unlock()
	known, leaving := j.d.refreshPool(j.pool), 0
	for _, upstream := range known {
		if upstream.Leaving {
			leaving++
		}
	}
	return fmt.Sprintf("%d usable, %d of them leaving", len(known), leaving)
}

func (j *job) awaitPlace(ctx context.Context, changed <-chan struct{}, until time.Time, wait bool) *refuser.Refusal {
	if !wait {
		return j.refuse(refuser.NoUpstream, shortRetryAfter, "pool %s has no upstream that takes work: %s", j.pool, j.describePool())
	}
	limit := time.NewTimer(time.Until(until))
	defer limit.Stop()
	select {
	case <-changed:
		return nil
	case <-ctx.Done():
		return j.refuseEnded(ctx)
	case <-limit.C:
		return j.refuse(refuser.NoUpstream, shortRetryAfter, "pool %s: every upstream is busy, kept for a suspect or serves weights that are too old", j.pool)
	}
}

// abandon gives back what a request holds that stops waiting for a place.
func (j *job) abandon(p *place) {
	d := j.d
	d.mu.Lock()
	defer d.mu.Unlock()
	delete(d.tickets, p.ticket)
	j.withdraw(p)
}

// withdraw ends the ticket and the reservation; the mutex must be held.
func (j *job) withdraw(p *place) {
	if p.alone && p.upstream.ID != "" {
		j.d.router.Handle(time.Now(), router.Released{Upstream: p.upstream.ID})
	}
	j.d.isolate(isolator.Withdrawn{Ticket: p.ticket})
	j.d.notifyChange()
}

// leave ends the attempt for the router and the isolator.
func (j *job) leave(p *place, end isolator.End) {
	d := j.d
	d.mu.Lock()
	defer d.mu.Unlock()
	d.router.Handle(time.Now(), router.AttemptEnded{Upstream: p.upstream.ID})
	d.isolate(isolator.AttemptEnded{Attempt: p.attempt, End: end})
	j.withdraw(p)
}
