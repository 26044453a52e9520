package scheduler

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"maps"
	"slices"
	"sync"
	"sync/atomic"
	"time"

	"celerygap.example/lib/codec"
	"celerygap.example/lib/grouper"
	"celerygap.example/lib/identifier"
	"celerygap.example/lib/logger"
	"celerygap.example/service/deliverer"
)

const (
	copyTimeout = 5 * time.Second
	// copyRetention is how long the copies of a step's samples are kept after the last one was added.
	copyRetention = 30 * time.Minute
	// maxCopiesBytes limits the memory for copies; the steps that changed longest ago are dropped first.
	maxCopiesBytes identifier.Bytes = 64 << 20
	// maxMessageBytes limits the samples in one message to another host.
	maxMessageBytes identifier.Bytes = 1 << 20
	// maxCopyHosts is how many hosts get a copy of each finished sample.
	maxCopyHosts = 2
)

type copiedStep struct {
	fingerprint identifier.Fingerprint
	samples     map[[2]int]codec.Sample
	size        identifier.Bytes
	changed     time.Time
}

// sampleKeeper keeps copies of finished samples for other hosts.
type sampleKeeper struct {
	sending atomic.Int64

	mu    sync.Mutex
	steps map[stepKey]*copiedStep
	size  identifier.Bytes
}

func newSampleKeeper() *sampleKeeper { return &sampleKeeper{steps: make(map[stepKey]*copiedStep)} }

// add keeps samples. If the kept samples of the step belong to another declaration, they are dropped.
func (k *sampleKeeper) add(now time.Time, message codec.StoreSamples) {
	k.mu.Lock()
	defer k.mu.Unlock()
	key := stepKey{message.Trainer, message.Step}
	if st := k.steps[key]; st != nil && st.fingerprint != message.Fingerprint {
		k.drop(key)
	}
	st := k.steps[key]
	if st == nil {
		st = &copiedStep{fingerprint: message.Fingerprint, samples: make(map[[2]int]codec.Sample)}
		k.steps[key] = st
	}
	st.changed = now
	for _, sample := range message.Samples {
		slot := [2]int{sample.Group, sample.Index}
		if former, ok := st.samples[slot]; ok {
			k.addSize(st, -deliverer.SampleSize(&former))
		}
		st.samples[slot] = sample
		k.addSize(st, deliverer.SampleSize(&sample))
	}
	for k.size > maxCopiesBytes && len(k.steps) > 1 {
		k.drop(k.oldest())
	}
}

func (k *sampleKeeper) addSize(st *copiedStep, size identifier.Bytes) {
	st.size += size
	k.size += size
}

func (k *sampleKeeper) oldest() stepKey {
	var oldest stepKey
	var changed time.Time
	for key, st := range k.steps {
		if changed.IsZero() || st.changed.Before(changed) {
			oldest, changed = key, st.changed
		}
	}
	return oldest
}

func (k *sampleKeeper) drop(key stepKey) {
	if st, ok := k.steps[key]; ok {
		k.size -= st.size
		delete(k.steps, key)
	}
}

func (k *sampleKeeper) get(key stepKey) codec.SampleCopies {
	k.mu.Lock()
	defer k.mu.Unlock()
	copies := codec.SampleCopies{Samples: []codec.Sample{}}
	if st := k.steps[key]; st != nil {
		copies.Fingerprint = st.fingerprint
		copies.Samples = slices.Collect(maps.Values(st.samples))
	}
	return copies
}

func (k *sampleKeeper) expire(now time.Time) {
	k.mu.Lock()
	defer k.mu.Unlock()
	for key, st := range k.steps {
		if now.Sub(st.changed) > copyRetention {
			k.drop(key)
		}
	}
}

func (d *Driver) register() {
	d.config.Peers.Handle(methodDeclareStep, d.handleDeclare)
	d.config.Peers.Handle(methodFetchPage, d.handleFetch)
	d.config.Peers.Handle(methodStoreSamples, d.handleStoreSamples)
	d.config.Peers.Handle(methodLoadSamples, d.handleLoadSamples)
}

// handleStoreSamples serves the peer method store_samples: it keeps the copies and passes them to this host's scheduler.
func (d *Driver) handleStoreSamples(ctx context.Context, params json.RawMessage) (any, error) {
	var message codec.StoreSamples
	if err := json.Unmarshal(params, &message); err != nil {
		return nil, fmt.Errorf("decode %s: %w", methodStoreSamples, err)
	}
	d.copies.add(d.config.Timer.Now(), message)
	adopted := SamplesAdopted{
		Trainer: message.Trainer, Step: message.Step, Fingerprint: message.Fingerprint, Samples: message.Samples,
	}
	return codec.StepReply{Problem: problemOf(d.submit(ctx, adopted))}, nil
}

// handleLoadSamples serves the peer method load_samples from this host's scheduler if it has the step, else from the copies.
func (d *Driver) handleLoadSamples(ctx context.Context, params json.RawMessage) (any, error) {
	var message codec.LoadSamples
	if err := json.Unmarshal(params, &message); err != nil {
		return nil, fmt.Errorf("decode %s: %w", methodLoadSamples, err)
	}
	key := stepKey{message.Trainer, message.Step}
	reply := d.copies.get(key)
	err := d.inspect(ctx, func(s *Scheduler) {
		reply.Declaration = s.Declaration(key.trainer, key.step)
		if reply.Declaration != nil {
			reply.Fingerprint = Fingerprint(*reply.Declaration)
			reply.Samples = s.Finished(key.trainer, key.step)
		}
	})
	if kept := d.declarations.inMemory(key); reply.Declaration == nil && kept != nil {
		reply.Declaration = &codec.StepDeclaration{}
		err = errors.Join(err, json.Unmarshal(kept, reply.Declaration))
	}
	return reply, err
}

// copyKey identifies the samples that are sent together.
type copyKey struct {
	stepKey
	fingerprint identifier.Fingerprint
	released    bool
}

// copySample queues a finished sample; the next tick sends the queued samples to other hosts.
func (d *Driver) copySample(c SampleFinished) {
	key := copyKey{stepKey{c.Trainer, c.Sample.Step}, c.Fingerprint, c.Released}
	d.pendingCopies[key] = append(d.pendingCopies[key], c.Sample)
}

// flushCopies sends the queued samples to the copy targets or, if the trainer was released, to its new host.
func (d *Driver) flushCopies(ctx context.Context) {
	for key, samples := range d.pendingCopies {
		targets := copyTargets(key.trainer, d.config.Members.Self(), d.config.Members.Live())
		if key.released {
			others := d.otherHosts(key.trainer)
			targets = others[:min(1, len(others))]
		}
		for _, target := range targets {
			d.sendAsync(ctx, target, key, samples)
		}
		delete(d.pendingCopies, key)
	}
}

// sendAsync sends samples without blocking the driver.
func (d *Driver) sendAsync(ctx context.Context, to codec.Member, key copyKey, samples []codec.Sample) {
	d.copies.sending.Add(1)
	d.group.Go(func() {
		defer d.copies.sending.Add(-1)
		d.sendSamples(ctx, to, key, samples)
	})
}

// sendSamples sends samples in messages of limited size.
func (d *Driver) sendSamples(ctx context.Context, to codec.Member, key copyKey, samples []codec.Sample) {
	for _, part := range split(samples) {
		d.callStoreSamples(ctx, to, codec.StoreSamples{
			From: d.config.Members.Self().ID, Trainer: key.trainer, Step: key.step, Fingerprint: key.fingerprint, Samples: part,
		})
	}
}

func (d *Driver) callStoreSamples(ctx context.Context, to codec.Member, message codec.StoreSamples) {
	callCtx, cancel := context.WithTimeout(ctx, copyTimeout)
	defer cancel()
	var reply codec.StepReply
	// The error is ignored: without the copy, the sample is generated again if this host fails.
	_ = d.config.Peers.Call(callCtx, to, methodStoreSamples, message, &reply)
}

// split divides samples into parts that each fit in one message; a sample above the limit forms its own part.
func split(samples []codec.Sample) [][]codec.Sample {
	var parts [][]codec.Sample
	var size identifier.Bytes
	for _, sample := range samples {
		size += deliverer.SampleSize(&sample)
		if len(parts) == 0 || size > maxMessageBytes {
			parts = append(parts, nil)
			size = deliverer.SampleSize(&sample)
		}
		parts[len(parts)-1] = append(parts[len(parts)-1], sample)
	}
	return parts
}

// copyTargets returns up to two hosts with a disk, in different zones and other than this one.
func copyTargets(trainer identifier.EntryName, self codec.Member, live []codec.Member) []codec.Member {
	candidates := slices.Clone(live)
	candidates = slices.DeleteFunc(candidates, func(m codec.Member) bool { return !m.HasDisk || m.ID == self.ID })
	var targets []codec.Member
	for len(targets) < maxCopyHosts && len(candidates) > 0 {
		ranked := rank(trainer, candidates)
		if len(ranked) == 0 {
			break
		}
		target := ranked[0]
		targets = append(targets, target)
		candidates = slices.DeleteFunc(candidates, func(m codec.Member) bool { return m.Zone == target.Zone })
	}
	return targets
}

// loadCopies returns the copies of a step's samples, and its declaration, from the copy targets, the other ranked hosts and
// this host.
func (d *Driver) loadCopies(ctx context.Context, key stepKey) []codec.SampleCopies {
	targets := copyTargets(key.trainer, d.config.Members.Self(), d.config.Members.Live())
	for _, member := range d.otherHosts(key.trainer) {
		if !slices.ContainsFunc(targets, func(m codec.Member) bool { return m.ID == member.ID }) {
			targets = append(targets, member)
		}
	}
	replies := make([]codec.SampleCopies, len(targets))
	calls := grouper.NewGroup(-1)
	for i, member := range targets {
		calls.Go(func() { replies[i] = d.callLoadSamples(ctx, member, key) })
	}
	calls.Wait()
	return append(replies, d.copies.get(key))
}

// callLoadSamples returns no copies if the call fails; the missing samples are then generated again.
func (d *Driver) callLoadSamples(ctx context.Context, to codec.Member, key stepKey) codec.SampleCopies {
	callCtx, cancel := context.WithTimeout(ctx, storeTimeout)
	defer cancel()
	var reply codec.SampleCopies
	message := codec.LoadSamples{From: d.config.Members.Self().ID, Trainer: key.trainer, Step: key.step}
	if err := d.config.Peers.Call(callCtx, to, methodLoadSamples, message, &reply); err != nil {
		return codec.SampleCopies{}
	}
	return reply
}

// handOver sends the open steps and finished samples of a trainer to the host that schedules it from now on.
func (d *Driver) handOver(ctx context.Context, c Released) {
	others := d.otherHosts(c.Trainer)
	if len(others) == 0 {
		return
	}
	d.copies.sending.Add(1)
	d.group.Go(func() {
		defer d.copies.sending.Add(-1)
		for _, released := range c.Steps {
			d.handOverStep(ctx, others[0], c.Trainer, released)
		}
	})
}

// handOverStep sends the samples before the declaration, so that the next host starts none of their slots.
func (d *Driver) handOverStep(ctx context.Context, to codec.Member, trainer identifier.EntryName, released ReleasedStep) {
	key := copyKey{
		stepKey: stepKey{trainer, released.Declaration.Step}, fingerprint: Fingerprint(released.Declaration),
	}
	d.sendSamples(ctx, to, key, released.Samples)
	message := codec.DeclareStep{
		From: d.config.Members.Self().ID, Trainer: trainer, Declaration: released.Declaration,
		Stored: d.declarations.inMemory(key.stepKey) == nil, Running: released.Running,
	}
	if _, err := d.callDeclare(ctx, to, message); err != nil {
		d.config.Log.Warn(logger.AttemptFailed).Err(err).Msg("cannot hand over a step to the next host")
	}
}
