package main

import (
	"encoding/json"
	"io"
	"net"
	"net/http"
	"sort"
	"strconv"
	"strings"
	"sync"
	"time"
)

// metadata, object and the lists below are the platform's messages.
type metadata struct {
	Name       string   `json:"name"`
	Revision   int64    `json:"revision"`
	CreateRev  int64    `json:"create_rev"`
	Finalizers []string `json:"finalizers"`
	Deleting   bool     `json:"deleting"`
}

type object struct {
	Metadata metadata        `json:"metadata"`
	Spec     json.RawMessage `json:"spec,omitempty"`
	Status   json.RawMessage `json:"status,omitempty"`
}

type objectEvent struct {
	Object  object `json:"object"`
	Deleted bool   `json:"deleted"`
}

type change struct {
	kind     string
	revision int64
	event    objectEvent
}

// store is a stand-in for the platform's metadata store. Each host reaches it over a link of its own.
type store struct {
	mu       sync.Mutex
	revision int64
	kinds    map[string]map[string]object
	changes  []change
	changed  chan struct{}
}

// storeLink is the way of one host to the store.
type storeLink struct {
	store   *store
	address string

	mu sync.Mutex
	// cut makes the link silent: calls hang until their caller gives up.
	cut bool
	// intercept may take over a write; it returns false to let it pass.
	intercept func(w http.ResponseWriter, r *http.Request, body []byte) bool
}

const (
	// listPage is the number of objects in one response to a list.
	listPage = 500
	// history is the number of changes that the store keeps.
	history = 4096
)

func newStore() *store {
	return &store{revision: 100, kinds: make(map[string]map[string]object), changed: make(chan struct{})}
}

// link opens a listener for one host.
func (s *store) link() *storeLink {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	must(err)
	l := &storeLink{store: s, address: listener.Addr().String()}
	server := &http.Server{Handler: l}
	go func() { _ = server.Serve(listener) }()
	return l
}

func (l *storeLink) setCut(cut bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.cut = cut
}

func (l *storeLink) setIntercept(f func(w http.ResponseWriter, r *http.Request, body []byte) bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.intercept = f
}

func (l *storeLink) isCut() bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.cut
}

// ServeHTTP answers after the store's usual time.
func (l *storeLink) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	body, _ := io.ReadAll(r.Body)
	if l.isCut() {
		<-r.Context().Done()
		return
	}
	l.mu.Lock()
	intercept := l.intercept
	l.mu.Unlock()
	if r.Method != http.MethodGet && intercept != nil && intercept(w, r, body) {
		return
	}
	time.Sleep(4 * time.Millisecond)
	status, answer := l.store.serve(r, body, l)
	if l.isCut() {
		<-r.Context().Done()
		return
	}
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(status)
	if answer != nil {
		_ = json.NewEncoder(w).Encode(answer)
	}
}

// serve executes one call and returns its status and body.
func (s *store) serve(r *http.Request, body []byte, l *storeLink) (int, any) {
	path, found := strings.CutPrefix(r.URL.Path, "/api/objects/")
	if !found {
		return http.StatusNotFound, nil
	}
	parts := strings.Split(path, "/")
	query := r.URL.Query()
	switch {
	case r.Method == http.MethodGet && len(parts) == 1 && query.Has("watch"):
		return s.watch(r, parts[0], l)
	case r.Method == http.MethodGet && len(parts) == 1:
		return s.list(parts[0], query.Get("after"))
	case r.Method == http.MethodGet:
		s.mu.Lock()
		defer s.mu.Unlock()
		if found, ok := s.kinds[parts[0]][parts[1]]; ok {
			return http.StatusOK, found
		}
		return http.StatusNotFound, nil
	}
	return s.write(r, parts, body)
}

func (s *store) list(kind, after string) (int, any) {
	s.mu.Lock()
	defer s.mu.Unlock()
	names := make([]string, 0, len(s.kinds[kind]))
	for name := range s.kinds[kind] {
		if name > after {
			names = append(names, name)
		}
	}
	sort.Strings(names)
	answer := struct {
		Items      []object `json:"items"`
		HasMore    bool     `json:"has_more"`
		CurrentRev int64    `json:"current_rev"`
	}{Items: []object{}, CurrentRev: s.revision}
	for i, name := range names {
		if i == listPage {
			answer.HasMore = true
			break
		}
		answer.Items = append(answer.Items, s.kinds[kind][name])
	}
	return http.StatusOK, answer
}

func (s *store) watch(r *http.Request, kind string, l *storeLink) (int, any) {
	query := r.URL.Query()
	since, _ := strconv.ParseInt(query.Get("watch"), 10, 64)
	wait, _ := strconv.ParseInt(query.Get("wait_ms"), 10, 64)
	answer := struct {
		Events     []objectEvent `json:"events"`
		CurrentRev int64         `json:"current_rev"`
	}{Events: []objectEvent{}}
	limit := time.After(time.Duration(wait) * time.Millisecond)
	for {
		s.mu.Lock()
		if len(s.changes) == history && s.changes[0].revision > since+1 {
			s.mu.Unlock()
			return http.StatusGone, nil
		}
		for _, c := range s.changes {
			if c.kind == kind && c.revision > since {
				answer.Events = append(answer.Events, c.event)
			}
		}
		answer.CurrentRev = s.revision
		changed := s.changed
		s.mu.Unlock()
		if len(answer.Events) > 0 {
			return http.StatusOK, answer
		}
		select {
		case <-changed:
		case <-limit:
			return http.StatusOK, answer
		case <-r.Context().Done():
			return http.StatusOK, answer
		}
	}
}

func (s *store) write(r *http.Request, parts []string, body []byte) (int, any) {
	s.mu.Lock()
	defer s.mu.Unlock()
	var sent object
	if len(body) > 0 {
		if err := json.Unmarshal(body, &sent); err != nil {
			return http.StatusBadRequest, nil
		}
	}
	kind, name := parts[0], sent.Metadata.Name
	if len(parts) > 1 {
		name = parts[1]
	}
	current, exists := s.kinds[kind][name]
	wanted := sent.Metadata.Revision
	if text := r.URL.Query().Get("revision"); text != "" {
		wanted, _ = strconv.ParseInt(text, 10, 64)
	}
	switch {
	case r.Method == http.MethodPost && exists:
		return http.StatusConflict, current
	case r.Method == http.MethodPost:
	case !exists:
		return http.StatusNotFound, nil
	case wanted != 0 && wanted != current.Metadata.Revision:
		return http.StatusConflict, current
	}
	switch {
	case r.Method == http.MethodDelete:
		s.remove(kind, name)
		return http.StatusOK, nil
	case len(parts) > 2:
		current.Status = sent.Status
		return http.StatusOK, s.put(kind, name, current)
	default:
		current.Spec = sent.Spec
		return http.StatusOK, s.put(kind, name, current)
	}
}

// put writes an object; s.mu must be held.
func (s *store) put(kind, name string, o object) object {
	s.revision++
	if s.kinds[kind] == nil {
		s.kinds[kind] = make(map[string]object)
	}
	o.Metadata.Name, o.Metadata.Revision = name, s.revision
	if o.Metadata.CreateRev == 0 {
		o.Metadata.CreateRev = s.revision
	}
	o.Metadata.Finalizers = []string{}
	s.kinds[kind][name] = o
	s.note(change{kind, s.revision, objectEvent{Object: o}})
	return o
}

// remove removes an object; s.mu must be held.
func (s *store) remove(kind, name string) {
	s.revision++
	gone := s.kinds[kind][name]
	delete(s.kinds[kind], name)
	s.note(change{kind, s.revision, objectEvent{Object: gone, Deleted: true}})
}

func (s *store) note(c change) {
	s.changes = append(s.changes, c)
	s.changes = s.changes[max(0, len(s.changes)-history):]
	close(s.changed)
	s.changed = make(chan struct{})
}

// set writes an object as the operator, a trainer or an engine does.
func (s *store) set(kind, name string, spec any) {
	text, err := json.Marshal(spec)
	must(err)
	s.mu.Lock()
	defer s.mu.Unlock()
	current := s.kinds[kind][name]
	current.Spec = text
	s.put(kind, name, current)
}

// unset removes an object as an engine does that leaves.
func (s *store) unset(kind, name string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if _, ok := s.kinds[kind][name]; ok {
		s.remove(kind, name)
	}
}
