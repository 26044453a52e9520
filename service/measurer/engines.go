package measurer

import (
	"fmt"
	"math/rand/v2"
	"time"

	"celerygap.example/lib/codec"
	"celerygap.example/lib/identifier"
	"celerygap.example/lib/refuser"
	"celerygap.example/service/scheduler"
)

// The speed of the fake engines.
const (
	engineSlots    = 16
	chunkTokens    = 16
	tokenInterval  = 20 * time.Millisecond
	batchInterval  = 500 * time.Microsecond
	resumeDelay    = 500 * time.Millisecond
	swapTime       = 11 * time.Second
	crashInterval  = time.Minute
	crashDetection = 5 * time.Second
	crashDowntime  = 20 * time.Second
)

// tokensPerSecond is the rate of one engine whose slots are all in use.
func tokensPerSecond() float64 {
	interval := tokenInterval + engineSlots*batchInterval
	return float64(engineSlots) / interval.Seconds()
}

// Placement selects how a request is given to an engine.
type Placement string

// The placements.
const (
	// RoundRobin gives requests to the engines in turn.
	RoundRobin Placement = "round robin"
	// LeastInFlight gives a request to the engine with the fewest requests in flight.
	LeastInFlight Placement = "least in flight"
)

// sequence is one running attempt.
type sequence struct {
	ref      scheduler.Ref
	minimum  identifier.WeightVersion
	length   identifier.Tokens
	tokens   identifier.Tokens
	segments []codec.Segment
	engine   *engine
	avoid    []identifier.UpstreamID
	ended    bool
}

type engine struct {
	id      identifier.UpstreamID
	running []*sequence
	waiting []*sequence
	down    bool
	frozen  bool
	serving map[identifier.EntryName]identifier.WeightVersion
}

func (e *engine) inFlight() int { return len(e.running) + len(e.waiting) }

// fleet is a set of engines that produce the sequences of a run.
type fleet struct {
	queue     *queue
	random    *rand.Rand
	placement Placement
	engines   []*engine
	next      int
	live      map[scheduler.Ref]*sequence
	produced  identifier.Tokens
	// lengthOf draws the length of a sequence.
	lengthOf func(ref scheduler.Ref, seed int64) identifier.Tokens
	emit     func(scheduler.Event)
}

func newFleet(q *queue, random *rand.Rand, placement Placement, count int) *fleet {
	f := &fleet{queue: q, random: random, placement: placement, live: make(map[scheduler.Ref]*sequence)}
	for i := range count {
		f.engines = append(f.engines, &engine{
			id: identifier.UpstreamID(fmt.Sprintf("engine-%d", i)), serving: make(map[identifier.EntryName]identifier.WeightVersion),
		})
	}
	return f
}

// start gives an attempt to an engine; without a suitable one it is refused as not run.
func (f *fleet) start(c scheduler.StartGeneration) {
	s := &sequence{
		ref: c.Ref, minimum: c.Request.MinVersion, avoid: c.Request.Avoid, length: f.lengthOf(c.Ref, c.Request.Seed),
	}
	f.live[c.Ref] = s
	f.place(s)
}

func (f *fleet) place(s *sequence) {
	e := f.choose(s)
	if e == nil {
		s.ended = true
		delete(f.live, s.ref)
		refusal := refuser.NotRun(refuser.NoUpstream, time.Second, "no engine")
		f.queue.after(time.Millisecond, func() { f.emit(scheduler.GenerationFailed{Ref: s.ref, Refusal: refusal}) })
		return
	}
	s.engine = e
	e.waiting = append(e.waiting, s)
	f.admit(e)
}

func (f *fleet) choose(s *sequence) *engine {
	var suitable []*engine
	for _, e := range f.engines {
		if !e.down && e.serving[s.ref.Trainer] >= s.minimum && !contains(s.avoid, e.id) {
			suitable = append(suitable, e)
		}
	}
	if len(suitable) == 0 {
		return nil
	}
	if f.placement == RoundRobin {
		f.next++
		return suitable[f.next%len(suitable)]
	}
	best := suitable[f.random.IntN(len(suitable))]
	for _, e := range suitable {
		if e.inFlight() < best.inFlight() {
			best = e
		}
	}
	return best
}

func contains(ids []identifier.UpstreamID, id identifier.UpstreamID) bool {
	for _, other := range ids {
		if other == id {
			return true
		}
	}
	return false
}

func (f *fleet) admit(e *engine) {
	for len(e.running) < engineSlots && len(e.waiting) > 0 && !e.down && !e.frozen {
		s := e.waiting[0]
		e.waiting = e.waiting[1:]
		e.running = append(e.running, s)
		f.schedule(s, e)
	}
}

// schedule produces the next chunk of a sequence.
func (f *fleet) schedule(s *sequence, e *engine) {
	tokens := min(chunkTokens, s.length-s.tokens)
	interval := tokenInterval + time.Duration(len(e.running))*batchInterval
	f.queue.after(time.Duration(tokens)*interval, func() { f.chunk(s, e, tokens) })
}

func (f *fleet) chunk(s *sequence, e *engine, tokens identifier.Tokens) {
	if s.ended || s.engine != e || e.down || e.frozen {
		return
	}
	version := e.serving[s.ref.Trainer]
	if n := len(s.segments); n == 0 || s.segments[n-1].WeightVersion != version {
		s.segments = append(s.segments, codec.Segment{FirstToken: s.tokens, WeightVersion: version})
	}
	s.tokens += tokens
	f.produced += tokens
	f.emit(scheduler.ChunkArrived{Ref: s.ref, Version: version, Upstream: e.id})
	if s.ended {
		return
	}
	if s.tokens < s.length {
		f.schedule(s, e)
		return
	}
	f.remove(s)
	f.emit(scheduler.Generated{Ref: s.ref, Sample: codec.Sample{
		Step: s.ref.Step, Tokens: s.tokens, Segments: s.segments, FinishReason: codec.FinishReasonStop,
	}})
}

// cancel ends a sequence whose sample is no longer needed.
func (f *fleet) cancel(ref scheduler.Ref) {
	s, ok := f.live[ref]
	if !ok {
		return
	}
	f.remove(s)
	refusal := refuser.Unknown(refuser.CallerGone, 0, "cancelled")
	f.queue.after(time.Millisecond, func() { f.emit(scheduler.GenerationFailed{Ref: ref, Refusal: refusal}) })
}

func (f *fleet) remove(s *sequence) {
	s.ended = true
	delete(f.live, s.ref)
	s.engine.running = without(s.engine.running, s)
	s.engine.waiting = without(s.engine.waiting, s)
	f.admit(s.engine)
}

func without(list []*sequence, s *sequence) []*sequence {
	rest := list[:0]
	for _, other := range list {
		if other != s {
			rest = append(rest, other)
		}
	}
	return rest
}

// crashEveryMinute freezes a random engine each minute. Its connections break after the detection time; its sequences
// then resume from their last token on other engines.
func (f *fleet) crashEveryMinute() {
	f.queue.after(crashInterval, func() {
		f.crashEveryMinute()
		e := f.engines[f.random.IntN(len(f.engines))]
		if e.down || e.frozen {
			return
		}
		e.frozen = true
		f.queue.after(crashDetection, func() { f.lose(e) })
		f.queue.after(crashDowntime, func() {
			e.down = false
			f.admit(e)
		})
	})
}

func (f *fleet) lose(e *engine) {
	lost := append(append([]*sequence(nil), e.running...), e.waiting...)
	e.running, e.waiting = nil, nil
	e.down, e.frozen = true, false
	for _, s := range lost {
		f.queue.after(resumeDelay, func() {
			if !s.ended {
				f.place(s)
			}
		})
	}
}

// swap loads a version on each engine at a random time within the swap time.
func (f *fleet) swap(trainer identifier.EntryName, version identifier.WeightVersion) {
	for _, e := range f.engines {
		f.queue.after(time.Duration(f.random.Int64N(int64(swapTime))), func() {
			e.serving[trainer] = max(e.serving[trainer], version)
		})
	}
}

// servingAll reports whether all engines serve a version.
func (f *fleet) servingAll(trainer identifier.EntryName, version identifier.WeightVersion) bool {
	for _, e := range f.engines {
		if e.serving[trainer] < version {
			return false
		}
	}
	return true
}
