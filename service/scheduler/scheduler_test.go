package scheduler_test

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"celerygap.example/lib/codec"
	"celerygap.example/lib/identifier"
	"celerygap.example/lib/refuser"
	"celerygap.example/service/scheduler"
)

// bench drives one scheduler and records its commands.
type bench struct {
	scheduler *scheduler.Scheduler
	now       time.Time
	starts    []scheduler.StartGeneration
	cancels   []scheduler.Ref
	replies   []scheduler.ReplyPage
}

func newBench(maxRunning int) *bench {
	config := scheduler.DefaultConfig(rand.New(rand.NewPCG(1, 2)))
	config.MaxRunning = maxRunning
	return &bench{scheduler: scheduler.New(config), now: time.Unix(0, 0)}
}

func (b *bench) handle(event scheduler.Event) []scheduler.StartGeneration {
	var starts []scheduler.StartGeneration
	for _, command := range b.scheduler.Handle(b.now, event) {
		switch c := command.(type) {
		case scheduler.StartGeneration:
			starts = append(starts, c)
		case scheduler.CancelGeneration:
			b.cancels = append(b.cancels, c.Ref)
		case scheduler.ReplyPage:
			b.replies = append(b.replies, c)
		}
	}
	b.starts = append(b.starts, starts...)
	return starts
}

// add declares one step of single samples for a trainer without scorer.
func (b *bench) add(name identifier.EntryName, share float64, prompts int) {
	config := settings(share)
	config.ScorerEntry = ""
	b.handle(scheduler.TrainerConfigured{Trainer: name, Settings: config})
	declaration := codec.StepDeclaration{Step: 1, GroupSize: 1, WeightVersion: 1}
	for i := range prompts {
		declaration.Prompts = append(declaration.Prompts, fmt.Sprint(i))
	}
	b.handle(scheduler.StepDeclared{Trainer: name, Declaration: declaration})
}

func (b *bench) finish(ref scheduler.Ref) []scheduler.StartGeneration {
	return b.handle(scheduler.Generated{Ref: ref, Sample: codec.Sample{Step: 1, Segments: []codec.Segment{{WeightVersion: 1}}}})
}

func (b *bench) fetch() {
	b.handle(scheduler.PageAsked{ID: 1, Trainer: "grit", Step: 1, Version: 1, Until: b.now.Add(time.Minute)})
}

// Guards against a trainer that takes the engines from another one with a share of its own.
func TestRunningGenerationsFollowTheShares(t *testing.T) {
	b := newBench(12)
	b.add("grit", 3, 200)
	b.add("tile", 1, 200)
	running := map[identifier.EntryName]int{}
	for i := 0; i < 100; i++ {
		b.finish(b.starts[i].Ref)
	}
	for _, start := range b.starts[100:] {
		running[start.Ref.Trainer]++
	}
	require.Equal(t, map[identifier.EntryName]int{"grit": 9, "tile": 3}, running)
}

// Guards against a stalled sample that holds up its step, against duplicates of samples that are only long, and against
// a duplicate with another seed, which would favour short responses.
func TestOnlyStalledSlotsNearTheEndGetADuplicate(t *testing.T) {
	b := newBench(100)
	b.add("grit", 1, 20)
	firsts := b.starts
	require.Len(t, firsts, 20)
	pass := func(seconds int) {
		for range seconds {
			b.now = b.now.Add(time.Second)
			b.handle(scheduler.ChunkArrived{Ref: firsts[19].Ref, Version: 1, Upstream: "engine-2"})
			b.handle(scheduler.Tick{})
		}
	}
	b.handle(scheduler.ChunkArrived{Ref: firsts[18].Ref, Version: 1, Upstream: "engine-1"})
	pass(10)
	require.Len(t, b.starts, 20, "a duplicate before 90% of the step is done")
	for i := range 18 {
		b.finish(firsts[i].Ref)
	}
	pass(10)
	duplicates := b.starts[20:]
	require.Len(t, duplicates, 1)
	require.Equal(t, 18, duplicates[0].Ref.Slot)
	require.Equal(t, firsts[18].Request.Seed, duplicates[0].Request.Seed)
	require.Equal(t, []identifier.UpstreamID{"engine-1"}, duplicates[0].Request.Avoid)
	b.finish(duplicates[0].Ref)
	require.Equal(t, []scheduler.Ref{firsts[18].Ref}, b.cancels)
}

// Guards against a slot that is never generated again for a trainer that lost what it held, and against a second call to
// a scorer with a key whose outcome stays unknown.
func TestLostSlotsAreGeneratedAgain(t *testing.T) {
	b := newBench(10)
	b.add("grit", 1, 1)
	b.fetch()
	b.finish(b.starts[0].Ref)
	held := b.replies[0].Page.NextCursor
	b.handle(scheduler.PageAsked{ID: 2, Trainer: "grit", Step: 1, Cursor: held, Version: 1, Until: b.now})
	b.fetch()
	require.Len(t, b.starts, 2)
	b.handle(scheduler.TrainerConfigured{Trainer: "grit", Settings: settings(1)})
	b.finish(b.starts[1].Ref)
	b.handle(scheduler.ScoreFailed{Ref: b.starts[1].Ref, Refusal: refuser.Unknown(refuser.OutcomeUnknown, 0, "lost")})
	b.now = b.now.Add(time.Minute)
	b.handle(scheduler.Tick{})
	require.Len(t, b.starts, 3)
}

// Guards against work for a step whose last page was sent: the trainer never confirms that page, and its samples grow old.
func TestASentStepIsNotGeneratedAgainForNewWeights(t *testing.T) {
	b := newBench(10)
	b.add("grit", 1, 2)
	b.finish(b.starts[0].Ref)
	b.finish(b.starts[1].Ref)
	b.fetch()
	require.True(t, b.replies[0].Page.Complete)
	require.Empty(t, b.handle(scheduler.WeightsAnnounced{Trainer: "grit", Version: 10}))
	b.now = b.now.Add(time.Minute)
	require.Empty(t, b.handle(scheduler.Tick{}))
	b.handle(scheduler.PageAsked{ID: 2, Trainer: "grit", Step: 1, Version: 10, Until: b.now.Add(time.Minute)})
	require.Len(t, b.starts, 4, "a lost last page must be generated again")
}

// Guards against run-ahead that makes samples older without use, and against one that stays too small when the trainer
// waits.
func TestRunAheadFollowsTheWaiting(t *testing.T) {
	b := newBench(100)
	config := settings(1)
	config.ScorerEntry = ""
	config.IdleWeight = 1
	b.handle(scheduler.TrainerConfigured{Trainer: "grit", Settings: config})
	furthest := identifier.StepNumber(0)
	finished := make(map[scheduler.Ref]bool)
	finish := func(step, last identifier.StepNumber) {
		for i := 0; i < len(b.starts); i++ {
			ref := b.starts[i].Ref
			if finished[ref] || ref.Step > last {
				continue
			}
			finished[ref] = true
			sample := codec.Sample{Segments: []codec.Segment{{WeightVersion: identifier.WeightVersion(step)}}}
			b.handle(scheduler.Generated{Ref: ref, Sample: sample})
			furthest = max(furthest, ref.Step-step)
		}
	}
	cycle := func(step identifier.StepNumber, wait time.Duration) {
		for next := step; next <= step+3; next++ {
			declaration := codec.StepDeclaration{Step: next, GroupSize: 1, Prompts: []string{"a"}}
			b.handle(scheduler.StepDeclared{Trainer: "grit", Declaration: declaration})
		}
		if wait == 0 {
			finish(step, step+3)
		}
		version := identifier.WeightVersion(step)
		b.handle(scheduler.PageAsked{Trainer: "grit", Step: step, Version: version, Until: b.now.Add(time.Hour)})
		b.now = b.now.Add(wait)
		finish(step, step)
		b.now = b.now.Add(10 * time.Second)
		b.handle(scheduler.WeightsAnnounced{Trainer: "grit", Version: version + 1})
	}
	step := identifier.StepNumber(1)
	pass := func(steps int, wait time.Duration) identifier.StepNumber {
		furthest = 0
		for range steps {
			cycle(step, wait)
			step++
		}
		return furthest
	}
	require.EqualValues(t, 2, pass(8, 0))
	pass(3, 0)
	require.EqualValues(t, 1, pass(8, 0), "samples are generated earlier than needed")
	pass(4, 5*time.Second)
	require.EqualValues(t, 2, pass(10, 0), "the trainer waits for too little run-ahead")
}

// Guards against samples of an earlier declaration of the same step number that are delivered for other prompts.
func TestCopiesOfAnotherDeclarationAreIgnored(t *testing.T) {
	b := newBench(10)
	b.handle(scheduler.TrainerConfigured{Trainer: "grit", Settings: settings(1)})
	former := codec.StepDeclaration{Step: 1, GroupSize: 1, Prompts: []string{"former"}}
	copies := codec.SampleCopies{Fingerprint: scheduler.Fingerprint(former), Samples: []codec.Sample{{Step: 1}}}
	next := codec.StepDeclaration{Step: 1, GroupSize: 1, Prompts: []string{"next"}}
	event := scheduler.StepDeclared{Trainer: "grit", Declaration: next, Copies: []codec.SampleCopies{copies}}
	require.Len(t, b.handle(event), 1)
}

// Guards against a page request that waits for ever for a prompt which the engines refuse to run.
func TestAPromptThatCannotRunIsReported(t *testing.T) {
	b := newBench(10)
	b.add("grit", 1, 1)
	b.fetch()
	refusal := refuser.NotRun(refuser.CrashesUpstreams, time.Hour, "proven")
	b.handle(scheduler.GenerationFailed{Ref: b.starts[0].Ref, Refusal: refusal})
	require.Len(t, b.replies, 1)
	require.Equal(t, refuser.CrashesUpstreams, b.replies[0].Refusal.Reason)
}

// Guards against a loop of refused calls when the engines are full, and against freed engines that get no work.
func TestRefusedWorkWaitsForCapacity(t *testing.T) {
	b := newBench(100)
	b.add("grit", 1, 100)
	firsts := b.starts
	require.Len(t, firsts, 100)
	refusal := refuser.NotRun(refuser.QueueFull, 5*time.Second, "full")
	for _, start := range firsts[10:] {
		require.Empty(t, b.handle(scheduler.GenerationFailed{Ref: start.Ref, Refusal: refusal}))
	}
	require.Len(t, b.finish(firsts[0].Ref), 1, "a freed engine gets no work at once")
	b.now = b.now.Add(time.Second)
	require.Len(t, b.handle(scheduler.Tick{}), 1, "no probe for freed capacity")
}

// Guards against waiting that is not counted as the trainer's idle time, and against busy time that is.
func TestIdleTimeIsTheWaitWithNothingToDeliver(t *testing.T) {
	b := newBench(10)
	b.add("grit", 1, 2)
	b.fetch()
	b.now = b.now.Add(3 * time.Second)
	b.finish(b.starts[0].Ref)
	require.Len(t, b.replies, 1)
	require.Equal(t, 3*time.Second, b.replies[0].Waited)
	b.now = b.now.Add(4 * time.Second)
	b.finish(b.starts[1].Ref)
	b.handle(scheduler.PageAsked{ID: 2, Trainer: "grit", Step: 1, Cursor: b.replies[0].Page.NextCursor, Version: 1, Until: b.now})
	require.Zero(t, b.replies[1].Waited)
	require.True(t, b.replies[1].Page.Complete)
	require.Equal(t, 3*time.Second, b.scheduler.Status()[0].Idle.Std())
}

// Guards against waiting that is counted twice when a trainer repeats a request whose caller is gone.
func TestARepeatedRequestTakesTheEarlierOnesPlace(t *testing.T) {
	b := newBench(10)
	b.add("grit", 1, 1)
	b.fetch()
	b.now = b.now.Add(time.Second)
	b.handle(scheduler.PageAsked{ID: 2, Trainer: "grit", Step: 1, Version: 1, Until: b.now.Add(time.Minute)})
	require.Len(t, b.replies, 1)
	b.now = b.now.Add(time.Second)
	b.finish(b.starts[0].Ref)
	require.Len(t, b.replies, 2)
	require.Equal(t, 2*time.Second, b.scheduler.Status()[0].Idle.Std())
}

// BenchmarkStep measures the decisions for one sample of a step of the target scale.
func BenchmarkStep(b *testing.B) {
	const samples = 2048
	for range b.N {
		driver := newBench(512)
		driver.add("grit", 1, samples)
		driver.fetch()
		for i := 0; i < samples; i++ {
			driver.handle(scheduler.ChunkArrived{Ref: driver.starts[i].Ref, Version: 1})
			driver.finish(driver.starts[i].Ref)
		}
	}
	b.ReportMetric(float64(b.Elapsed().Nanoseconds())/float64(b.N)/samples, "ns/sample")
}

// Guards against samples of one group that share a seed: with the same prompt they would be equal.
func TestEverySlotOfAStepHasItsOwnSeed(t *testing.T) {
	b := newBench(100)
	b.add("grit", 1, 20)
	require.Len(t, b.starts, 20)
	seeds := make(map[int64]bool)
	for _, start := range b.starts {
		require.GreaterOrEqual(t, start.Request.Seed, int64(0))
		seeds[start.Request.Seed] = true
	}
	require.Len(t, seeds, 20)
}
