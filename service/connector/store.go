package connector

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"time"

	"celerygap.example/lib/codec"
)

// The errors of a Store, and ErrNotStarted for attempts on upstreams.
var (
	// ErrNotFound means that the store has no object with this key.
	ErrNotFound = errors.New("object not found")
	// ErrUnavailable means that the store did not serve the call; the call certainly had no effect.
	ErrUnavailable = errors.New("store unavailable; the call had no effect")
	// ErrOutcomeUnknown means that the write may have taken effect.
	ErrOutcomeUnknown = errors.New("store write outcome unknown")
	// ErrNotStarted means that an upstream certainly ran nothing of the request.
	ErrNotStarted = errors.New("upstream ran nothing of the request")
	// ErrThrottled means that the store refused the call at its rate limit; the call had no effect.
	ErrThrottled = errors.New("store rate limit reached; the call had no effect")
	// ErrItemTooLarge means that an item of a batch job does not fit into an object of the store.
	ErrItemTooLarge = errors.New("an item is larger than the store accepts")
	// ErrDraining means that nothing was stored because the host is being stopped.
	ErrDraining = errors.New("the host is being stopped")
)

// ConflictError means that the object's version was not the expected one; the write had no effect.
type ConflictError struct {
	// Current is the object as the store holds it; its version is zero when it does not exist.
	Current codec.Object
}

// Error formats the key and the current version.
func (e *ConflictError) Error() string {
	return fmt.Sprintf("conflict on %s: current version is %d", e.Current.Key, e.Current.Version)
}

// AsConflict returns the conflict in an error's chain.
func AsConflict(err error) (*ConflictError, bool) {
	var conflict *ConflictError
	ok := errors.As(err, &conflict)
	return conflict, ok
}

// Store is the platform's object API.
type Store interface {
	// Get returns one object or ErrNotFound.
	Get(ctx context.Context, key string) (codec.Object, error)
	// List returns the objects whose keys start with prefix, in key order.
	List(ctx context.Context, prefix string) (codec.ObjectList, error)
	// Put writes an object if its version still equals expected; zero means that it must not exist.
	Put(ctx context.Context, key string, expected int64, value json.RawMessage) (codec.Object, error)
	// Delete removes an object if its version still equals expected.
	Delete(ctx context.Context, key string, expected int64) error
	// Watch returns once objects under prefix have changed after the given revision, or when wait has passed.
	Watch(ctx context.Context, prefix string, after int64, wait time.Duration) (codec.ObjectList, error)
	// Hosts returns the platform's list of hosts, which lags behind their state.
	Hosts(ctx context.Context) (codec.HostList, error)
}

// ErrCompacted means that the store no longer has the changes that a watch needs; the objects must be listed again.
var ErrCompacted = errors.New("store history compacted")

// ObjectStore is a Store whose objects also carry a status and which offers cheap reads of an older state.
type ObjectStore interface {
	Store
	// ListStale returns a list that may be seconds old, at a fraction of the cost of List.
	ListStale(ctx context.Context, prefix string) (codec.ObjectList, error)
	// Remove removes an object regardless of its version, or returns ErrNotFound.
	Remove(ctx context.Context, key string) error
	// PutStatus replaces the status of an object and leaves its value as it is.
	PutStatus(ctx context.Context, key string, status json.RawMessage) error
}

// StoreResult returns the label of a store call's result in the metrics.
func StoreResult(err error) string {
	_, conflict := AsConflict(err)
	switch {
	case err == nil:
		return "ok"
	case conflict:
		return "conflict"
	case errors.Is(err, ErrNotFound):
		return "not_found"
	case errors.Is(err, ErrCompacted):
		return "compacted"
	case errors.Is(err, ErrThrottled):
		return "throttled"
	case errors.Is(err, ErrOutcomeUnknown):
		return "uncertain"
	case errors.Is(err, ErrUnavailable):
		return "unavailable"
	case errors.Is(err, context.Canceled):
		return "cancelled"
	default:
		return "failed"
	}
}
