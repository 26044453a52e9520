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

// harness drives one scheduler and records its commands.
type harness struct {
	scheduler *scheduler.Scheduler
	now       time.Time
	starts    []scheduler.StartGeneration
	cancels   []scheduler.Ref
	replies   []scheduler.ReplyPage
}

func newHarness(maxRunning int) *harness {
	config := scheduler.DefaultConfig(rand.New(rand.NewPCG(1, 2)))
	config.MaxRunning = maxRunning
	return &harness{scheduler: scheduler.New(config), now: time.Unix(0, 0)}
}

func (h *harness) handle(event scheduler.Event) []scheduler.StartGeneration {
	var starts []scheduler.StartGeneration
	for _, command := range h.scheduler.Handle(h.now, event) {
		switch c := command.(type) {
		case scheduler.StartGeneration:
			starts = append(starts, c)
		case scheduler.CancelGeneration:
			h.cancels = append(h.cancels, c.Ref)
		case scheduler.ReplyPage:
			h.replies = append(h.replies, c)
		}
	}
	h.starts = append(h.starts, starts...)
	return starts
}

// add declares one step of single samples for a trainer without scorer.
func (h *harness) add(name identifier.EntryName, share float64, prompts int) {
	config := settings(share)
	config.ScorerEntry = ""
	h.handle(scheduler.TrainerConfigured{Trainer: name, Settings: config})
	declaration := codec.StepDeclaration{Step: 1, GroupSize: 1, WeightVersion: 1}
	for i := range prompts {
		declaration.Prompts = append(declaration.Prompts, fmt.Sprint(i))
	}
	h.handle(scheduler.StepDeclared{Trainer: name, Declaration: declaration})
}

func (h *harness) finish(ref scheduler.Ref) []scheduler.StartGeneration {
	return h.handle(scheduler.Generated{Ref: ref, Sample: codec.Sample{Step: 1, Segments: []codec.Segment{{WeightVersion: 1}}}})
}

func (h *harness) fetch() {
	h.handle(scheduler.PageRequested{ID: 1, Trainer: "grit", Step: 1, Version: 1, Until: h.now.Add(time.Minute)})
}

// Guards against a trainer that occupies engines beyond its share while another trainer has pending work.
func TestRunningGenerationsFollowTheShares(t *testing.T) {
	h := newHarness(12)
	h.add("grit", 3, 200)
	h.add("tile", 1, 200)
	running := map[identifier.EntryName]int{}
	for i := 0; i < 100; i++ {
		h.finish(h.starts[i].Ref)
	}
	for _, start := range h.starts[100:] {
		running[start.Ref.Trainer]++
	}
	require.Equal(t, map[identifier.EntryName]int{"grit": 9, "tile": 3}, running)
}

// Guards against a stalled sample that delays its step, against duplicates of samples that are only long, and against a
// duplicate with another seed, which would favour short responses.
func TestOnlyStalledSlotsNearTheEndGetADuplicate(t *testing.T) {
	h := newHarness(100)
	h.add("grit", 1, 20)
	firsts := h.starts
	require.Len(t, firsts, 20)
	pass := func(seconds int) {
		for range seconds {
			h.now = h.now.Add(time.Second)
			h.handle(scheduler.ChunkArrived{Ref: firsts[19].Ref, Version: 1, Upstream: "engine-2"})
			h.handle(scheduler.Tick{})
		}
	}
	h.handle(scheduler.ChunkArrived{Ref: firsts[18].Ref, Version: 1, Upstream: "engine-1"})
	pass(10)
	require.Len(t, h.starts, 20, "duplicate started before 90% of the step is done")
	for i := range 18 {
		h.finish(firsts[i].Ref)
	}
	pass(10)
	duplicates := h.starts[20:]
	require.Len(t, duplicates, 1)
	require.Equal(t, 18, duplicates[0].Ref.Slot)
	require.Equal(t, firsts[18].Request.Seed, duplicates[0].Request.Seed)
	require.Equal(t, []identifier.UpstreamID{"engine-1"}, duplicates[0].Request.Avoid)
	h.finish(duplicates[0].Ref)
	require.Equal(t, []scheduler.Ref{firsts[18].Ref}, h.cancels)
}

// Guards against a slot that is not generated again after the trainer's cursor lost it, and against a sample that is scored
// again with the same key, instead of being replaced, after the outcome of its score stayed unknown.
func TestLostSlotsAreGeneratedAgain(t *testing.T) {
	h := newHarness(10)
	h.add("grit", 1, 1)
	h.fetch()
	h.finish(h.starts[0].Ref)
	held := h.replies[0].Page.NextCursor
	h.handle(scheduler.PageRequested{ID: 2, Trainer: "grit", Step: 1, Cursor: held, Version: 1, Until: h.now})
	h.fetch()
	require.Len(t, h.starts, 2)
	h.handle(scheduler.TrainerConfigured{Trainer: "grit", Settings: settings(1)})
	h.finish(h.starts[1].Ref)
	h.handle(scheduler.ScoreFailed{Ref: h.starts[1].Ref, Refusal: refuser.Unknown(refuser.OutcomeUnknown, 0, "lost")})
	h.now = h.now.Add(time.Minute)
	h.handle(scheduler.Tick{})
	require.Len(t, h.starts, 3)
}

// Guards against samples of a completely sent step that are generated again for newer weights: the trainer never confirms
// the last page, so the step stays known while its samples become too old. Only a lost last page makes that necessary.
func TestASentStepIsNotGeneratedAgainForNewWeights(t *testing.T) {
	h := newHarness(10)
	h.add("grit", 1, 2)
	h.finish(h.starts[0].Ref)
	h.finish(h.starts[1].Ref)
	h.fetch()
	require.True(t, h.replies[0].Page.Complete)
	require.Empty(t, h.handle(scheduler.WeightsAnnounced{Trainer: "grit", Version: 10}))
	h.now = h.now.Add(time.Minute)
	require.Empty(t, h.handle(scheduler.Tick{}))
	h.handle(scheduler.PageRequested{ID: 2, Trainer: "grit", Step: 1, Version: 10, Until: h.now.Add(time.Minute)})
	require.Len(t, h.starts, 4, "a lost last page must be generated again")
}

// Guards against a run-ahead that makes samples staler although the trainer does not wait, and against one that stays too
// small although it waits.
func TestRunAheadFollowsTrainerWait(t *testing.T) {
	h := newHarness(100)
	config := settings(1)
	config.ScorerEntry = ""
	config.IdleWeight = 1
	h.handle(scheduler.TrainerConfigured{Trainer: "grit", Settings: config})
	furthest := identifier.StepNumber(0)
	finished := make(map[scheduler.Ref]bool)
	finish := func(step, last identifier.StepNumber) {
		for i := 0; i < len(h.starts); i++ {
			ref := h.starts[i].Ref
			if finished[ref] || ref.Step > last {
				continue
			}
			finished[ref] = true
			sample := codec.Sample{Segments: []codec.Segment{{WeightVersion: identifier.WeightVersion(step)}}}
			h.handle(scheduler.Generated{Ref: ref, Sample: sample})
			furthest = max(furthest, ref.Step-step)
		}
	}
	cycle := func(step identifier.StepNumber, wait time.Duration) {
		for next := step; next <= step+3; next++ {
			declaration := codec.StepDeclaration{Step: next, GroupSize: 1, Prompts: []string{"a"}}
			h.handle(scheduler.StepDeclared{Trainer: "grit", Declaration: declaration})
		}
		if wait == 0 {
			finish(step, step+3)
		}
		version := identifier.WeightVersion(step)
		h.handle(scheduler.PageRequested{Trainer: "grit", Step: step, Version: version, Until: h.now.Add(time.Hour)})
		h.now = h.now.Add(wait)
		finish(step, step)
		h.now = h.now.Add(10 * time.Second)
		h.handle(scheduler.WeightsAnnounced{Trainer: "grit", Version: version + 1})
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
	require.EqualValues(t, 1, pass(8, 0), "run-ahead is not lowered although the trainer does not wait")
	pass(4, 5*time.Second)
	require.EqualValues(t, 2, pass(10, 0), "run-ahead is not raised although the trainer waits")
}

// Guards against copies of samples of an earlier declaration of a step number that are delivered for the prompts of a later
// one.
func TestCopiesOfAnotherDeclarationAreIgnored(t *testing.T) {
	h := newHarness(10)
	h.handle(scheduler.TrainerConfigured{Trainer: "grit", Settings: settings(1)})
	former := codec.StepDeclaration{Step: 1, GroupSize: 1, Prompts: []string{"former"}}
	copies := codec.SampleCopies{Fingerprint: scheduler.Fingerprint(former), Samples: []codec.Sample{{Step: 1}}}
	next := codec.StepDeclaration{Step: 1, GroupSize: 1, Prompts: []string{"next"}}
	event := scheduler.StepDeclared{Trainer: "grit", Declaration: next, Copies: []codec.SampleCopies{copies}}
	require.Len(t, h.handle(event), 1)
}

// Guards against a page request that never gets a reply because the engines refuse to run its prompt.
func TestAPromptThatCannotRunIsReported(t *testing.T) {
	h := newHarness(10)
	h.add("grit", 1, 1)
	h.fetch()
	refusal := refuser.NotRun(refuser.CrashesUpstreams, time.Hour, "proven")
	h.handle(scheduler.GenerationFailed{Ref: h.starts[0].Ref, Refusal: refusal})
	require.Len(t, h.replies, 1)
	require.Equal(t, refuser.CrashesUpstreams, h.replies[0].Refusal.Reason)
}

// Guards against a loop of refused calls while the engines are full, and against freed engines that get no work.
func TestRefusedWorkWaitsForCapacity(t *testing.T) {
	h := newHarness(100)
	h.add("grit", 1, 100)
	firsts := h.starts
	require.Len(t, firsts, 100)
	refusal := refuser.NotRun(refuser.QueueFull, 5*time.Second, "full")
	for _, start := range firsts[10:] {
		require.Empty(t, h.handle(scheduler.GenerationFailed{Ref: start.Ref, Refusal: refusal}))
	}
	require.Len(t, h.finish(firsts[0].Ref), 1, "no generation started for a freed engine")
	h.now = h.now.Add(time.Second)
	require.Len(t, h.handle(scheduler.Tick{}), 1, "the tick did not probe for freed capacity")
}

// Guards against idle time that omits waiting for samples or includes the time between page requests.
func TestIdleTimeIsTheWaitWithNothingToDeliver(t *testing.T) {
	h := newHarness(10)
	h.add("grit", 1, 2)
	h.fetch()
	h.now = h.now.Add(3 * time.Second)
	h.finish(h.starts[0].Ref)
	require.Len(t, h.replies, 1)
	require.Equal(t, 3*time.Second, h.replies[0].Waited)
	h.now = h.now.Add(4 * time.Second)
	h.finish(h.starts[1].Ref)
	h.handle(scheduler.PageRequested{ID: 2, Trainer: "grit", Step: 1, Cursor: h.replies[0].Page.NextCursor, Version: 1, Until: h.now})
	require.Zero(t, h.replies[1].Waited)
	require.True(t, h.replies[1].Page.Complete)
	require.Equal(t, 3*time.Second, h.scheduler.Status()[0].Idle.Std())
}

// Guards against idle time that is counted twice when a trainer repeats a page request whose caller is gone.
func TestRepeatedPageRequestReplacesEarlierOne(t *testing.T) {
	h := newHarness(10)
	h.add("grit", 1, 1)
	h.fetch()
	h.now = h.now.Add(time.Second)
	h.handle(scheduler.PageRequested{ID: 2, Trainer: "grit", Step: 1, Version: 1, Until: h.now.Add(time.Minute)})
	require.Len(t, h.replies, 1)
	h.now = h.now.Add(time.Second)
	h.finish(h.starts[0].Ref)
	require.Len(t, h.replies, 2)
	require.Equal(t, 2*time.Second, h.scheduler.Status()[0].Idle.Std())
}

// BenchmarkStep measures the state machine's time per sample for a step of the target scale.
func BenchmarkStep(b *testing.B) {
	const samples = 2048
	for range b.N {
		h := newHarness(512)
		h.add("grit", 1, samples)
		h.fetch()
		for i := 0; i < samples; i++ {
			h.handle(scheduler.ChunkArrived{Ref: h.starts[i].Ref, Version: 1})
			h.finish(h.starts[i].Ref)
		}
	}
	b.ReportMetric(float64(b.Elapsed().Nanoseconds())/float64(b.N)/samples, "ns/sample")
}

// Guards against slots of a group that share a seed: with the same prompt, their samples would be equal.
func TestEverySlotOfAStepHasItsOwnSeed(t *testing.T) {
	h := newHarness(100)
	h.add("grit", 1, 20)
	require.Len(t, h.starts, 20)
	seeds := make(map[int64]bool)
	for _, start := range h.starts {
		require.GreaterOrEqual(t, start.Request.Seed, int64(0))
		seeds[start.Request.Seed] = true
	}
	require.Len(t, seeds, 20)
}
