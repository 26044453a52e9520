package scheduler_test

import (
	"context"
	"fmt"
	"strings"
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/require"

	"celerygap.example/lib/codec"
	"celerygap.example/lib/grouper"
	"celerygap.example/lib/identifier"
	"celerygap.example/lib/refuser"
	"celerygap.example/service/storekeeper"
)

const (
	groups    = 12
	groupSize = 4
)

func declaration(step identifier.StepNumber) codec.StepDeclaration {
	d := codec.StepDeclaration{Step: step, GroupSize: groupSize, WeightVersion: 1}
	for i := range groups {
		d.Prompts = append(d.Prompts, fmt.Sprintf("prompt %d of step %d", i, step))
	}
	return d
}

// reader reads one step like a trainer and fails the test if it gets a slot twice.
type reader struct {
	t      *testing.T
	step   identifier.StepNumber
	cursor string
	slots  map[[2]int]codec.Sample
	done   bool
}

func newReader(t *testing.T, step identifier.StepNumber) *reader {
	return &reader{t: t, step: step, slots: make(map[[2]int]codec.Sample)}
}

func (r *reader) fetch(h *host, wait time.Duration) (codec.SamplePage, error) {
	request := codec.FetchPage{
		Trainer: trainerName, Step: r.step, Cursor: r.cursor, WeightVersion: h.cluster.weightVersion(),
	}
	return h.driver.Page(context.Background(), request, wait)
}

func (r *reader) take(page codec.SamplePage, version identifier.WeightVersion) {
	for _, sample := range page.Samples {
		slot := [2]int{sample.Group, sample.Index}
		require.NotContains(r.t, r.slots, slot)
		require.InDelta(r.t, 0.5, sample.Reward, 0)
		for _, segment := range sample.Segments {
			require.LessOrEqual(r.t, int64(version-segment.WeightVersion), int64(2))
		}
		r.slots[slot] = sample
	}
	r.cursor = page.NextCursor
	r.done = page.Complete
	require.Equal(r.t, r.done, len(r.slots) == groups*groupSize)
}

// readAll reads the rest of the step from the hosts in turn; failed requests are retried until the limit.
func (r *reader) readAll(limit time.Duration, hosts ...*host) {
	began := time.Now()
	for i := 0; !r.done; i++ {
		require.Less(r.t, time.Since(began), limit, "step not delivered in time; the reader holds %d slots", len(r.slots))
		h := hosts[i%len(hosts)]
		version := h.cluster.weightVersion()
		page, err := r.fetch(h, 2*time.Second)
		if err != nil {
			time.Sleep(500 * time.Millisecond)
			continue
		}
		r.take(page, version)
	}
}

func inCluster(t *testing.T, hosts int, test func(t *testing.T, c *cluster)) {
	synctest.Test(t, func(t *testing.T) {
		c := newCluster(t, hosts)
		defer c.close()
		test(t, c)
	})
}

// Guards against a host that cannot declare or read a step, and against a changed or too large declaration that is accepted.
func TestAnyHostDeclaresAndReads(t *testing.T) {
	inCluster(t, 3, func(t *testing.T, c *cluster) {
		ctx := context.Background()
		for _, h := range c.hosts {
			require.NoError(t, h.driver.Declare(ctx, trainerName, declaration(1)))
		}
		changed := declaration(1)
		changed.Prompts[0] = "other"
		refusal, _ := refuser.As(c.hosts["host-1"].driver.Declare(ctx, trainerName, changed))
		require.Equal(t, refuser.StepDiffers, refusal.Reason)
		large := declaration(2)
		large.Prompts[0] = strings.Repeat("a", 1<<20)
		refusal, ok := refuser.As(c.hosts["host-1"].driver.Declare(ctx, trainerName, large))
		require.True(t, ok)
		require.Equal(t, refuser.BodyTooLarge, refusal.Reason)
		require.Contains(t, refusal.Detail, "1048576")
		r := newReader(t, 1)
		r.readAll(time.Minute, c.hosts["host-0"], c.hosts["host-1"], c.hosts["host-2"])
		page, err := r.fetch(c.hosts["host-2"], time.Second)
		require.NoError(t, err)
		require.True(t, page.Complete)
	})
}

// Guards against a step that cannot be declared while the store is down, or is lost with its owner before the declaration
// is stored.
func TestDeclarationOutlivesItsHostWhileTheStoreIsDown(t *testing.T) {
	inCluster(t, 3, func(t *testing.T, c *cluster) {
		c.store.SetFaults(storekeeper.Faults{Down: true})
		require.NoError(t, c.hosts["host-0"].driver.Declare(context.Background(), trainerName, declaration(1)))
		time.Sleep(300 * time.Millisecond)
		owner := c.owner().self.ID
		c.kill(owner)
		c.unlist(owner)
		r := newReader(t, 1)
		r.readAll(time.Minute, c.other())
		c.store.SetFaults(storekeeper.Faults{})
		time.Sleep(5 * time.Second)
		_, err := c.store.Get(context.Background(), "steps/"+trainerName+"/1")
		require.NoError(t, err, "the new owner does not write the declaration")
	})
}

// Guards against a sample that is delivered twice or lost when the owner fails after it sent a page that never arrives,
// while the other hosts still list it as a member.
func TestOwnerDiesBetweenSendAndAcknowledge(t *testing.T) {
	inCluster(t, 4, func(t *testing.T, c *cluster) {
		require.NoError(t, c.hosts["host-0"].driver.Declare(context.Background(), trainerName, declaration(1)))
		time.Sleep(300 * time.Millisecond)
		owner, other := c.owner(), c.other()
		r := newReader(t, 1)
		page, err := r.fetch(other, time.Second)
		require.NoError(t, err)
		r.take(page, 1)
		c.loseReplies("fetch_page", true)
		_, err = r.fetch(other, time.Second)
		require.Error(t, err)
		c.kill(owner.self.ID)
		c.loseReplies("fetch_page", false)
		r.readAll(time.Minute, other)
	})
}

// Guards against a slot that is delivered twice when two isolated hosts both schedule the trainer.
func TestTwoOwnersAtOnce(t *testing.T) {
	inCluster(t, 2, func(t *testing.T, c *cluster) {
		require.NoError(t, c.hosts["host-0"].driver.Declare(context.Background(), trainerName, declaration(1)))
		c.isolate()
		changed := declaration(1)
		changed.GroupSize++
		require.Error(t, c.hosts["host-1"].driver.Declare(context.Background(), trainerName, changed))
		r := newReader(t, 1)
		r.readAll(time.Minute, c.hosts["host-0"], c.hosts["host-1"])
	})
}

// Guards against a sample with wrong weight versions, or beyond the staleness bound, when weights change while it is being
// generated, waits for delivery or is being delivered.
func TestWeightsChangeDuringAStep(t *testing.T) {
	inCluster(t, 3, func(t *testing.T, c *cluster) {
		require.NoError(t, c.hosts["host-0"].driver.Declare(context.Background(), trainerName, declaration(1)))
		r := newReader(t, 1)
		for version := identifier.WeightVersion(2); version < 8; version++ {
			time.Sleep(150 * time.Millisecond)
			c.setVersion(version)
			page, err := r.fetch(c.hosts["host-1"], 0)
			require.NoError(t, err)
			r.take(page, version)
		}
		r.readAll(time.Minute, c.hosts["host-2"])
		labels := make(map[int]bool)
		for _, sample := range r.slots {
			labels[len(sample.Segments)] = true
		}
		require.Greater(t, len(labels), 1, "no sample spans two versions")
	})
}

// Guards against a planned stop that loses finished samples or makes the next host generate them again.
func TestHandOverKeepsFinishedSamples(t *testing.T) {
	inCluster(t, 2, func(t *testing.T, c *cluster) {
		c.removeDisks()
		require.NoError(t, c.hosts["host-0"].driver.Declare(context.Background(), trainerName, declaration(1)))
		r := newReader(t, 1)
		time.Sleep(5 * time.Second)
		owner, other := c.owner(), c.other()
		before := c.generator.attempts()
		ctx, cancel := context.WithTimeout(context.Background(), 10*time.Second)
		defer cancel()
		require.NoError(t, owner.driver.HandOver(ctx))
		c.kill(owner.self.ID)
		c.unlist(owner.self.ID)
		r.readAll(time.Minute, other)
		require.Equal(t, before, c.generator.attempts(), "finished samples were generated again")
	})
}

// Guards against a lost response of the store that makes the retry of the same write a conflict, and against a declaration
// that is never written, or never removed, after an outage.
func TestDeclarationReachesTheStoreLater(t *testing.T) {
	inCluster(t, 3, func(t *testing.T, c *cluster) {
		ctx := context.Background()
		c.store.SetFaults(storekeeper.Faults{LoseResponses: 1})
		require.NoError(t, c.hosts["host-0"].driver.Declare(ctx, trainerName, declaration(1)))
		c.store.SetFaults(storekeeper.Faults{Latency: time.Minute})
		require.NoError(t, c.hosts["host-1"].driver.Declare(ctx, trainerName, declaration(2)))
		time.Sleep(10 * time.Second)
		c.store.SetFaults(storekeeper.Faults{})
		time.Sleep(time.Minute)
		list, err := c.store.List(ctx, "steps/"+trainerName+"/")
		require.NoError(t, err)
		require.Len(t, list.Objects, 2)
		newReader(t, 1).readAll(time.Minute, c.hosts["host-2"])
		newReader(t, 2).readAll(time.Minute, c.hosts["host-2"])
		time.Sleep(15 * time.Minute)
		list, err = c.store.List(ctx, "steps/")
		require.NoError(t, err)
		require.Empty(t, list.Objects)
	})
}

// Guards against a stalled engine that delays the step until the deadline of its generation.
func TestStalledGenerationIsDuplicated(t *testing.T) {
	inCluster(t, 1, func(t *testing.T, c *cluster) {
		c.generator.stall = map[string]bool{"prompt 11 of step 1": true}
		require.NoError(t, c.hosts["host-0"].driver.Declare(context.Background(), trainerName, declaration(1)))
		newReader(t, 1).readAll(20*time.Second, c.hosts["host-0"])
	})
}

// Guards against samples that are generated again after the owner failed although other hosts hold copies.
func TestCopiesOutliveTheOwner(t *testing.T) {
	inCluster(t, 4, func(t *testing.T, c *cluster) {
		require.NoError(t, c.hosts["host-0"].driver.Declare(context.Background(), trainerName, declaration(1)))
		time.Sleep(10 * time.Second)
		before := c.generator.attempts()
		owner := c.owner().self.ID
		c.kill(owner)
		c.unlist(owner)
		newReader(t, 1).readAll(time.Minute, c.other())
		require.Equal(t, before, c.generator.attempts(), "copied samples were generated again")
	})
}

// Guards against a planned stop that fails a waiting page request or cancels a running generation.
func TestHandOverAnswersWaitingRequests(t *testing.T) {
	inCluster(t, 2, func(t *testing.T, c *cluster) {
		c.generator.interval = 3 * time.Second
		require.NoError(t, c.hosts["host-0"].driver.Declare(context.Background(), trainerName, declaration(1)))
		time.Sleep(time.Second)
		owner, other := c.owner(), c.other()
		group := grouper.NewGroup(1)
		group.Go(func() {
			_, err := newReader(t, 1).fetch(owner, 30*time.Second)
			require.NoError(t, err)
		})
		time.Sleep(time.Second)
		ctx, cancel := context.WithTimeout(context.Background(), time.Minute)
		defer cancel()
		require.NoError(t, owner.driver.HandOver(ctx))
		group.Wait()
		require.Zero(t, c.generator.cancelled(), "a running generation was cancelled, by the stop or because it was started twice")
		c.kill(owner.self.ID)
		c.unlist(owner.self.ID)
		newReader(t, 1).readAll(10*time.Minute, other)
		require.Equal(t, groups*groupSize+1, c.generator.attempts(), "want one attempt for each sample and one for the refused attempt")
	})
}
