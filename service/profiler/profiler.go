package profiler

import (
	"math"
	"time"

	"celerygap.example/lib/codec"
	"celerygap.example/lib/identifier"
)

const (
	// maxUpstreams bounds the upstreams of which a record is kept; it is twice the largest planned fleet.
	maxUpstreams = 6000
	// travelTime is the age that an own attempt must have to be counted in a load that arrives now. Attempts that were started
	// later have not reached the upstream yet.
	travelTime = 2 * time.Millisecond
	// othersHalfLife is the age at which half of the stated load of others is replaced by the mean of the pool: a run takes one
	// to three seconds, so about half of what others had there has ended by then.
	othersHalfLife = time.Second
	// maxStatementAge is the age at which the stated load of others no longer counts.
	maxStatementAge = 10 * time.Second
	// statingTime is how long a pool counts as one whose upstreams state their speed after the last such statement.
	statingTime = time.Minute
	// minSlowness and maxSlowness bound a believable statement.
	minSlowness = 0.1
	maxSlowness = 20
	// falseStatements is the mean deviation, as a logarithm, of the stated from the observed speed above which statements are
	// not believed: a factor of two.
	falseStatements = math.Ln2
)

// Config configures a Profiler.
type Config struct {
	// AssumeMean takes an upstream that has not stated a load lately for as loaded by others as the mean of its pool. Without it
	// such an upstream counts as free, for hosts that hear of an upstream only while they use it: those that rejected their
	// attempts would make up the mean.
	AssumeMean bool
}

// Profiler is the state machine; it is not safe for concurrent use.
type Profiler struct {
	config    Config
	upstreams map[identifier.UpstreamID]*record
	pools     map[identifier.PoolName]*poolRecord
}

// poolRecord holds what an upstream without knowledge of its own is taken for.
type poolRecord struct {
	// work is the observed work of all upstreams.
	work rate
	// statements is the mean of the stated slowness.
	statements average
	// rough is set if the amounts of work are estimates.
	rough bool
	// others is the mean of the load of others per slot, over statements; it is empty unless the mean is assumed.
	others   average
	statedAt time.Time
	members  int
}

// New returns a profiler without upstreams.
func New(config Config) *Profiler {
	return &Profiler{config: config, upstreams: make(map[identifier.UpstreamID]*record), pools: make(map[identifier.PoolName]*poolRecord)}
}

// Event is an input of the state machine.
type Event interface{ isEvent() }

// Listed adds an upstream or updates its pool and slots. A restarted upstream must be removed first.
type Listed struct {
	Upstream identifier.UpstreamID
	Pool     identifier.PoolName
	// Slots is the number of slots in the list; zero means that only statements tell.
	Slots int
}

// Removed discards the record of an upstream.
type Removed struct{ Upstream identifier.UpstreamID }

// Stated delivers the load that an upstream has stated in a response that arrives now.
type Stated struct {
	Upstream identifier.UpstreamID
	Load     codec.LoadReport
}

// Started counts an attempt of this host.
type Started struct{ Upstream identifier.UpstreamID }

// Ended counts the end of an attempt that started at StartedAt.
type Ended struct {
	Upstream  identifier.UpstreamID
	StartedAt time.Time
}

// Began means that an attempt that started at StartedAt has begun to run: its first event has arrived.
type Began struct {
	Upstream  identifier.UpstreamID
	StartedAt time.Time
}

// Worked delivers the time that an upstream took for an amount of work: one event of a run, or the expected work of a call in
// usual seconds. The upstreams of a pool must be measured in the same unit.
type Worked struct {
	Upstream identifier.UpstreamID
	Amount   float64
	Took     time.Duration
	// Rough is set if the amount is an estimate, as for a call. Such work tells the long-run speed only, because the deviation
	// of a single estimate is larger than that of the speed.
	Rough bool
}

func (Listed) isEvent()  {}
func (Removed) isEvent() {}
func (Stated) isEvent()  {}
func (Started) isEvent() {}
func (Ended) isEvent()   {}
func (Began) isEvent()   {}
func (Worked) isEvent()  {}

// Handle applies one event. Events of upstreams that are not listed have no effect.
func (p *Profiler) Handle(now time.Time, event Event) {
	switch e := event.(type) {
	case Listed:
		p.list(e)
	case Removed:
		p.remove(e.Upstream)
	case Stated:
		if r, ok := p.upstreams[e.Upstream]; ok {
			p.state(now, r, e.Load)
		}
	case Started:
		if r, ok := p.upstreams[e.Upstream]; ok {
			r.start(now)
		}
	case Ended:
		if r, ok := p.upstreams[e.Upstream]; ok {
			r.end(e.StartedAt)
		}
	case Began:
		if r, ok := p.upstreams[e.Upstream]; ok {
			r.began(now, e.StartedAt)
		}
	case Worked:
		if r, ok := p.upstreams[e.Upstream]; ok {
			r.worked(now, e)
			pool := p.pools[r.pool]
			pool.work.add(now, e.Amount, e.Took, longRunTime)
			pool.rough = e.Rough
		}
	}
}

func (p *Profiler) list(e Listed) {
	r, ok := p.upstreams[e.Upstream]
	if ok && r.pool == e.Pool {
		r.listedSlots = e.Slots
		return
	}
	if ok {
		p.remove(e.Upstream)
	}
	if len(p.upstreams) >= maxUpstreams {
		return
	}
	p.upstreams[e.Upstream] = &record{pool: e.Pool, listedSlots: e.Slots}
	pool, ok := p.pools[e.Pool]
	if !ok {
		pool = &poolRecord{}
		p.pools[e.Pool] = pool
	}
	pool.members++
}

func (p *Profiler) remove(id identifier.UpstreamID) {
	r, ok := p.upstreams[id]
	if !ok {
		return
	}
	delete(p.upstreams, id)
	pool := p.pools[r.pool]
	pool.members--
	if pool.members == 0 {
		delete(p.pools, r.pool)
	}
}

func (p *Profiler) state(now time.Time, r *record, load codec.LoadReport) {
	if load.Running < 0 || load.Queued < 0 || load.Slots < 0 {
		return
	}
	pool := p.pools[r.pool]
	r.running, r.waiting, r.statedAt = load.Running, load.Queued, now
	if load.Slots > 0 {
		r.statedSlots = load.Slots
	}
	r.others = max(0, load.Running+load.Queued-r.ownAt(now.Add(-travelTime)))
	if p.config.AssumeMean {
		pool.others.add(now, float64(r.others)/float64(r.slots()), othersMeanTime)
	}
	r.slowness = 0
	if load.Slowness < minSlowness || load.Slowness > maxSlowness {
		return
	}
	pool.statedAt = now
	pool.statements.add(now, load.Slowness, longRunTime)
	r.stateSlowness(now, load.Slowness)
}

// States reports whether upstreams of a pool state their speed.
func (p *Profiler) States(now time.Time, pool identifier.PoolName) bool {
	record, ok := p.pools[pool]
	return ok && !record.statedAt.IsZero() && now.Sub(record.statedAt) <= statingTime
}

// StatesAny reports whether upstreams of any pool state their speed.
func (p *Profiler) StatesAny(now time.Time) bool {
	for name := range p.pools {
		if p.States(now, name) {
			return true
		}
	}
	return false
}

// Snapshot is what a host knows of an upstream at one moment. Speeds are times per unit of work; zero means that nothing was observed in
// the pool.
type Snapshot struct {
	Slots int
	// Running and Waiting are as the upstream stated StatedAge ago; Stated is false if that is too long ago to say anything.
	Running, Waiting int
	StatedAge        time.Duration
	Stated           bool
	// Own is the number of this host's attempts and Others the expected number of those of other hosts.
	Own    int
	Others float64
	// LongRun is the lasting time per unit of work, Present the one at this moment, which is expected to hold for Persists.
	LongRun, Present time.Duration
	Persists         time.Duration
	// Typical is the long-run time per unit of work in the pool.
	Typical time.Duration
	// SlowFor is how long the upstream has been observed to be much slower than its long-run speed.
	SlowFor time.Duration
	// LongRunError and PresentError are the expected relative errors.
	LongRunError, PresentError float64
	// SilentFor is how long own attempts have run without any response, event or statement.
	SilentFor time.Duration
	// FalseStatements is set if the statements of the upstream contradict what the host observes; they are ignored then.
	FalseStatements bool
}

// View returns the snapshot of an upstream; ok is false if it is not listed.
func (p *Profiler) View(now time.Time, id identifier.UpstreamID) (snapshot Snapshot, ok bool) {
	ref, ok := p.Lookup(id)
	if !ok {
		return Snapshot{}, false
	}
	return ref.View(now), true
}

// Ref gives the snapshots of one upstream without a search for it. It is valid until the upstream is removed.
type Ref struct {
	record *record
	pool   *poolRecord
}

// Lookup returns the Ref of an upstream; ok is false if it is not listed.
func (p *Profiler) Lookup(id identifier.UpstreamID) (ref Ref, ok bool) {
	r, ok := p.upstreams[id]
	if !ok {
		return Ref{}, false
	}
	return Ref{r, p.pools[r.pool]}, true
}

// View returns the snapshot of the upstream; it is empty for a Ref that Lookup did not find.
func (f Ref) View(now time.Time) (v Snapshot) {
	f.ViewInto(now, &v)
	return v
}

// ViewInto sets a snapshot as View does, without a copy; a choice among many upstreams reuses one.
func (f Ref) ViewInto(now time.Time, v *Snapshot) {
	r, pool := f.record, f.pool
	if r == nil {
		*v = Snapshot{}
		return
	}
	*v = Snapshot{Slots: r.slots(), Own: r.own, Running: r.running, Waiting: r.waiting, FalseStatements: r.contradicted()}
	if !pool.others.at.IsZero() && r.falseQueues < minFalseQueues {
		// Without statements the mean counts less and less, too, so that a pool that was full once is tried again.
		v.Others = pool.others.mean * float64(v.Slots) * decay(float64(now.Sub(pool.others.at))/float64(othersHalfLife))
	}
	if !r.statedAt.IsZero() {
		v.StatedAge = now.Sub(r.statedAt)
		if v.Stated = v.StatedAge <= maxStatementAge && r.falseQueues < minFalseQueues; v.Stated {
			v.Others += (float64(r.others) - v.Others) * decay(float64(v.StatedAge)/float64(othersHalfLife))
		}
	}
	if r.recent > 0 {
		v.SilentFor = now.Sub(latest(r.starts[0], latest(r.statedAt, r.longRun.at)))
	}
	r.speeds(now, pool, v)
}

// decayStep is the distance of the entries of decays.
const decayStep = 1.0 / 16

// decays holds the powers of two from 0 to -8. A choice looks at up to 64 upstreams, and the powers would take most of its time.
var decays = func() (decays [129]float64) {
	for i := range decays {
		decays[i] = math.Exp2(-float64(i) * decayStep)
	}
	return decays
}()

// decay returns about 2 to the power of -x, and zero for a large x.
func decay(x float64) float64 {
	i := int(max(x, 0) / decayStep)
	if i >= len(decays) {
		return 0
	}
	return decays[i]
}

func latest(a, b time.Time) time.Time {
	if a.After(b) {
		return a
	}
	return b
}

// Relative returns the present time per unit of work in relation to the typical one of the pool, or 1 if nothing was observed.
func (v *Snapshot) Relative() float64 {
	if v.Typical <= 0 || v.Present <= 0 {
		return 1
	}
	return float64(v.Present) / float64(v.Typical)
}

// Expected returns the time that an amount of work takes on the upstream once it runs: at its present speed for as long as this
// is expected to hold, at its long-run speed after that.
func (v *Snapshot) Expected(amount float64) time.Duration {
	if v.Present <= 0 || v.LongRun <= 0 {
		return time.Duration(amount * float64(v.LongRun))
	}
	present := amount * float64(v.Present)
	if present <= float64(v.Persists) {
		return time.Duration(present)
	}
	return v.Persists + time.Duration((amount-float64(v.Persists)/float64(v.Present))*float64(v.LongRun))
}
