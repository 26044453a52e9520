package harness

import (
	"bytes"
	"encoding/json"
	"maps"
	"net"
	"net/http"
	"slices"
	"strconv"
	"strings"
	"sync"
	"time"
)

// The limits of the store, as on the sheets and in PROTOCOL.md.
const (
	pageItems   = 500
	storeAnswer = 4 * time.Millisecond
	valueBytes  = 1 << 20
)

// Object is an object of the store.
type Object struct {
	Metadata Metadata        `json:"metadata"`
	Spec     json.RawMessage `json:"spec"`
	Status   json.RawMessage `json:"status"`
}

// Metadata is the part of an object that the store writes.
type Metadata struct {
	Name       string   `json:"name"`
	Revision   int64    `json:"revision"`
	CreateRev  int64    `json:"create_rev"`
	Finalizers []string `json:"finalizers"`
	Deleting   bool     `json:"deleting"`
}

type change struct {
	kind    string
	object  Object
	deleted bool
	at      time.Time
}

// Store is a stand-in for the platform's metadata store.
type Store struct {
	Address string
	// StaleBy is how old the data is that a list with allow_stale returns.
	StaleBy time.Duration

	mu       sync.Mutex
	revision int64
	kinds    map[string]map[string]Object
	changes  []change
	changed  chan struct{}
}

// NewStore starts a store on an address.
func NewStore(address string, staleBy time.Duration) (*Store, error) {
	listener, err := net.Listen("tcp", address)
	if err != nil {
		return nil, err
	}
	s := &Store{Address: listener.Addr().String(), StaleBy: staleBy, revision: 1, kinds: make(map[string]map[string]Object), changed: make(chan struct{})}
	server := &http.Server{Handler: s}
	go func() { _ = server.Serve(listener) }()
	return s, nil
}

// Put writes an object, as the operator and engines do.
func (s *Store) Put(kind, name string, spec any) {
	text, err := json.Marshal(spec)
	if err != nil {
		panic(err)
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	object := s.kinds[kind][name]
	object.Metadata.Name, object.Spec = name, text
	s.write(kind, object)
}

// Delete removes an object.
func (s *Store) Delete(kind, name string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if object, ok := s.kinds[kind][name]; ok {
		s.remove(kind, object)
	}
}

// remove removes an object; the mutex must be held.
func (s *Store) remove(kind string, object Object) {
	delete(s.kinds[kind], object.Metadata.Name)
	s.revision++
	object.Metadata.Revision = s.revision
	s.note(change{kind: kind, object: object, deleted: true, at: time.Now()})
}

// Spec returns the content of an object, or nil.
func (s *Store) Spec(kind, name string) json.RawMessage {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.kinds[kind][name].Spec
}

// write stores an object; the mutex must be held.
func (s *Store) write(kind string, object Object) Object {
	s.revision++
	object.Metadata.Revision = s.revision
	if object.Metadata.CreateRev == 0 {
		object.Metadata.CreateRev = s.revision
	}
	if object.Metadata.Finalizers == nil {
		object.Metadata.Finalizers = []string{}
	}
	if s.kinds[kind] == nil {
		s.kinds[kind] = make(map[string]Object)
	}
	s.kinds[kind][object.Metadata.Name] = object
	s.note(change{kind: kind, object: object, at: time.Now()})
	return object
}

func (s *Store) note(c change) {
	s.changes = append(s.changes, c)
	close(s.changed)
	s.changed = make(chan struct{})
}

// ServeHTTP serves the calls of PROTOCOL.md.
func (s *Store) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	time.Sleep(storeAnswer)
	parts := strings.Split(strings.TrimPrefix(r.URL.Path, "/api/objects/"), "/")
	switch {
	case !strings.HasPrefix(r.URL.Path, "/api/objects/"):
		w.WriteHeader(http.StatusNotFound)
	case r.Method == http.MethodGet && len(parts) == 1 && r.URL.Query().Has("watch"):
		s.watch(w, r, parts[0])
	case r.Method == http.MethodGet && len(parts) == 1:
		s.list(w, r, parts[0])
	case r.Method == http.MethodGet:
		s.get(w, parts[0], parts[1])
	default:
		s.change(w, r, parts)
	}
}

func answer(w http.ResponseWriter, status int, body any) {
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(status)
	_ = json.NewEncoder(w).Encode(body)
}

// asOf returns the objects of a kind at a moment, and the revision; the mutex must be held.
func (s *Store) asOf(kind string, at time.Time) (map[string]Object, int64) {
	objects, revision := make(map[string]Object), int64(1)
	for _, c := range s.changes {
		if c.at.After(at) {
			break
		}
		revision = c.object.Metadata.Revision
		switch {
		case c.kind != kind:
		case c.deleted:
			delete(objects, c.object.Metadata.Name)
		default:
			objects[c.object.Metadata.Name] = c.object
		}
	}
	return objects, revision
}

func (s *Store) list(w http.ResponseWriter, r *http.Request, kind string) {
	s.mu.Lock()
	objects, revision := s.kinds[kind], s.revision
	if r.URL.Query().Get("allow_stale") == "1" && s.StaleBy > 0 {
		objects, revision = s.asOf(kind, time.Now().Add(-s.StaleBy))
	}
	after := r.URL.Query().Get("after")
	items, more := []Object{}, false
	for _, name := range slices.Sorted(maps.Keys(objects)) {
		if name <= after {
			continue
		}
		if len(items) == pageItems {
			more = true
			break
		}
		items = append(items, objects[name])
	}
	s.mu.Unlock()
	answer(w, http.StatusOK, map[string]any{"items": items, "has_more": more, "current_rev": revision})
}

func (s *Store) get(w http.ResponseWriter, kind, name string) {
	s.mu.Lock()
	object, ok := s.kinds[kind][name]
	s.mu.Unlock()
	if !ok {
		w.WriteHeader(http.StatusNotFound)
		return
	}
	answer(w, http.StatusOK, object)
}

func (s *Store) watch(w http.ResponseWriter, r *http.Request, kind string) {
	since, _ := strconv.ParseInt(r.URL.Query().Get("watch"), 10, 64)
	wait, _ := strconv.Atoi(r.URL.Query().Get("wait_ms"))
	limit := time.NewTimer(time.Duration(min(wait, 30_000)) * time.Millisecond)
	defer limit.Stop()
	for {
		events := []map[string]any{}
		s.mu.Lock()
		for _, c := range s.changes {
			if c.kind == kind && c.object.Metadata.Revision > since {
				events = append(events, map[string]any{"object": c.object, "deleted": c.deleted})
			}
		}
		revision, changed := s.revision, s.changed
		s.mu.Unlock()
		if len(events) == 0 {
			select {
			case <-changed:
				continue
			case <-r.Context().Done():
				return
			case <-limit.C:
			}
		}
		answer(w, http.StatusOK, map[string]any{"events": events, "current_rev": revision})
		return
	}
}

func (s *Store) change(w http.ResponseWriter, r *http.Request, parts []string) {
	var sent Object
	_ = json.NewDecoder(r.Body).Decode(&sent)
	if revision := r.URL.Query().Get("revision"); revision != "" {
		sent.Metadata.Revision, _ = strconv.ParseInt(revision, 10, 64)
	}
	kind := parts[0]
	if len(parts) > 1 {
		sent.Metadata.Name = parts[1]
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	current, exists := s.kinds[kind][sent.Metadata.Name]
	switch {
	case len(sent.Spec) > valueBytes:
		w.WriteHeader(http.StatusRequestEntityTooLarge)
	case r.Method == http.MethodPost && exists:
		answer(w, http.StatusConflict, current)
	case r.Method == http.MethodPost:
		answer(w, http.StatusOK, s.write(kind, Object{Metadata: Metadata{Name: sent.Metadata.Name, Finalizers: sent.Metadata.Finalizers}, Spec: sent.Spec}))
	case !exists:
		w.WriteHeader(http.StatusNotFound)
	case sent.Metadata.Revision != 0 && sent.Metadata.Revision != current.Metadata.Revision:
		answer(w, http.StatusConflict, current)
	case r.Method == http.MethodDelete:
		s.remove(kind, current)
		answer(w, http.StatusOK, current)
	default:
		next := current
		if len(parts) == 3 {
			next.Status = sent.Status
		} else {
			next.Spec, next.Metadata.Finalizers = sent.Spec, sent.Metadata.Finalizers
		}
		if bytes.Equal(next.Spec, current.Spec) && bytes.Equal(next.Status, current.Status) && slices.Equal(next.Metadata.Finalizers, current.Metadata.Finalizers) {
			answer(w, http.StatusOK, current)
			return
		}
		answer(w, http.StatusOK, s.write(kind, next))
	}
}
