package batcher

import (
	"cmp"
	"context"
	"errors"
	"slices"
	"sync"
	"time"

	"celerygap.example/lib/codec"
	"celerygap.example/lib/identifier"
	"celerygap.example/lib/logger"
	"celerygap.example/service/batchkeeper"
	"celerygap.example/service/connector"
)

const (
	// bodyShare is the part of the memory for callers that the bodies of open jobs may take; further ones stay in the store until
	// their items run. jobShare is the part above which ended jobs are dropped, the oldest first; their results are read from the
	// store then.
	bodyShare = 4
	jobShare  = 2
	// chargeInterval is the time between two measurements of the jobs.
	chargeInterval = 500 * time.Millisecond
	// maxCachedParts is the number of parts whose bodies were read from the store last and are kept.
	maxCachedParts = 4
	// maxChainBytes bounds the cached results of other hosts' jobs.
	maxChainBytes = identifier.Bytes(16 << 20)
	// maxForwardBytes bounds a job that is passed to its home; a larger one stays at the host that received it.
	maxForwardBytes = identifier.Bytes(6 << 20)
)

// Size returns the memory that the bodies of a job's items take, and that of everything else.
func (b *Batcher) Size(id identifier.BatchID) (bodies, rest identifier.Bytes) {
	j, ok := b.jobs[id]
	if !ok {
		return 0, 0
	}
	for _, it := range j.items {
		bodies += identifier.Bytes(len(it.spec.Body))
		rest += batchkeeper.ItemSize(it.spec) + textSize(it.events)
	}
	return bodies, rest + resultsSize(j.results) + resultsSize(j.pending)
}

func textSize(events []string) identifier.Bytes {
	var size identifier.Bytes
	for _, event := range events {
		size += identifier.Bytes(len(event))
	}
	return size
}

func progressSize(texts []codec.ItemProgress) identifier.Bytes {
	var size identifier.Bytes
	for _, text := range texts {
		size += textSize(text.Events)
	}
	return size
}

func resultsSize(results []codec.BatchResult) identifier.Bytes {
	var size identifier.Bytes
	for _, result := range results {
		size += resultOverhead + identifier.Bytes(len(result.Text))
	}
	return size
}

// jobSize returns the memory that a job takes, without texts and results.
func jobSize(job codec.BatchJob) identifier.Bytes {
	size, bodies := batchkeeper.ItemsSize(job.Items)
	return size + bodies
}

// keepBodies reports whether the bodies of items may stay in memory, and counts them then. d.mu must not be held.
func (d *Driver) keepBodies(items []codec.BatchItem) bool {
	limit := d.config.Memory.Limit()
	if limit == 0 {
		return true
	}
	_, size := batchkeeper.ItemsSize(items)
	d.mu.Lock()
	defer d.mu.Unlock()
	if d.bodyBytes+size > limit/bodyShare {
		return false
	}
	d.bodyBytes += size
	return true
}

// leaveBodies returns the items of a job without the bodies that do not fit into memory, and whether there are any.
func (d *Driver) leaveBodies(items []codec.BatchItem, partItems []int) (kept []codec.BatchItem, left bool) {
	if len(partItems) == 0 || d.keepBodies(items) {
		return items, false
	}
	kept = slices.Clone(items)
	removeBodies(kept)
	return kept, true
}

func removeBodies(items []codec.BatchItem) {
	for i := range items {
		items[i].Body = nil
	}
}

// load reads a job from the store. Bodies that do not fit into memory are left there.
func (d *Driver) load(ctx context.Context, head batchkeeper.Head) (job codec.BatchJob, partItems []int, bodiesLeft bool, err error) {
	job, err = d.config.Keeper.Load(ctx, head, func(items []codec.BatchItem) {
		partItems = append(partItems, len(items))
		if !d.keepBodies(items) {
			removeBodies(items)
			bodiesLeft = true
		}
	})
	return job, partItems, bodiesLeft, err
}

// chargeJobs charges the memory of this host's jobs to the account, so that new requests wait for it, and drops ended jobs if all
// jobs together take too much. d.mu must be held.
func (d *Driver) chargeJobs(now time.Time) {
	limit := d.config.Memory.Limit()
	if limit == 0 || now.Sub(d.chargedAt) < chargeInterval {
		return
	}
	d.chargedAt = now
	d.bodyBytes = 0
	var total identifier.Bytes
	var ended []*ownedJob
	for id, h := range d.owned {
		if !h.measuredEnded {
			bodies, rest := d.machine.Size(id)
			d.bodyBytes += bodies
			h.memory.Set(bodies + rest)
			h.measuredEnded = h.head.Ended
		}
		total += h.memory.Size()
		if h.head.Ended {
			ended = append(ended, h)
		}
	}
	d.unloadEnded(ended, total, limit/jobShare)
}

// unloadEnded drops ended jobs, the oldest first, until the jobs of this host, which take total, take at most limit together. It
// returns what they take then. d.mu must be held.
func (d *Driver) unloadEnded(ended []*ownedJob, total, limit identifier.Bytes) identifier.Bytes {
	slices.SortFunc(ended, func(x, y *ownedJob) int {
		return cmp.Or(x.head.SubmittedAt.Compare(y.head.SubmittedAt), cmp.Compare(x.head.ID, y.head.ID))
	})
	for _, h := range ended {
		if total <= limit {
			break
		}
		total -= h.memory.Size()
		d.config.Log.Info(logger.JobUnloaded).Str("request", string(h.head.ID)).Int64("bytes", int64(h.memory.Size())).Send()
		d.dropLocked(h, h.head)
	}
	return total
}

// partCache reads the bodies of items from the store, one part at a time, and keeps those of the last parts.
type partCache struct {
	keeper *batchkeeper.Keeper

	mu    sync.Mutex
	parts []cachedPart
}

type cachedPart struct {
	job    identifier.BatchID
	number int
	bodies [][]byte
}

var errNoSuchItem = errors.New("the stored part has no such item")

// body returns the body of the item at a position of a job whose parts have the given numbers of items.
func (c *partCache) body(ctx context.Context, id identifier.BatchID, partItems []int, position int) ([]byte, error) {
	number := 0
	for number < len(partItems) && position >= partItems[number] {
		position -= partItems[number]
		number++
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	index := slices.IndexFunc(c.parts, func(p cachedPart) bool { return p.job == id && p.number == number })
	if index < 0 {
		part, err := c.keeper.Part(ctx, id, number)
		if err != nil {
			return nil, err
		}
		if len(c.parts) >= maxCachedParts {
			c.parts = slices.Delete(c.parts, 0, 1)
		}
		bodies := make([][]byte, len(part.Items))
		for i, item := range part.Items {
			bodies[i] = item.Body
		}
		c.parts = append(c.parts, cachedPart{id, number, bodies})
		index = len(c.parts) - 1
	}
	found := c.parts[index]
	// The part that was used last is evicted last.
	c.parts = append(slices.Delete(c.parts, index, index+1), found)
	if position >= len(found.bodies) {
		return nil, errNoSuchItem
	}
	return found.bodies[position], nil
}

// itemOf returns the item of a run with its body.
func (d *Driver) itemOf(ctx context.Context, c StartRun) (*codec.BatchItem, error) {
	if !c.BodyStored {
		return c.Item, nil
	}
	body, err := d.bodyAt(ctx, c.Job, c.Position)
	if err != nil {
		return nil, &connector.UpstreamError{Failure: connector.FailureBodyUnavailable, Err: err}
	}
	item := *c.Item
	item.Body = body
	return &item, nil
}

// bodyAt reads the body of an item of a job that this host owns from the store.
func (d *Driver) bodyAt(ctx context.Context, id identifier.BatchID, position int) ([]byte, error) {
	d.mu.Lock()
	h, ok := d.owned[id]
	var partItems []int
	if ok {
		partItems = h.partItems
	}
	d.mu.Unlock()
	if !ok {
		return nil, connector.ErrNotFound
	}
	return d.parts.body(ctx, id, partItems, position)
}
