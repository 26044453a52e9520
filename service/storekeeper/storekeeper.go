package storekeeper

import (
	"context"
	"encoding/json"
	"sort"
	"strings"
	"sync"
	"time"

	"celerygap.example/lib/codec"
	"celerygap.example/lib/identifier"
	"celerygap.example/service/connector"
)

// MaxValueBytes is the maximum size of an object's value. The stand-in platform enforces it; Store does not.
const MaxValueBytes identifier.Bytes = 1 << 20

// Store is an in-memory connector.ObjectStore.
type Store struct {
	mu       sync.Mutex
	revision int64
	objects  map[string]codec.Object
	// changed is closed and replaced when objects, history or faults change, to wake the waiting watches.
	changed chan struct{}
	hosts   codec.HostList
	// statuses holds the statuses of the objects by key, separately from their values.
	statuses map[string]json.RawMessage
	// compacted is the revision up to which history is compacted.
	compacted int64
	faults    Faults
	counts    Counts
}

// Faults selects the faults that the store injects.
type Faults struct {
	// Down makes each call fail without effect.
	Down bool
	// LoseResponses is how many of the next writes take effect and then fail with connector.ErrOutcomeUnknown.
	LoseResponses int
	// Latency delays each call.
	Latency time.Duration
}

// Counts counts the calls that reach the store, not those that fail because it is down; a waiting watch counts as one call.
type Counts struct {
	Reads   int64
	Writes  int64
	Watches int64
}

var _ connector.ObjectStore = (*Store)(nil)

// New returns an empty store.
func New() *Store {
	return &Store{objects: make(map[string]codec.Object), statuses: make(map[string]json.RawMessage), changed: make(chan struct{})}
}

// SetFaults replaces the faults; waiting watches fail if the store is down from now on.
func (s *Store) SetFaults(faults Faults) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.faults = faults
	s.notify()
}

// SetHosts replaces the list of hosts and increments its revision.
func (s *Store) SetHosts(hosts []codec.ListedHost) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.hosts = codec.HostList{Revision: s.hosts.Revision + 1, Hosts: hosts}
}

// Counts returns the number of calls so far.
func (s *Store) Counts() Counts {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.counts
}

// Get returns one object or connector.ErrNotFound.
func (s *Store) Get(ctx context.Context, key string) (codec.Object, error) {
	if err := s.applyFaults(ctx); err != nil {
		return codec.Object{}, err
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.counts.Reads++
	object, ok := s.objects[key]
	if !ok || object.Deleted {
		return codec.Object{}, connector.ErrNotFound
	}
	return object, nil
}

// List returns the objects under a prefix in key order.
func (s *Store) List(ctx context.Context, prefix string) (codec.ObjectList, error) {
	if err := s.applyFaults(ctx); err != nil {
		return codec.ObjectList{}, err
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.counts.Reads++
	return s.collect(prefix, func(o codec.Object) bool { return !o.Deleted }), nil
}

// ListStale returns the same as List, because this store keeps no older state.
func (s *Store) ListStale(ctx context.Context, prefix string) (codec.ObjectList, error) {
	return s.List(ctx, prefix)
}

// PutStatus replaces the status of an object, or returns connector.ErrNotFound.
func (s *Store) PutStatus(ctx context.Context, key string, status json.RawMessage) error {
	if err := s.applyFaults(ctx); err != nil {
		return err
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.counts.Writes++
	if object, ok := s.objects[key]; !ok || object.Deleted {
		return connector.ErrNotFound
	}
	s.statuses[key] = status
	return nil
}

// Status returns the status of an object, or nil.
func (s *Store) Status(key string) json.RawMessage {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.statuses[key]
}

// Compact discards the history so far; watches from an earlier revision, also waiting ones, fail with
// connector.ErrCompacted.
func (s *Store) Compact() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.compacted = s.revision
	s.notify()
}

// Remove removes an object whatever its version is; a write at the same time makes it fail with a conflict.
func (s *Store) Remove(ctx context.Context, key string) error {
	object, err := s.Get(ctx, key)
	if err != nil {
		return err
	}
	return s.Delete(ctx, key, object.Version)
}

// Put writes an object if the expected version is current, or returns a *connector.ConflictError; version 0 means that the
// object must not exist.
func (s *Store) Put(ctx context.Context, key string, expected int64, value json.RawMessage) (codec.Object, error) {
	return s.write(ctx, key, expected, codec.Object{Key: key, Value: value})
}

// Delete removes an object if the expected version is current, or returns a *connector.ConflictError.
func (s *Store) Delete(ctx context.Context, key string, expected int64) error {
	_, err := s.write(ctx, key, expected, codec.Object{Key: key, Deleted: true, Value: json.RawMessage("null")})
	return err
}

// Watch returns the objects under a prefix that changed after a revision, deleted ones included. It waits until there are
// any, and returns an empty list when the wait is over.
func (s *Store) Watch(ctx context.Context, prefix string, after int64, wait time.Duration) (codec.ObjectList, error) {
	if err := s.applyFaults(ctx); err != nil {
		return codec.ObjectList{}, err
	}
	timeout := time.NewTimer(wait)
	defer timeout.Stop()
	s.mu.Lock()
	s.counts.Watches++
	s.mu.Unlock()
	for {
		s.mu.Lock()
		down, changed := s.faults.Down, s.changed
		if after < s.compacted {
			s.mu.Unlock()
			return codec.ObjectList{}, connector.ErrCompacted
		}
		list := s.collect(prefix, func(o codec.Object) bool { return o.Revision > after })
		s.mu.Unlock()
		if down {
			return codec.ObjectList{}, connector.ErrUnavailable
		}
		if len(list.Objects) > 0 {
			return list, nil
		}
		select {
		case <-ctx.Done():
			return codec.ObjectList{}, ctx.Err()
		case <-timeout.C:
			return list, nil
		case <-changed:
		}
	}
}

// Hosts returns the list of hosts.
func (s *Store) Hosts(ctx context.Context) (codec.HostList, error) {
	if err := s.applyFaults(ctx); err != nil {
		return codec.HostList{}, err
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.counts.Reads++
	return s.hosts, nil
}

func (s *Store) write(ctx context.Context, key string, expected int64, next codec.Object) (codec.Object, error) {
	if err := s.applyFaults(ctx); err != nil {
		return codec.Object{}, err
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.counts.Writes++
	current := s.objects[key]
	if visibleVersion(current) != expected {
		if current.Deleted {
			current.Version = 0
		}
		current.Key = key
		return codec.Object{}, &connector.ConflictError{Current: current}
	}
	s.revision++
	next.Version = current.Version + 1
	next.Revision = s.revision
	s.objects[key] = next
	s.notify()
	if s.faults.LoseResponses > 0 {
		s.faults.LoseResponses--
		return codec.Object{}, connector.ErrOutcomeUnknown
	}
	return next, nil
}

// visibleVersion returns the version that callers see: 0 for a deleted object.
func visibleVersion(object codec.Object) int64 {
	if object.Deleted {
		return 0
	}
	return object.Version
}

// applyFaults waits for the injected latency and returns an error if the store is down or ctx has ended.
func (s *Store) applyFaults(ctx context.Context) error {
	s.mu.Lock()
	faults := s.faults
	s.mu.Unlock()
	if faults.Latency > 0 {
		select {
		case <-ctx.Done():
			return ctx.Err()
		case <-time.After(faults.Latency):
		}
	}
	if faults.Down {
		return connector.ErrUnavailable
	}
	return ctx.Err()
}

// collect returns the objects under a prefix that keep accepts, in key order.
func (s *Store) collect(prefix string, keep func(codec.Object) bool) codec.ObjectList {
	list := codec.ObjectList{Revision: s.revision, Objects: []codec.Object{}}
	for key, object := range s.objects {
		if strings.HasPrefix(key, prefix) && keep(object) {
			list.Objects = append(list.Objects, object)
		}
	}
	sort.Slice(list.Objects, func(i, j int) bool { return list.Objects[i].Key < list.Objects[j].Key })
	return list
}

// notify wakes the waiting watches.
func (s *Store) notify() {
	close(s.changed)
	s.changed = make(chan struct{})
}
