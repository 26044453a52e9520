package batcher

import (
	"context"
	"errors"
	"fmt"
	"time"

	"celerygap.example/lib/codec"
	"celerygap.example/lib/identifier"
	"celerygap.example/lib/logger"
	"celerygap.example/service/batchkeeper"
	"celerygap.example/service/reserver"
)

const (
	// loneShare is the part, in eighths, of the largest reservation that a job waits for if it is the only one of its host. It may
	// take more than that.
	loneShare = 6
	// forwardedWait is how long a job that another host passes on waits for memory; that host keeps it otherwise.
	forwardedWait = 100 * time.Millisecond
	// loadUnits bounds the parts of the jobs that are read from the store at the same time, which take memory while they are decoded. A
	// job of maxLoadUnits parts or more counts as that many, since its parts are read one after the other.
	loadUnits    = 16
	maxLoadUnits = 8
)

// errNoRoom means that this host has no memory for a job.
var errNoRoom = errors.New("there is no memory for the job")

// room is memory for a job that this host is about to own.
type room struct {
	job    identifier.BatchID
	memory *reserver.Reservation
}

// neededRoom returns the memory that a job takes here, as far as its head shows. Bodies beyond their share stay in the store.
func (d *Driver) neededRoom(head codec.BatchHead) identifier.Bytes {
	size, bodies := batchkeeper.JobSize(head)
	if limit := d.config.Memory.Limit(); limit > 0 {
		bodies = min(bodies, limit/bodyShare)
	}
	return size + bodies
}

// reserveRoom reserves memory for a job that takes size as far as is known. Jobs stay for long, so they must fit beside each other; for
// memory that requests hold, the job waits as large requests do. A job may fill a host that has no other open one. The error is errNoRoom
// or that of ctx.
func (d *Driver) reserveRoom(ctx context.Context, id identifier.BatchID, size identifier.Bytes) (*room, error) {
	account := d.config.Memory
	if account.Limit() == 0 {
		return &room{}, nil
	}
	r, size, err := d.claimRoom(id, size)
	if err != nil {
		return nil, err
	}
	held, err := account.Reserve(ctx, size)
	d.mu.Lock()
	defer d.mu.Unlock()
	if err != nil {
		delete(d.rooms, r)
		if ctx.Err() != nil {
			return nil, ctx.Err()
		}
		return nil, fmt.Errorf("%w: %w", errNoRoom, err)
	}
	r.memory = held
	d.rooms[r] = held.Size()
	return r, nil
}

// claimRoom counts a job among those of this host and returns the memory to reserve, or errNoRoom if it does not fit beside the others.
func (d *Driver) claimRoom(id identifier.BatchID, size identifier.Bytes) (*room, identifier.Bytes, error) {
	largest := d.config.Memory.Largest()
	d.mu.Lock()
	defer d.mu.Unlock()
	size = max(size, d.outgrown[id])
	var total, unloadable identifier.Bytes
	var ended []*ownedJob
	open := len(d.rooms)
	for _, reserved := range d.rooms {
		total += reserved
	}
	for _, h := range d.owned {
		total += h.memory.Size()
		if h.head.Ended {
			ended = append(ended, h)
			unloadable += h.memory.Size()
		} else {
			open++
		}
	}
	if open == 0 {
		size = min(size, largest*loneShare/8)
	}
	if total-unloadable+size <= largest {
		total = d.unloadEnded(ended, total, largest-size)
	}
	if total+size > largest {
		return nil, 0, fmt.Errorf("%w: %d of %d bytes are taken by jobs, %d more needed", errNoRoom, total, largest, size)
	}
	r := &room{job: id}
	d.rooms[r] = size
	return r, size, nil
}

// growRoom adds to the memory for a job that is being read. The error is errNoRoom or that of ctx; it is nil if the host has no other open
// job.
func (d *Driver) growRoom(ctx context.Context, r *room, more identifier.Bytes) error {
	if r.memory == nil {
		return nil
	}
	if d.isLone(r) {
		d.setRoom(r, r.memory.Size()+more)
		return nil
	}
	err := r.memory.Grow(ctx, more)
	switch {
	case err == nil:
		d.setRoom(r, r.memory.Size())
		return nil
	case ctx.Err() != nil:
		return ctx.Err()
	}
	d.mu.Lock()
	defer d.mu.Unlock()
	if len(d.outgrown) >= maxCachedHeads {
		clear(d.outgrown)
	}
	d.outgrown[r.job] = r.memory.Size() + more
	return fmt.Errorf("%w: %w", errNoRoom, err)
}

func (d *Driver) setRoom(r *room, size identifier.Bytes) {
	r.memory.Set(size)
	d.mu.Lock()
	defer d.mu.Unlock()
	d.rooms[r] = size
}

// isLone reports whether this host has no open job and reads none but that of the room.
func (d *Driver) isLone(r *room) bool {
	d.mu.Lock()
	defer d.mu.Unlock()
	for other := range d.rooms {
		if other != r {
			return false
		}
	}
	for _, h := range d.owned {
		if !h.head.Ended {
			return false
		}
	}
	return true
}

// beginLoad waits until a job may be read from the store, and returns a function to call after that. The error is that of ctx.
func (d *Driver) beginLoad(ctx context.Context, parts int) (end func(), err error) {
	units := int64(min(max(parts, 1), maxLoadUnits))
	if err := d.loads.Acquire(ctx, units); err != nil {
		return nil, err
	}
	return func() { d.loads.Release(units) }, nil
}

// releaseRoom gives memory back that no job has taken; r may be nil.
func (d *Driver) releaseRoom(r *room) {
	if r == nil {
		return
	}
	d.mu.Lock()
	delete(d.rooms, r)
	d.mu.Unlock()
	r.memory.Release()
}

// occupy charges the memory of a job that is opened, which takes over what was reserved for it; r may be nil. d.mu must be held.
func (d *Driver) occupy(r *room, size identifier.Bytes) *reserver.Reservation {
	if r == nil || r.memory == nil {
		return d.config.Memory.Charge(size)
	}
	held := r.memory
	r.memory = nil
	delete(d.outgrown, r.job)
	delete(d.rooms, r)
	held.Set(size)
	return held
}

// logNoRoom logs that this host left a job to others.
func (d *Driver) logNoRoom(id identifier.BatchID, err error) {
	d.config.Log.Info(logger.AdoptionRefused).Str("request", string(id)).Int64("memory_used", int64(d.config.Memory.Used())).
		Int64("memory_limit", int64(d.config.Memory.Limit())).Err(err).Send()
}
