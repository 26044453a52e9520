package dispatcher

import (
	"cmp"
	"context"
	"fmt"
	"slices"
	"time"

	"celerygap.example/lib/asserter"
	"celerygap.example/lib/identifier"
	"celerygap.example/lib/refuser"
	"celerygap.example/service/connector"
	"celerygap.example/service/isolator"
	"celerygap.example/service/router"
)

// maxPlacementWait bounds the wait of a request while every upstream is reserved for a suspect or serves weights that
// are too old.
const maxPlacementWait = 5 * time.Second

// maxQueueTime bounds the estimate of the time that waiting requests take.
const maxQueueTime = time.Hour

// placement is the upstream of an attempt and what the attempt holds at the isolator and the router.
type placement struct {
	upstream connector.Upstream
	attempt  identifier.AttemptID
	ticket   isolator.Ticket
	// isolated is set for a suspect, which may run only on an upstream without other attempts.
	isolated bool
	// startedAt is when the attempt was counted as started, and work its expected work; zero means unknown.
	startedAt time.Time
	work      float64
}

// obstacle is why an attempt has not started.
type obstacle struct {
	// passes is set if the attempt may start later: an upstream is reserved for a suspect, must become idle first, serves weights
	// that are too old, or limits its requests.
	passes bool
	// limited is set if an upstream would run the attempt, but has no turn for it. earliest is when there can be one, or zero if
	// that is not known.
	limited  bool
	earliest time.Time
}

// startAttempt waits until the isolator and the router let an attempt start, and counts it as started.
func (j *job) startAttempt(ctx context.Context, want router.Route) (placement, *refuser.Refusal) {
	d := j.d
	p := placement{attempt: newAttemptID()}
	waitUntil := time.Now().Add(maxPlacementWait)
	for {
		d.mu.Lock()
		decision := j.requestRun(&p)
		if decision == nil {
			changed := d.changed
			started, found := j.tryStart(&p, want)
			j.countTurnWait(!started && found.limited)
			d.mu.Unlock()
			if started {
				return p, nil
			}
			if p.isolated || found.limited {
				// A suspect waits for an idle upstream, and any request for its turn, as long as its deadline allows.
				waitUntil = j.deadline
			}
			if refusal := j.awaitChange(ctx, changed, waitUntil, found); refusal != nil {
				j.abandonPlacement(&p)
				return placement{}, refusal
			}
			continue
		}
		d.mu.Unlock()
		if refusal := j.awaitDecision(ctx, &p, decision); refusal != nil {
			j.abandonPlacement(&p)
			return placement{}, refusal
		}
	}
}

// requestRun requests the isolator's permission to run. It returns nil if the attempt may be routed now, otherwise a
// channel that delivers the decision. The mutex must be held.
func (j *job) requestRun(p *placement) chan isolator.Command {
	d := j.d
	switch {
	case j.sound:
		return nil
	case p.isolated:
		return j.recheckProven(p)
	}
	p.ticket = isolator.Ticket(d.nextID())
	decision := make(chan isolator.Command, 1)
	d.decisionWaiters[p.ticket] = decision
	d.handleIsolator(isolator.RunRequested{Ticket: p.ticket, Fingerprint: j.fingerprint, Kind: j.kind, Class: j.class, Pool: j.pool})
	select {
	case command := <-decision:
		if _, ok := command.(isolator.Proceed); ok {
			return nil
		}
		decision <- command
	default:
	}
	return decision
}

// recheckProven returns a channel that delivers a refusal if the fingerprint of an isolated suspect has been proven
// since, for example by another host, and nil otherwise.
func (j *job) recheckProven(p *placement) chan isolator.Command {
	until, proven := j.d.isolator.Refused(time.Now(), j.fingerprint, j.kind)
	if !proven {
		return nil
	}
	decision := make(chan isolator.Command, 1)
	decision <- isolator.Refuse{Ticket: p.ticket, Until: until}
	return decision
}

// awaitDecision waits for the isolator's decision. After Proceed the caller must request permission again, because the
// fingerprint may have been proven between the decision and the start of the attempt.
func (j *job) awaitDecision(ctx context.Context, p *placement, decision chan isolator.Command) *refuser.Refusal {
	select {
	case command := <-decision:
		switch c := command.(type) {
		case isolator.Refuse:
			return j.refuse(refuser.CrashesUpstreams, 0, "this request crashes upstreams and is refused until %s", c.Until.Format(time.RFC3339))
		case isolator.Isolate:
			p.isolated = true
		}
		return nil
	case <-ctx.Done():
		return j.refuseContextEnded(ctx)
	}
}

// tryStart routes the attempt and counts it; the mutex must be held.
func (j *job) tryStart(p *placement, want router.Route) (started bool, found obstacle) {
	d := j.d
	now := time.Now()
	listed := d.refreshPool(j.pool)
	upstream, found := j.chooseWithTurn(now, p, want)
	if upstream.ID == "" {
		return false, found
	}
	for _, known := range listed {
		asserter.Check(asserter.LeavingGetsNoWork, known.ID != upstream.ID || !known.Leaving,
			"entry %s: attempt on %s, which is leaving", j.entry.Name, upstream.ID)
	}
	p.upstream = upstream
	j.attempts++
	p.startedAt, p.work = now, want.Work
	if j.choice.ByCost || j.choice.Fallback != "" {
		d.config.Meter.Chosen(string(j.entry.Name), string(cmp.Or(j.choice.Fallback, chosenByCost)))
	}
	d.router.Handle(now, router.AttemptStarted{Upstream: upstream.ID, Work: p.work})
	d.handleIsolator(isolator.AttemptStarted{
		Attempt: p.attempt, Fingerprint: j.fingerprint, Kind: j.kind, Upstream: upstream.ID, Sound: j.sound,
	})
	return true, obstacle{}
}

// chooseWithTurn routes the attempt to the first upstream in the router's order that is not limited or has a turn for it, and
// uses up the turn. Without one, the id of the upstream is empty.
func (j *job) chooseWithTurn(now time.Time, p *placement, want router.Route) (connector.Upstream, obstacle) {
	d := j.d
	var found obstacle
	var perSecond float64
	for {
		upstream, ok, outdated := j.chooseUpstream(now, p, want)
		found.passes = found.passes || outdated
		if !ok {
			found.passes = found.passes || found.limited || j.anyReserved()
			if found.limited && !j.waitsForTurn {
				found.earliest = latest(found.earliest, now.Add(queueTime(d.turnWaiters[j.pool], perSecond)))
			}
			return connector.Upstream{}, found
		}
		if p.isolated && d.router.InFlight(upstream.ID) > 0 {
			return connector.Upstream{}, obstacle{passes: true}
		}
		if d.config.Pacer == nil {
			return upstream, found
		}
		started, earliest := d.config.Pacer.Take(upstream.ID)
		if started {
			return upstream, found
		}
		if !found.limited || earliest.Before(found.earliest) {
			found.earliest = earliest
		}
		found.limited = true
		perSecond += d.config.Pacer.Limit(upstream.ID)
		want.Excluded = append(slices.Clip(want.Excluded), upstream.ID)
	}
}

// queueTime returns how long the waiting requests of this host take at least if upstreams take that many requests a second.
func queueTime(waiting int, perSecond float64) time.Duration {
	if perSecond <= 0 {
		return 0
	}
	return time.Duration(min(float64(waiting)/perSecond*float64(time.Second), float64(maxQueueTime)))
}

func latest(a, b time.Time) time.Time {
	if a.After(b) {
		return a
	}
	return b
}

// countTurnWait counts the request while it waits for a turn; the mutex must be held.
func (j *job) countTurnWait(waits bool) {
	if waits == j.waitsForTurn {
		return
	}
	j.waitsForTurn = waits
	if waits {
		j.d.turnWaiters[j.pool]++
		return
	}
	j.d.turnWaiters[j.pool]--
	if j.d.turnWaiters[j.pool] == 0 {
		delete(j.d.turnWaiters, j.pool)
	}
}

// chooseUpstream routes the attempt. For a suspect it replaces the reservation of an earlier call by one of the chosen
// upstream.
func (j *job) chooseUpstream(now time.Time, p *placement, want router.Route) (upstream connector.Upstream, ok, outdated bool) {
	d := j.d
	if p.upstream.ID != "" {
		d.router.Handle(now, router.Released{Upstream: p.upstream.ID})
	}
	want.Pool = j.pool
	want.Idle = p.isolated
	want.IsolationKey = string(j.fingerprint)
	want.Avoided = j.avoid
	want.Software = j.software
	for _, command := range d.router.Handle(now, want) {
		switch c := command.(type) {
		case router.Chosen:
			j.choice = c
			if p.isolated {
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

// describePool returns the number of listed and of leaving upstreams of the pool, for a refusal.
func (j *job) describePool() string {
	j.d.mu.Lock()
	defer j.d.mu.Unlock()
	known, leaving := j.d.refreshPool(j.pool), 0
	for _, upstream := range known {
		if upstream.Leaving {
			leaving++
		}
	}
	description := fmt.Sprintf("%d upstreams listed, %d of them leaving", len(known), leaving)
	if j.software != nil {
		description += fmt.Sprintf("; the response began at software version %q", *j.software)
	}
	return description
}

func (j *job) awaitChange(ctx context.Context, changed <-chan struct{}, until time.Time, found obstacle) *refuser.Refusal {
	switch {
	case !found.passes:
		return j.refuse(refuser.NoUpstream, shortRetryAfter, "pool %s has no upstream that accepts requests: %s", j.pool, j.describePool())
	case found.limited && found.earliest.After(j.deadline):
		return j.refuse(refuser.UpstreamsLimited, time.Until(found.earliest), "pool %s: the upstreams limit their requests; the next turn comes in %s",
			j.pool, time.Until(found.earliest).Round(time.Millisecond))
	}
	limit := time.NewTimer(time.Until(until))
	defer limit.Stop()
	select {
	case <-changed:
		return nil
	case <-ctx.Done():
		return j.refuseContextEnded(ctx)
	case <-limit.C:
		return j.refuse(refuser.NoUpstream, shortRetryAfter, "pool %s: every upstream is busy, reserved for a suspect or serves weights that are too old", j.pool)
	}
}

// abandonPlacement releases what a request holds when it stops waiting for a placement.
func (j *job) abandonPlacement(p *placement) {
	d := j.d
	d.mu.Lock()
	defer d.mu.Unlock()
	delete(d.decisionWaiters, p.ticket)
	j.countTurnWait(false)
	j.withdrawTicket(p)
}

// withdrawTicket ends the isolator's ticket and the router's reservation; the mutex must be held.
func (j *job) withdrawTicket(p *placement) {
	if p.isolated && p.upstream.ID != "" {
		j.d.router.Handle(time.Now(), router.Released{Upstream: p.upstream.ID})
	}
	j.d.handleIsolator(isolator.Withdrawn{Ticket: p.ticket})
	j.d.notifyChange()
}

// endAttempt passes the end of the attempt to the router and the isolator.
func (j *job) endAttempt(p *placement, end isolator.End) {
	d := j.d
	d.mu.Lock()
	defer d.mu.Unlock()
	d.router.Handle(time.Now(), router.AttemptEnded{Upstream: p.upstream.ID, StartedAt: p.startedAt, Work: p.work})
	d.handleIsolator(isolator.AttemptEnded{Attempt: p.attempt, End: end})
	j.withdrawTicket(p)
}
