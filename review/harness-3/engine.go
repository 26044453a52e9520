package main

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net"
	"net/http"
	"strconv"
	"sync"
	"time"
)

// run is one request that an engine began.
type run struct {
	At       time.Time
	Engine   string
	ID       string
	Method   string
	Path     string
	After    int
	Deadline string
	Body     string
	Header   http.Header
}

// order is one order that an engine got.
type order struct {
	At       time.Time
	Engine   string
	Holder   string `json:"holder"`
	Fence    int64  `json:"fence"`
	Version  int64  `json:"version"`
	Model    string `json:"model"`
	Expected *int64 `json:"expected"`
}

// engine is a stand-in for a model engine or a plain service.
type engine struct {
	id, service, software, address string
	store                          *store
	server                         *http.Server
	slots                          int
	// events and interval shape a stream; work is the time of a plain request.
	events   int
	interval time.Duration
	work     time.Duration
	// padding lengthens each event.
	padding string
	born    int64
	// answer may take over a request before it runs; it returns false to let it run.
	answer func(w http.ResponseWriter, r *http.Request, body []byte) bool

	mu      sync.Mutex
	running int
	runs    []run
	orders  []order
	// changes counts what changes in the entry: its field seq is the number of accepted orders.
	accepted int64
	versions map[string]int64
	// loading is set while an order is carried out.
	loading bool
	state   string
	beating context.CancelFunc
	beats   int64
}

// newEngine starts an engine that registers itself in the store.
func newEngine(s *store, id, service, software string, models ...string) *engine {
	e := &engine{
		id: id, service: service, software: software, store: s, slots: 8, events: 4, interval: 20 * time.Millisecond, work: 5 * time.Millisecond,
		versions: make(map[string]int64), state: "ready", born: time.Now().UnixMilli(),
	}
	for _, model := range models {
		e.versions[model] = 1
	}
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	must(err)
	e.address = listener.Addr().String()
	e.server = &http.Server{Handler: e}
	go func() { _ = e.server.Serve(listener) }()
	ctx, cancel := context.WithCancel(context.Background())
	e.beating = cancel
	e.beat()
	go func() {
		for ctx.Err() == nil {
			time.Sleep(1200 * time.Millisecond)
			if ctx.Err() == nil {
				e.beat()
			}
		}
	}()
	return e
}

func (e *engine) models() []map[string]any {
	models := []map[string]any{}
	for name, version := range e.versions {
		models = append(models, map[string]any{"name": name, "version": version, "adapters": []string{}})
	}
	return models
}

// beat writes the entry of the engine.
func (e *engine) beat() {
	e.mu.Lock()
	entry := map[string]any{
		"service": e.service, "address": e.address, "zone": "zone-a", "version": e.software, "slots": e.slots, "state": e.state, "cold_left_ms": 0,
		"seq": e.accepted, "born": e.born,
	}
	if len(e.versions) > 0 {
		entry["stage"], entry["models"] = "both", e.models()
	}
	e.mu.Unlock()
	e.store.set("servers", e.id, entry)
}

// ServeHTTP serves requests for tokens, plain requests, reports and orders.
func (e *engine) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	body, err := io.ReadAll(r.Body)
	if err != nil {
		return
	}
	if wanted := r.Header.Get("Expect-Instance"); wanted != "" && wanted != e.id {
		w.Header().Set("Instance-Id", e.id)
		w.WriteHeader(http.StatusMisdirectedRequest)
		return
	}
	w.Header().Set("Request-Id", r.Header.Get("Request-Id"))
	switch {
	case r.URL.Path == "/healthz":
		w.Header().Set("Instance-Id", e.id)
		return
	case r.URL.Path == "/api/report" && len(e.versions) > 0:
		e.report(w)
		return
	case r.URL.Path == "/api/order" && len(e.versions) > 0:
		e.order(w, body)
		return
	}
	if e.answer != nil && e.answer(w, r, body) {
		return
	}
	after, _ := strconv.Atoi(r.Header.Get("Last-Event-Id"))
	e.mu.Lock()
	if e.running >= e.slots || e.loading {
		e.mu.Unlock()
		w.Header().Set("Not-Run", "1")
		w.WriteHeader(http.StatusServiceUnavailable)
		return
	}
	e.running++
	e.runs = append(e.runs, run{
		At: time.Now(), Engine: e.id, ID: r.Header.Get("Request-Id"), Method: r.Method, Path: r.URL.RequestURI(), After: after,
		Deadline: r.Header.Get("Deadline-Ms"), Body: string(body), Header: r.Header.Clone(),
	})
	load := fmt.Sprintf("%d,0,%d", e.running, e.slots)
	e.mu.Unlock()
	defer func() {
		e.mu.Lock()
		e.running--
		e.mu.Unlock()
	}()
	w.Header().Set("Server-Load", load)
	w.Header().Set("Server-Stamp", "stamp."+r.Header.Get("Request-Id"))
	if len(e.versions) == 0 {
		select {
		case <-time.After(e.work):
			_, _ = w.Write(bytes.ToUpper(body))
		case <-r.Context().Done():
		}
		return
	}
	e.stream(w, r, after)
}

func (e *engine) stream(w http.ResponseWriter, r *http.Request, after int) {
	e.mu.Lock()
	version := e.versions[r.Header.Get("Model")]
	e.mu.Unlock()
	w.Header().Set("Content-Type", "text/event-stream")
	w.Header().Set("Weight-Versions", strconv.FormatInt(max(version, 1), 10))
	controller := http.NewResponseController(w)
	for number := after + 1; number <= e.events; number++ {
		select {
		case <-time.After(e.interval):
		case <-r.Context().Done():
			return
		}
		if _, err := fmt.Fprintf(w, "id: %d\ndata: %s %s %d%s\n\n", number, e.software, r.Header.Get("Request-Id"), number, e.padding); err != nil {
			return
		}
		_ = controller.Flush()
	}
}

func (e *engine) report(w http.ResponseWriter) {
	e.mu.Lock()
	defer e.mu.Unlock()
	w.Header().Set("Content-Type", "application/json")
	_ = json.NewEncoder(w).Encode(map[string]any{
		"stage": "both", "models": e.models(), "busy": e.loading, "seq": e.accepted, "waiting": 0, "running": e.running, "kv_used": 1000,
		"kv_total": 90000, "handles": 0, "born": e.born,
	})
}

func (e *engine) order(w http.ResponseWriter, body []byte) {
	o := order{At: time.Now(), Engine: e.id}
	if err := json.Unmarshal(body, &o); err != nil {
		w.WriteHeader(http.StatusBadRequest)
		return
	}
	e.mu.Lock()
	defer e.mu.Unlock()
	highest := int64(0)
	for _, former := range e.orders {
		highest = max(highest, former.Fence)
	}
	e.orders = append(e.orders, o)
	switch {
	case o.Fence < highest:
		w.WriteHeader(http.StatusPreconditionFailed)
	case e.versions[o.Model] == o.Version:
		w.WriteHeader(http.StatusOK)
	case e.loading || o.Expected != nil && *o.Expected != e.accepted:
		w.WriteHeader(http.StatusConflict)
	default:
		e.accepted++
		e.loading = true
		w.WriteHeader(http.StatusAccepted)
		time.AfterFunc(loadTime, func() {
			e.mu.Lock()
			e.loading = false
			e.versions[o.Model] = o.Version
			e.mu.Unlock()
			e.beat()
		})
	}
}

// loadTime is that of a change of version.
const loadTime = 900 * time.Millisecond

// list returns the runs so far.
func (e *engine) list() []run {
	e.mu.Lock()
	defer e.mu.Unlock()
	return append([]run(nil), e.runs...)
}
