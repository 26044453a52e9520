package scheduler

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"sync"
	"time"

	"celerygap.example/lib/codec"
	"celerygap.example/lib/identifier"
	"celerygap.example/lib/logger"
	"celerygap.example/service/connector"
)

const (
	// storeTimeout bounds one call to the store, and one call to another host for the copies of a step's samples.
	storeTimeout = 2 * time.Second
	// maxKeptBytes limits the memory for declarations that are not in the store.
	maxKeptBytes identifier.Bytes = 16 << 20
	// backupRetention is how long a backup is kept. At the target scale, a step is complete within 27 minutes.
	backupRetention = time.Hour
)

type stepKey struct {
	trainer identifier.EntryName
	step    identifier.StepNumber
}

func (k stepKey) object() string { return fmt.Sprintf("steps/%s/%d", k.trainer, k.step) }

// keptDeclaration is a declaration that is not known to be in the store.
type keptDeclaration struct {
	value json.RawMessage
	// backup reports whether another host schedules the step and writes the declaration to the store.
	backup bool
	since  time.Time
}

// declarationKeeper keeps declarations in the store and, while the store is down, in memory.
type declarationKeeper struct {
	store connector.Store
	log   *logger.Logger

	flushing sync.Mutex
	mu       sync.Mutex
	kept     map[stepKey]keptDeclaration
	size     identifier.Bytes
	removals map[stepKey]bool
}

func newDeclarationKeeper(store connector.Store, log *logger.Logger) *declarationKeeper {
	return &declarationKeeper{
		store:    store,
		log:      log,
		kept:     make(map[stepKey]keptDeclaration),
		removals: make(map[stepKey]bool),
	}
}

// put writes a declaration to the store. It returns false without an error if the store does not respond, and a refusal if
// the store holds another declaration of the same step.
func (k *declarationKeeper) put(ctx context.Context, key stepKey, value json.RawMessage) (stored bool, err error) {
	const attempts = 2
	for range attempts {
		current, err := k.putOnce(ctx, key, value)
		switch {
		case err == nil && sameDeclaration(current, value):
			return true, nil
		case err == nil:
			return false, stepDiffers(key)
		case !errors.Is(err, connector.ErrOutcomeUnknown):
			return false, nil
		}
		// The response was lost: the next attempt conflicts with this one if the write took effect.
	}
	return false, nil
}

// putOnce creates the object of a declaration and returns the value that the store holds afterwards.
func (k *declarationKeeper) putOnce(ctx context.Context, key stepKey, value json.RawMessage) (json.RawMessage, error) {
	callCtx, cancel := context.WithTimeout(ctx, storeTimeout)
	defer cancel()
	object, err := k.store.Put(callCtx, key.object(), 0, value)
	if conflict, ok := connector.AsConflict(err); ok {
		return conflict.Current.Value, nil
	}
	return object.Value, err
}

// keep keeps a declaration that is not in the store, and reports whether maxKeptBytes left room for it.
func (k *declarationKeeper) keep(now time.Time, key stepKey, value json.RawMessage, backup bool) bool {
	k.mu.Lock()
	defer k.mu.Unlock()
	k.discardLocked(key)
	if k.size+identifier.Bytes(len(value)) > maxKeptBytes {
		return false
	}
	k.kept[key] = keptDeclaration{value: value, backup: backup, since: now}
	k.size += identifier.Bytes(len(value))
	return true
}

// takeOver makes this host responsible for writing a declaration that it kept as a backup.
func (k *declarationKeeper) takeOver(key stepKey) {
	k.mu.Lock()
	defer k.mu.Unlock()
	if kept, ok := k.kept[key]; ok {
		kept.backup = false
		k.kept[key] = kept
	}
}

// expire drops old backups.
func (k *declarationKeeper) expire(now time.Time) {
	k.mu.Lock()
	defer k.mu.Unlock()
	for key, kept := range k.kept {
		if kept.backup && now.Sub(kept.since) > backupRetention {
			k.discardLocked(key)
		}
	}
}

// discard removes a declaration from memory, because the store holds it.
func (k *declarationKeeper) discard(key stepKey) {
	k.mu.Lock()
	defer k.mu.Unlock()
	k.discardLocked(key)
}

func (k *declarationKeeper) discardLocked(key stepKey) {
	k.size -= identifier.Bytes(len(k.kept[key].value))
	delete(k.kept, key)
	delete(k.removals, key)
}

// inMemory returns a declaration that is not known to be in the store, or nil if none is kept.
func (k *declarationKeeper) inMemory(key stepKey) json.RawMessage {
	k.mu.Lock()
	defer k.mu.Unlock()
	return k.kept[key].value
}

// load returns a declaration from memory or from the store; unknown reports that the store responded and has none.
func (k *declarationKeeper) load(ctx context.Context, key stepKey) (value json.RawMessage, unknown bool) {
	if kept := k.inMemory(key); kept != nil {
		return kept, false
	}
	callCtx, cancel := context.WithTimeout(ctx, storeTimeout)
	defer cancel()
	object, err := k.store.Get(callCtx, key.object())
	if err != nil {
		return nil, errors.Is(err, connector.ErrNotFound)
	}
	return object.Value, false
}

// laterSteps returns the stored declarations of later steps of the same trainer. It returns none if the store does not
// respond, because these steps are also loaded when the trainer requests a page of them.
func (k *declarationKeeper) laterSteps(ctx context.Context, key stepKey) []codec.StepDeclaration {
	callCtx, cancel := context.WithTimeout(ctx, storeTimeout)
	defer cancel()
	list, err := k.store.List(callCtx, fmt.Sprintf("steps/%s/", key.trainer))
	if err != nil {
		return nil
	}
	var declarations []codec.StepDeclaration
	for _, object := range list.Objects {
		var declaration codec.StepDeclaration
		if json.Unmarshal(object.Value, &declaration) == nil && declaration.Step > key.step {
			declarations = append(declarations, declaration)
		}
	}
	return declarations
}

// remove discards a declaration and makes the next flush delete it from the store.
func (k *declarationKeeper) remove(key stepKey) {
	k.mu.Lock()
	defer k.mu.Unlock()
	k.discardLocked(key)
	k.removals[key] = true
}

// flush writes the kept declarations of this host to the store and deletes those of ended steps. It does nothing if another
// flush runs.
func (k *declarationKeeper) flush(ctx context.Context) {
	if !k.flushing.TryLock() {
		return
	}
	defer k.flushing.Unlock()
	for key, value := range k.unwritten() {
		stored, err := k.put(ctx, key, value)
		if err != nil {
			k.log.Error(logger.StepDeclared).Err(err).Msg("the store holds another declaration of the step; discarding the one in memory")
		}
		if stored || err != nil {
			k.discard(key)
		}
	}
	for _, key := range k.pendingRemovals() {
		if k.delete(ctx, key) {
			k.discardRemoval(key)
		}
	}
}

func (k *declarationKeeper) unwritten() map[stepKey]json.RawMessage {
	k.mu.Lock()
	defer k.mu.Unlock()
	values := make(map[stepKey]json.RawMessage)
	for key, declaration := range k.kept {
		if !declaration.backup {
			values[key] = declaration.value
		}
	}
	return values
}

func (k *declarationKeeper) pendingRemovals() []stepKey {
	k.mu.Lock()
	defer k.mu.Unlock()
	keys := make([]stepKey, 0, len(k.removals))
	for key := range k.removals {
		keys = append(keys, key)
	}
	return keys
}

func (k *declarationKeeper) discardRemoval(key stepKey) {
	k.mu.Lock()
	defer k.mu.Unlock()
	delete(k.removals, key)
}

// delete deletes a declaration from the store and reports whether it is gone.
func (k *declarationKeeper) delete(ctx context.Context, key stepKey) bool {
	callCtx, cancel := context.WithTimeout(ctx, storeTimeout)
	defer cancel()
	object, err := k.store.Get(callCtx, key.object())
	if err == nil {
		err = k.store.Delete(callCtx, key.object(), object.Version)
	}
	return err == nil || errors.Is(err, connector.ErrNotFound)
}
