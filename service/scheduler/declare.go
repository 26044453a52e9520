package scheduler

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"time"

	"celerygap.example/lib/annotator"
	"celerygap.example/lib/codec"
	"celerygap.example/lib/identifier"
	"celerygap.example/lib/logger"
	"celerygap.example/lib/refuser"
	"celerygap.example/service/deliverer"
)

const (
	methodDeclareStep  = "declare_step"
	methodFetchPage    = "fetch_page"
	methodStoreSamples = "store_samples"
	methodLoadSamples  = "load_samples"

	// maxDeclarationBytes is the size of the largest value that the store accepts.
	maxDeclarationBytes identifier.Bytes = 1 << 20

	declareTimeout = 3 * time.Second
	storeRetry     = 2 * time.Second
)

// Declare stores the declaration of a step and starts the step on the host that schedules the trainer. Repeating it with
// the same content has no effect; with other content it returns a StepDiffers refusal. While the store is down, the step is
// accepted if that host or its successor keeps the declaration in memory, to write it to the store later. If the store has
// the declaration but no host can start the step, the first page request starts it.
func (d *Driver) Declare(ctx context.Context, trainer identifier.EntryName, declaration codec.StepDeclaration) error {
	if d.draining.Load() {
		return draining()
	}
	if refusal := d.checkDeclaration(trainer, declaration); refusal != nil {
		return refusal
	}
	value, err := encodeDeclaration(declaration)
	if err != nil {
		return err
	}
	stored, err := d.declarations.put(ctx, stepKey{trainer, declaration.Step}, value)
	if err != nil {
		return err
	}
	message := codec.DeclareStep{From: d.config.Members.Self().ID, Trainer: trainer, Declaration: declaration, Stored: stored}
	accepted, err := d.passDeclaration(ctx, message)
	if err != nil {
		return err
	}
	if !stored && !accepted {
		return refuser.NotRun(refuser.StoreUnavailable, storeRetry,
			"the store does not respond and no host that schedules trainer %s can be reached", trainer)
	}
	return nil
}

func (d *Driver) checkDeclaration(trainer identifier.EntryName, declaration codec.StepDeclaration) *refuser.Refusal {
	if refusal := d.checkTrainer(trainer); refusal != nil {
		return refusal
	}
	total := len(declaration.Prompts) * declaration.GroupSize
	switch {
	case declaration.GroupSize < 1 || declaration.GroupSize > deliverer.MaxSlots:
		return refuser.NotRun(refuser.InvalidRequest, 0, "group_size must be from 1 to %d", deliverer.MaxSlots)
	case len(declaration.Prompts) == 0:
		return refuser.NotRun(refuser.InvalidRequest, 0, "prompts must not be empty")
	case total > deliverer.MaxSlots:
		return refuser.NotRun(refuser.InvalidRequest, 0, "a step has at most %d samples, got %d", deliverer.MaxSlots, total)
	}
	return nil
}

func (d *Driver) checkTrainer(trainer identifier.EntryName) *refuser.Refusal {
	for _, entry := range d.config.Catalogue.Current().Entries {
		if entry.Name == trainer && entry.Kind == codec.EntryKindTrainer && entry.Trainer != nil {
			return nil
		}
	}
	return refuser.NotRun(refuser.UnknownEntry, 0, "the catalogue has no trainer %q", trainer)
}

func encodeDeclaration(declaration codec.StepDeclaration) (json.RawMessage, error) {
	value, err := json.Marshal(declaration)
	if err != nil {
		return nil, refuser.NotRun(refuser.InvalidRequest, 0, "encode declaration: %v", err)
	}
	if size := identifier.Bytes(len(value)); size > maxDeclarationBytes {
		return nil, refuser.NotRun(refuser.BodyTooLarge, 0,
			"the declaration has %d bytes; the limit is %d bytes (1 MiB)", size, maxDeclarationBytes)
	}
	return value, nil
}

// passDeclaration sends the declaration to the hosts that may schedule the trainer, in rank order, until one accepts it.
func (d *Driver) passDeclaration(ctx context.Context, message codec.DeclareStep) (accepted bool, err error) {
	for _, member := range rank(message.Trainer, d.config.Members.Live()) {
		reply, callErr := d.callDeclare(ctx, member, message)
		if callErr != nil {
			d.config.Log.Warn(logger.AttemptFailed).Err(callErr).Msg("cannot pass the declaration to a host")
			continue
		}
		refusal := refusalFrom(reply.Problem)
		if refusal == nil {
			return true, nil
		}
		if refusal.Reason == refuser.StepDiffers {
			return false, refusal
		}
	}
	return false, nil
}

func (d *Driver) callDeclare(ctx context.Context, to codec.Member, message codec.DeclareStep) (codec.StepReply, error) {
	callCtx, cancel := context.WithTimeout(ctx, declareTimeout)
	defer cancel()
	var reply codec.StepReply
	err := d.config.Peers.Call(callCtx, to, methodDeclareStep, message, &reply)
	return reply, annotator.Wrap(methodDeclareStep, annotator.Peer(to.ID), err)
}

// handleDeclare serves the peer method declare_step.
func (d *Driver) handleDeclare(ctx context.Context, params json.RawMessage) (any, error) {
	var message codec.DeclareStep
	if err := json.Unmarshal(params, &message); err != nil {
		return nil, fmt.Errorf("decode %s: %w", methodDeclareStep, err)
	}
	return codec.StepReply{Problem: problemOf(d.accept(ctx, message))}, nil
}

// accept handles a declaration that another host or this one sent: it keeps a backup or starts the step.
func (d *Driver) accept(ctx context.Context, message codec.DeclareStep) error {
	if d.draining.Load() {
		return draining()
	}
	value, err := encodeDeclaration(message.Declaration)
	if err != nil {
		return err
	}
	key := stepKey{message.Trainer, message.Declaration.Step}
	known, err := d.knownDeclaration(ctx, key)
	if err != nil {
		return err
	}
	if known != nil && !sameDeclaration(known, value) {
		return stepDiffers(key)
	}
	if message.Stored {
		d.declarations.discard(key)
	} else if !d.declarations.keep(d.config.Timer.Now(), key, value, message.Backup) {
		return refuser.NotRun(refuser.StoreUnavailable, storeRetry,
			"the store does not respond and this host has no memory left for further declarations")
	}
	if message.Backup {
		return nil
	}
	d.config.Log.Info(logger.StepDeclared).Str("trainer", string(message.Trainer)).
		Int64("step", int64(message.Declaration.Step)).Bool("stored", message.Stored).Send()
	if !message.Stored {
		d.passBackup(ctx, message)
	}
	copies := []codec.SampleCopies{d.copies.get(key)}
	return d.submit(ctx, StepDeclared{
		Trainer: message.Trainer, Declaration: message.Declaration, Copies: copies, Running: message.Running,
	})
}

// knownDeclaration returns the declaration that this host has scheduled or keeps in memory, or nil.
func (d *Driver) knownDeclaration(ctx context.Context, key stepKey) (json.RawMessage, error) {
	var known *codec.StepDeclaration
	err := d.inspect(ctx, func(s *Scheduler) { known = s.Declaration(key.trainer, key.step) })
	if err != nil || known == nil {
		return d.declarations.inMemory(key), err
	}
	return json.Marshal(known)
}

// passBackup sends a declaration that is not in the store to the other ranked hosts until one of them keeps a backup.
func (d *Driver) passBackup(ctx context.Context, message codec.DeclareStep) {
	message.Backup = true
	for _, member := range d.otherHosts(message.Trainer) {
		if reply, err := d.callDeclare(ctx, member, message); err == nil && reply.Problem == nil {
			return
		}
	}
}

func stepDiffers(key stepKey) *refuser.Refusal {
	return refuser.NotRun(refuser.StepDiffers, 0,
		"step %d of trainer %s was declared before with other content", key.step, key.trainer)
}

func sameDeclaration(a, b json.RawMessage) bool {
	var left, right codec.StepDeclaration
	if json.Unmarshal(a, &left) != nil || json.Unmarshal(b, &right) != nil {
		return false
	}
	first, errFirst := json.Marshal(left)
	second, errSecond := json.Marshal(right)
	return errFirst == nil && errSecond == nil && bytes.Equal(first, second)
}

func problemOf(err error) *codec.Problem {
	if err == nil {
		return nil
	}
	problem := refusalOf(err).Problem()
	return &problem
}

func refusalFrom(problem *codec.Problem) *refuser.Refusal {
	if problem == nil {
		return nil
	}
	return &refuser.Refusal{
		Reason:     refuser.Reason(problem.Reason),
		Outcome:    problem.Outcome,
		Detail:     problem.Detail,
		RetryAfter: time.Duration(problem.RetryAfterSeconds) * time.Second,
	}
}
