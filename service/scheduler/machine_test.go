package scheduler_test

import (
	"fmt"
	"maps"
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"

	"celerygap.example/lib/asserter"
	"celerygap.example/lib/codec"
	"celerygap.example/lib/identifier"
	"celerygap.example/lib/refuser"
	"celerygap.example/service/connector"
	"celerygap.example/service/deliverer"
	"celerygap.example/service/scheduler"
)

const (
	simMaxRunning     = 6
	simMaxScoring     = 3
	simStalenessBound = 2
	simMaxAhead       = 1
)

// running is one attempt on a simulated engine.
type running struct {
	request   connector.GenerateRequest
	segments  []codec.Segment
	tokens    identifier.Tokens
	cancelled bool
}

// owner is the scheduler of one host, with the attempts and scores that run for it.
type owner struct {
	scheduler *scheduler.Scheduler
	running   map[scheduler.Ref]*running
	scoring   map[scheduler.Ref]bool
	started   map[scheduler.Ref]bool
	// knownVersions has the newest version that this host knows from announcements and page requests. Pages are checked
	// against it, because a version that the trainer publishes while its request waits may not have reached the host.
	knownVersions map[identifier.EntryName]identifier.WeightVersion
}

// consumer is a trainer with one open step at a time.
type consumer struct {
	name   identifier.EntryName
	step   identifier.StepNumber
	cursor string
	// earlierCursors are the cursors before the present one, oldest first.
	earlierCursors []string
	// slots are the slots that the trainer holds.
	slots   map[int]bool
	version identifier.WeightVersion
	// declared is the last declared step.
	declared identifier.StepNumber
}

// simulation drives two schedulers for the same trainers, like two hosts that each consider themselves the owner.
type simulation struct {
	now       time.Time
	owners    [2]*owner
	consumers []*consumer
	nextPage  scheduler.PageID
	attempts  int
	// engines is the weight version that the engines serve.
	engines identifier.WeightVersion
}

func settings(share float64) scheduler.Settings {
	return scheduler.Settings{
		ModelEntry: "model", ScorerEntry: "scorer", StalenessBound: simStalenessBound, IdleWeight: 0.5, MaxTokens: 50, Share: share,
	}
}

func newSimulation() *simulation {
	sim := &simulation{now: time.Unix(0, 0), engines: 1}
	sim.consumers = []*consumer{
		{name: "grit", step: 1, version: 1, slots: make(map[int]bool)},
		{name: "tile", step: 1, version: 1, slots: make(map[int]bool)},
	}
	for i := range sim.owners {
		sim.restart(i)
	}
	return sim
}

// restart replaces a host by one without state; its running generations are lost.
func (sim *simulation) restart(i int) {
	config := scheduler.DefaultConfig(rand.New(rand.NewPCG(1, uint64(i))))
	config.MaxRunning = simMaxRunning
	config.MaxScoring = simMaxScoring
	config.Page = deliverer.Config{MaxSamples: 3, MaxBytes: 1 << 20}
	sim.owners[i] = &owner{
		scheduler: scheduler.New(config), running: make(map[scheduler.Ref]*running),
		scoring: make(map[scheduler.Ref]bool), started: make(map[scheduler.Ref]bool),
		knownVersions: make(map[identifier.EntryName]identifier.WeightVersion),
	}
	for _, c := range sim.consumers {
		sim.owners[i].scheduler.Handle(sim.now, scheduler.TrainerConfigured{Trainer: c.name, Settings: settings(1)})
	}
}

func simDeclaration(step identifier.StepNumber, version identifier.WeightVersion) codec.StepDeclaration {
	return codec.StepDeclaration{Step: step, GroupSize: 2, Prompts: []string{"a", "b", "c", "d"}, WeightVersion: version}
}

const simSlots = 8

// handle applies an event to one owner, checks the commands and returns the page replies.
func (sim *simulation) handle(t require.TestingT, o *owner, event scheduler.Event) []scheduler.ReplyPage {
	var replies []scheduler.ReplyPage
	switch e := event.(type) {
	case scheduler.WeightsAnnounced:
		o.knownVersions[e.Trainer] = max(o.knownVersions[e.Trainer], e.Version)
	case scheduler.PageRequested:
		o.knownVersions[e.Trainer] = max(o.knownVersions[e.Trainer], e.Version)
	}
	for _, command := range o.scheduler.Handle(sim.now, event) {
		switch c := command.(type) {
		case scheduler.StartGeneration:
			require.False(t, o.started[c.Ref], "attempt number used twice")
			o.started[c.Ref] = true
			o.running[c.Ref] = &running{request: c.Request}
			sim.checkStart(t, o, c)
		case scheduler.CancelGeneration:
			require.Contains(t, o.running, c.Ref)
			o.running[c.Ref].cancelled = true
		case scheduler.StartScore:
			require.False(t, o.scoring[c.Ref], "scored twice at once")
			o.scoring[c.Ref] = true
		case scheduler.ReplyPage:
			replies = append(replies, c)
		}
	}
	require.LessOrEqual(t, len(o.running), simMaxRunning)
	require.LessOrEqual(t, len(o.scoring), simMaxScoring)
	require.Equal(t, len(o.running), o.scheduler.Running())
	return replies
}

// checkStart checks the limits on the attempts of one slot and on the run-ahead.
func (sim *simulation) checkStart(t require.TestingT, o *owner, c scheduler.StartGeneration) {
	same := 0
	for ref, r := range o.running {
		if ref.Trainer == c.Ref.Trainer && ref.Step == c.Ref.Step && ref.Slot == c.Ref.Slot && !r.cancelled {
			same++
		}
	}
	require.LessOrEqual(t, same, 2)
	consumer := sim.consumer(c.Ref.Trainer)
	require.LessOrEqual(t, int64(c.Ref.Step-consumer.step), int64(simMaxAhead), "step started too far ahead")
}

func (sim *simulation) consumer(name identifier.EntryName) *consumer {
	for _, c := range sim.consumers {
		if c.name == name {
			return c
		}
	}
	return nil
}

func sorted(refs []scheduler.Ref) []scheduler.Ref {
	slices.SortFunc(refs, func(a, b scheduler.Ref) int { return compareText(fmt.Sprint(a), fmt.Sprint(b)) })
	return refs
}

func compareText(a, b string) int {
	if a < b {
		return -1
	}
	return 1
}

func (sim *simulation) chunk(t require.TestingT, o *owner, ref scheduler.Ref) {
	r := o.running[ref]
	r.segments = append(r.segments, codec.Segment{FirstToken: r.tokens, WeightVersion: sim.engines})
	r.tokens++
	sim.handle(t, o, scheduler.ChunkArrived{Ref: ref, Version: sim.engines, Upstream: "engine"})
}

func (sim *simulation) finish(t require.TestingT, o *owner, ref scheduler.Ref) {
	if o.running[ref].tokens == 0 {
		sim.chunk(t, o, ref)
	}
	r := o.running[ref]
	sim.attempts++
	delete(o.running, ref)
	sim.deliver(t, o, sim.handle(t, o, scheduler.Generated{Ref: ref, Sample: codec.Sample{
		Step: ref.Step, Attempt: identifier.AttemptID(fmt.Sprint(sim.attempts)), Tokens: r.tokens, Segments: r.segments,
	}}), false)
}

func (sim *simulation) score(t require.TestingT, o *owner, ref scheduler.Ref, refusal *refuser.Refusal) {
	delete(o.scoring, ref)
	if refusal != nil {
		sim.handle(t, o, scheduler.ScoreFailed{Ref: ref, Refusal: refusal})
		return
	}
	sim.deliver(t, o, sim.handle(t, o, scheduler.Scored{Ref: ref, Reward: 1}), false)
}

// fetch requests a page from one owner, after declaring the trainer's steps to it.
func (sim *simulation) fetch(t require.TestingT, o *owner, c *consumer, cursor string, wait time.Duration, lost bool) {
	sim.declare(t, o, c)
	sim.nextPage++
	replies := sim.handle(t, o, scheduler.PageRequested{
		ID: sim.nextPage, Trainer: c.name, Step: c.step, Cursor: cursor, Version: c.version, Until: sim.now.Add(wait),
	})
	sim.deliver(t, o, replies, lost)
}

// declare passes all declared steps of the trainer from its present one on to an owner.
func (sim *simulation) declare(t require.TestingT, o *owner, c *consumer) {
	c.declared = max(c.declared, c.step)
	for step := c.step; step <= c.declared; step++ {
		sim.handle(t, o, scheduler.StepDeclared{Trainer: c.name, Declaration: simDeclaration(step, c.version)})
	}
}

// deliver gives pages to their trainers; a trainer accepts only a page that follows its present cursor.
func (sim *simulation) deliver(t require.TestingT, o *owner, replies []scheduler.ReplyPage, lost bool) {
	for _, reply := range replies {
		if reply.Refusal != nil {
			require.Equal(t, refuser.StepUnknown, reply.Refusal.Reason, reply.Refusal.Detail)
			continue
		}
		c := sim.consumer(reply.Trainer)
		if lost || reply.Page.Step != c.step || !sim.follows(t, c, reply.Page) {
			continue
		}
		for _, sample := range reply.Page.Samples {
			slot := sample.Group*2 + sample.Index
			require.False(t, c.slots[slot], "slot %d reached the trainer twice", slot)
			for _, segment := range sample.Segments {
				require.LessOrEqual(t, int64(o.knownVersions[c.name]-segment.WeightVersion), int64(simStalenessBound))
			}
			c.slots[slot] = true
		}
		c.earlierCursors = append(c.earlierCursors, c.cursor)
		c.cursor = reply.Page.NextCursor
		require.Equal(t, len(c.slots) == simSlots, reply.Page.Complete)
		if reply.Page.Complete {
			*c = consumer{
				name: c.name, step: c.step + 1, version: c.version, declared: c.declared, slots: make(map[int]bool),
			}
		}
	}
}

// rollBack returns a trainer to the cursor of an earlier checkpoint; it holds only the slots of that cursor.
func (sim *simulation) rollBack(t require.TestingT, c *consumer, pages int) {
	if pages == len(c.earlierCursors) {
		return
	}
	c.cursor = c.earlierCursors[pages]
	c.earlierCursors = c.earlierCursors[:pages]
	cursor, err := deliverer.DecodeSized(c.name, c.step, simSlots, c.cursor)
	require.NoError(t, err)
	for slot := range c.slots {
		if !cursor.Holds(slot) {
			delete(c.slots, slot)
		}
	}
}

// follows reports whether a page was built from the trainer's present cursor and not from an earlier one.
func (sim *simulation) follows(t require.TestingT, c *consumer, page codec.SamplePage) bool {
	next, err := deliverer.DecodeSized(c.name, c.step, simSlots, page.NextCursor)
	require.NoError(t, err)
	var slots []int
	for _, sample := range page.Samples {
		slots = append(slots, sample.Group*2+sample.Index)
	}
	held, err := deliverer.DecodeSized(c.name, c.step, simSlots, c.cursor)
	require.NoError(t, err)
	for _, slot := range slots {
		if held.Holds(slot) {
			return false
		}
	}
	return held.With(slots...).Encode(c.name) == next.Encode(c.name)
}

var simRefusals = []*refuser.Refusal{
	refuser.NotRun(refuser.NoUpstream, time.Second, "no engine"),
	refuser.Unknown(refuser.AttemptsExhausted, 0, "failed"),
	refuser.Unknown(refuser.ResponseIncomplete, 0, "chunks differ"),
	refuser.Unknown(refuser.OutcomeUnknown, 0, "score lost"),
}

// Guards against slots that reach their trainer twice or never, samples beyond the staleness bound, too much run-ahead and
// too many concurrent attempts, when hosts restart, two hosts own a trainer, pages are lost or requested again, trainers
// roll back and weights change.
func TestSchedulerMachine(t *testing.T) {
	defer asserter.SetHandler(func(name asserter.Invariant, detail string) { t.Fatalf("%s: %s", name, detail) })()
	rapid.Check(t, func(t *rapid.T) {
		sim := newSimulation()
		pick := func() *owner { return sim.owners[rapid.IntRange(0, 1).Draw(t, "owner")] }
		ref := func(refs []scheduler.Ref) scheduler.Ref {
			if len(refs) == 0 {
				t.Skip("nothing runs")
			}
			return rapid.SampledFrom(sorted(refs)).Draw(t, "ref")
		}
		t.Repeat(map[string]func(*rapid.T){
			"declare ahead": func(t *rapid.T) {
				c := rapid.SampledFrom(sim.consumers).Draw(t, "trainer")
				c.declared = max(c.declared, min(c.step+3, c.declared+1))
				sim.declare(t, pick(), c)
			},
			"chunk": func(t *rapid.T) {
				o := pick()
				sim.chunk(t, o, ref(slices.Collect(maps.Keys(o.running))))
			},
			"finish": func(t *rapid.T) {
				o := pick()
				sim.finish(t, o, ref(slices.Collect(maps.Keys(o.running))))
			},
			"fail": func(t *rapid.T) {
				o := pick()
				r := ref(slices.Collect(maps.Keys(o.running)))
				delete(o.running, r)
				sim.handle(t, o, scheduler.GenerationFailed{Ref: r, Refusal: rapid.SampledFrom(simRefusals).Draw(t, "refusal")})
			},
			"score": func(t *rapid.T) {
				o := pick()
				r := ref(slices.Collect(maps.Keys(o.scoring)))
				sim.score(t, o, r, rapid.SampledFrom(append(simRefusals, nil, nil, nil, nil)).Draw(t, "refusal"))
			},
			"fetch": func(t *rapid.T) {
				c := rapid.SampledFrom(sim.consumers).Draw(t, "trainer")
				cursor := rapid.SampledFrom(append(c.earlierCursors, c.cursor, c.cursor, c.cursor)).Draw(t, "cursor")
				sim.fetch(t, pick(), c, cursor, time.Duration(rapid.IntRange(0, 9).Draw(t, "wait"))*time.Second, rapid.Bool().Draw(t, "lost"))
			},
			"weights": func(t *rapid.T) {
				c := rapid.SampledFrom(sim.consumers).Draw(t, "trainer")
				c.version++
				sim.engines = max(sim.engines, c.version-identifier.WeightVersion(rapid.IntRange(0, 3).Draw(t, "lag")))
				sim.handle(t, pick(), scheduler.WeightsAnnounced{Trainer: c.name, Version: c.version})
			},
			"tick": func(t *rapid.T) {
				sim.now = sim.now.Add(time.Duration(rapid.IntRange(1, 20000).Draw(t, "ms")) * time.Millisecond)
				for _, o := range sim.owners {
					sim.deliver(t, o, sim.handle(t, o, scheduler.Tick{}), false)
				}
			},
			"trainer rolls back": func(t *rapid.T) {
				c := rapid.SampledFrom(sim.consumers).Draw(t, "trainer")
				sim.rollBack(t, c, rapid.IntRange(0, len(c.earlierCursors)).Draw(t, "pages"))
			},
			"restart": func(t *rapid.T) { sim.restart(rapid.IntRange(0, 1).Draw(t, "owner")) },
		})
		sim.drain(t)
	})
}

// drain runs one owner without faults until each trainer has completed its present step, so that a slot that is never
// generated or delivered fails the test.
func (sim *simulation) drain(t require.TestingT) {
	o := sim.owners[0]
	goal := []identifier.StepNumber{sim.consumers[0].step + 1, sim.consumers[1].step + 1}
	sim.engines = max(sim.engines, sim.consumers[0].version, sim.consumers[1].version)
	for rounds := 0; sim.consumers[0].step < goal[0] || sim.consumers[1].step < goal[1]; rounds++ {
		require.Less(t, rounds, 400, "a step is stuck")
		sim.now = sim.now.Add(time.Second)
		sim.deliver(t, o, sim.handle(t, o, scheduler.Tick{}), false)
		for _, c := range sim.consumers {
			sim.fetch(t, o, c, c.cursor, 0, false)
		}
		for _, ref := range sorted(slices.Collect(maps.Keys(o.running))) {
			if _, ok := o.running[ref]; ok {
				sim.finish(t, o, ref)
			}
		}
		for _, ref := range sorted(slices.Collect(maps.Keys(o.scoring))) {
			sim.score(t, o, ref, nil)
		}
	}
}
