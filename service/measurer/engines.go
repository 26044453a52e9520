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

// The speed and the crashes of the simulated engines.
const (
	// engineSlots is the number of sequences that an engine runs at the same time.
	engineSlots = 16
	// chunkTokens is the number of tokens after which an engine reports its progress.
	chunkTokens = 16
	// A token takes tokenInterval, plus batchInterval for each sequence that runs on the engine.
	tokenInterval = 20 * time.Millisecond
	batchInterval = 500 * time.Microsecond
	// resumeDelay passes between a broken connection and the start of the sequence on another engine.
	resumeDelay = 500 * time.Millisecond
	// swapTime is the time within which all engines load a new weight version.
	swapTime      = 11 * time.Second
	crashInterval = time.Minute
	// crashDetection and crashDowntime count from the crash: until the connections break, and until the engine serves
	// again.
	crashDetection = 5 * time.Second
	crashDowntime  = 20 * time.Second
)

// tokensPerSecond returns the token rate of one engine whose slots are all in use.
func tokensPerSecond() float64 {
	interval := tokenInterval + engineSlots*batchInterval
	return float64(engineSlots) / interval.Seconds()
}

// Placement selects the engine for an attempt.
type Placement string

// The placements.
const (
	// RoundRobin selects the suitable engines in turn.
	RoundRobin Placement = "round robin"
	// LeastInFlight selects the suitable engine with the fewest sequences, running or waiting.
	LeastInFlight Placement = "least in flight"
)

// sequence is the generation of one attempt, which may move to another engine after a crash.
type sequence struct {
	ref scheduler.Ref
	// minimum is the oldest weight version with which an engine may generate the sequence.
	minimum identifier.WeightVersion
	// length is the final number of tokens, tokens the number generated so far.
	length   identifier.Tokens
	tokens   identifier.Tokens
	segments []codec.Segment
	engine   *engine
	// avoid lists engines that the sequence is not placed on.
	avoid []identifier.UpstreamID
	ended bool
}

// engine is a simulated engine.
type engine struct {
	id      identifier.UpstreamID
	running []*sequence
	waiting []*sequence
	// A crashed engine is frozen until its connections break, and down from then on.
	down   bool
	frozen bool
	// serving has the weight version that is loaded for each trainer.
	serving map[identifier.EntryName]identifier.WeightVersion
}

func (e *engine) inFlight() int { return len(e.running) + len(e.waiting) }

// fleet has the engines that generate the sequences of a run.
type fleet struct {
	queue     *queue
	random    *rand.Rand
	placement Placement
	engines   []*engine
	// next counts the selections of RoundRobin.
	next           int
	unfinished     map[scheduler.Ref]*sequence
	producedTokens identifier.Tokens
	// lengthOf returns the length of a sequence.
	lengthOf func(ref scheduler.Ref, seed int64) identifier.Tokens
	// emit passes an event to the policy.
	emit func(scheduler.Event)
}

func newFleet(q *queue, random *rand.Rand, placement Placement, count int) *fleet {
	f := &fleet{queue: q, random: random, placement: placement, unfinished: make(map[scheduler.Ref]*sequence)}
	for i := range count {
		f.engines = append(f.engines, &engine{
			id: identifier.UpstreamID(fmt.Sprintf("engine-%d", i)), serving: make(map[identifier.EntryName]identifier.WeightVersion),
		})
	}
	return f
}

// start starts an attempt on an engine; if none is suitable, the attempt is refused as not run.
func (f *fleet) start(c scheduler.StartGeneration) {
	s := &sequence{
		ref: c.Ref, minimum: c.Request.MinVersion, avoid: c.Request.Avoid, length: f.lengthOf(c.Ref, c.Request.Seed),
	}
	f.unfinished[c.Ref] = s
	f.place(s)
}

func (f *fleet) place(s *sequence) {
	e := f.choose(s)
	if e == nil {
		s.ended = true
		delete(f.unfinished, s.ref)
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
		f.scheduleChunk(s, e)
	}
}

// scheduleChunk schedules the next chunk of a sequence on its engine.
func (f *fleet) scheduleChunk(s *sequence, e *engine) {
	tokens := min(chunkTokens, s.length-s.tokens)
	interval := tokenInterval + time.Duration(len(e.running))*batchInterval
	f.queue.after(time.Duration(tokens)*interval, func() { f.produceChunk(s, e, tokens) })
}

// produceChunk adds a chunk to a sequence and reports it, unless the sequence has ended or left the engine meanwhile.
func (f *fleet) produceChunk(s *sequence, e *engine, tokens identifier.Tokens) {
	if s.ended || s.engine != e || e.down || e.frozen {
		return
	}
	version := e.serving[s.ref.Trainer]
	if n := len(s.segments); n == 0 || s.segments[n-1].WeightVersion != version {
		s.segments = append(s.segments, codec.Segment{FirstToken: s.tokens, WeightVersion: version})
	}
	s.tokens += tokens
	f.producedTokens += tokens
	f.emit(scheduler.ChunkArrived{Ref: s.ref, Version: version, Upstream: e.id})
	if s.ended {
		return
	}
	if s.tokens < s.length {
		f.scheduleChunk(s, e)
		return
	}
	f.remove(s)
	f.emit(scheduler.Generated{Ref: s.ref, Sample: codec.Sample{
		Step: s.ref.Step, Tokens: s.tokens, Segments: s.segments, FinishReason: codec.FinishReasonStop,
	}})
}

// cancel ends a sequence whose sample is not needed any more.
func (f *fleet) cancel(ref scheduler.Ref) {
	s, ok := f.unfinished[ref]
	if !ok {
		return
	}
	f.remove(s)
	refusal := refuser.Unknown(refuser.CallerGone, 0, "cancelled")
	f.queue.after(time.Millisecond, func() { f.emit(scheduler.GenerationFailed{Ref: ref, Refusal: refusal}) })
}

func (f *fleet) remove(s *sequence) {
	s.ended = true
	delete(f.unfinished, s.ref)
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

// crashEveryMinute freezes a random engine each minute. After crashDetection its connections break, and its sequences
// resume from their last token on other engines. After crashDowntime the engine serves again.
func (f *fleet) crashEveryMinute() {
	f.queue.after(crashInterval, func() {
		f.crashEveryMinute()
		e := f.engines[f.random.IntN(len(f.engines))]
		if e.down || e.frozen {
			return
		}
		e.frozen = true
		f.queue.after(crashDetection, func() { f.disconnect(e) })
		f.queue.after(crashDowntime, func() {
			e.down = false
			f.admit(e)
		})
	})
}

// disconnect breaks the connections of a crashed engine and places its sequences again.
func (f *fleet) disconnect(e *engine) {
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

// swap loads a weight version on each engine at a random time within swapTime.
func (f *fleet) swap(name identifier.EntryName, version identifier.WeightVersion) {
	for _, e := range f.engines {
		f.queue.after(time.Duration(f.random.Int64N(int64(swapTime))), func() {
			e.serving[name] = max(e.serving[name], version)
		})
	}
}

// servingAll reports whether all engines serve at least the given weight version for a trainer.
func (f *fleet) servingAll(name identifier.EntryName, version identifier.WeightVersion) bool {
	for _, e := range f.engines {
		if e.serving[name] < version {
			return false
		}
	}
	return true
}
