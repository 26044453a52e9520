package main

import (
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

// store is a stand-in for the platform's metadata store.
type store struct {
	address string
	server  *http.Server

	mu       sync.Mutex
	revision int64
	kinds    map[string]map[string]object
	changes  []change
	changed  chan struct{}
	// fault, unless nil, decides what happens to a call of a host.
	fault func(call storeCall) storeFault
}

// storeCall is a call to the store; name is empty for lists and watches.
type storeCall struct {
	method, kind, name, host string
	watch                    bool
}

// storeFault is what happens to a call.
type storeFault struct {
	// status, unless zero, is the answer; the call is not executed then.
	status int
	// late is the delay before the call is executed; lost means that there is no answer.
	late time.Duration
	lost bool
}

type metadata struct {
	Name       string   `json:"name"`
	Revision   int64    `json:"revision"`
	CreateRev  int64    `json:"create_rev"`
	Finalizers []string `json:"finalizers"`
	Deleting   bool     `json:"deleting"`
}

type object struct {
	Metadata metadata        `json:"metadata"`
	Spec     json.RawMessage `json:"spec"`
	Status   json.RawMessage `json:"status"`
}

type change struct {
	kind     string
	revision int64
	object   object
	deleted  bool
}

func newStore() (*store, error) {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, err
	}
	s := &store{address: listener.Addr().String(), revision: 10, kinds: make(map[string]map[string]object), changed: make(chan struct{})}
	s.server = &http.Server{Handler: s}
	go func() { _ = s.server.Serve(listener) }()
	return s, nil
}

// put writes an object as the operator, a trainer or an engine does.
func (s *store) put(kind, name string, spec any) {
	text, err := json.Marshal(spec)
	if err != nil {
		panic(err)
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.write(kind, object{Metadata: metadata{Name: name}, Spec: text})
}

// remove removes an object as the platform does.
func (s *store) remove(kind, name string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.erase(kind, name)
}

// get returns the spec of an object, or nil.
func (s *store) get(kind, name string) json.RawMessage {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.kinds[kind][name].Spec
}

func (s *store) setFault(fault func(storeCall) storeFault) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.fault = fault
}

func (s *store) write(kind string, o object) object {
	s.revision++
	if s.kinds[kind] == nil {
		s.kinds[kind] = make(map[string]object)
	}
	o.Metadata.CreateRev = s.revision
	if old, ok := s.kinds[kind][o.Metadata.Name]; ok {
		o.Metadata.CreateRev = old.Metadata.CreateRev
	}
	o.Metadata.Revision = s.revision
	o.Metadata.Finalizers = []string{}
	s.kinds[kind][o.Metadata.Name] = o
	s.note(change{kind, s.revision, o, false})
	return o
}

func (s *store) erase(kind, name string) (object, bool) {
	o, ok := s.kinds[kind][name]
	if ok {
		s.revision++
		delete(s.kinds[kind], name)
		s.note(change{kind, s.revision, o, true})
	}
	return o, ok
}

func (s *store) note(c change) {
	s.changes = append(s.changes, c)
	close(s.changed)
	s.changed = make(chan struct{})
}

func answer(w http.ResponseWriter, status int, body any) {
	text, err := json.Marshal(body)
	if err != nil {
		panic(err)
	}
	w.Header().Set("Content-Type", "application/json")
	w.Header().Set("Content-Length", strconv.Itoa(len(text)))
	w.WriteHeader(status)
	_, _ = w.Write(text)
}

// ServeHTTP serves /api/objects/KIND[/NAME[/status]].
func (s *store) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	parts := strings.Split(strings.TrimPrefix(r.URL.Path, "/api/objects/"), "/")
	call := storeCall{method: r.Method, kind: parts[0], host: r.Header.Get("X-Test-Host"), watch: r.URL.Query().Has("watch")}
	if len(parts) > 1 {
		call.name = parts[1]
	}
	var body object
	if r.Method == http.MethodPost || r.Method == http.MethodPut {
		if json.NewDecoder(r.Body).Decode(&body) != nil {
			answer(w, http.StatusBadRequest, nil)
			return
		}
		if call.name == "" {
			call.name = body.Metadata.Name
		}
	}
	s.mu.Lock()
	fault := s.fault
	s.mu.Unlock()
	var f storeFault
	if fault != nil {
		f = fault(call)
	}
	if f.status != 0 {
		answer(w, f.status, nil)
		return
	}
	if call.watch {
		s.watch(w, r, call.kind)
		return
	}
	if f.late > 0 {
		time.Sleep(f.late)
	}
	status, result := s.execute(r, call, parts, body)
	if f.lost {
		panic(http.ErrAbortHandler)
	}
	answer(w, status, result)
}

func (s *store) execute(r *http.Request, call storeCall, parts []string, body object) (int, any) {
	s.mu.Lock()
	defer s.mu.Unlock()
	current, exists := s.kinds[call.kind][call.name]
	expected := body.Metadata.Revision
	if text := r.URL.Query().Get("revision"); text != "" {
		expected, _ = strconv.ParseInt(text, 10, 64)
	}
	switch {
	case r.Method == http.MethodGet && call.name == "":
		return http.StatusOK, s.list(call.kind, r.URL.Query().Get("after"))
	case r.Method == http.MethodGet && !exists:
		return http.StatusNotFound, nil
	case r.Method == http.MethodGet:
		return http.StatusOK, current
	case r.Method == http.MethodPost && exists:
		return http.StatusConflict, current
	case r.Method == http.MethodPost:
		return http.StatusCreated, s.write(call.kind, body)
	case !exists:
		return http.StatusNotFound, nil
	case expected != 0 && expected != current.Metadata.Revision:
		return http.StatusConflict, current
	case r.Method == http.MethodDelete:
		o, _ := s.erase(call.kind, call.name)
		return http.StatusOK, o
	case len(parts) == 3:
		current.Status = body.Status
		return http.StatusOK, s.write(call.kind, current)
	}
	body.Metadata.Name = call.name
	body.Status = current.Status
	return http.StatusOK, s.write(call.kind, body)
}

// pageSize is the number of objects in a page of a list.
const pageSize = 500

func (s *store) list(kind, after string) any {
	items := []object{}
	more := false
	for _, name := range slices.Sorted(maps.Keys(s.kinds[kind])) {
		if name <= after {
			continue
		}
		if len(items) == pageSize {
			more = true
			break
		}
		items = append(items, s.kinds[kind][name])
	}
	return map[string]any{"items": items, "has_more": more, "current_rev": s.revision}
}

func (s *store) watch(w http.ResponseWriter, r *http.Request, kind string) {
	after, _ := strconv.ParseInt(r.URL.Query().Get("watch"), 10, 64)
	wait, _ := strconv.Atoi(r.URL.Query().Get("wait_ms"))
	limit := time.NewTimer(time.Duration(wait) * time.Millisecond)
	defer limit.Stop()
	for {
		s.mu.Lock()
		events := []any{}
		for _, c := range s.changes {
			if c.kind == kind && c.revision > after {
				events = append(events, map[string]any{"object": c.object, "deleted": c.deleted})
			}
		}
		revision, changed := s.revision, s.changed
		s.mu.Unlock()
		expired := false
		if len(events) == 0 {
			select {
			case <-changed:
				continue
			case <-limit.C:
				expired = true
			case <-r.Context().Done():
				return
			}
		}
		if len(events) > 0 || expired {
			answer(w, http.StatusOK, map[string]any{"events": events, "current_rev": revision})
			return
		}
	}
}
