package harness

import (
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"time"
)

// heartbeat is how often an engine writes its entry, which changes only if more than seq does.
const heartbeat = 1200 * time.Millisecond

// EngineConfig configures an Engine.
type EngineConfig struct {
	ID, Address, Service, Zone string
	// Models are the models of a model engine, with their versions; a plain service has none.
	Models map[string]int64
	Slots  int
	// Queue is the number of requests that wait for a slot before others are rejected.
	Queue int
	// Events and Interval are those of a text; Work is the time that a plain request takes.
	Events         int
	Interval, Work time.Duration
}

// Arrival is a request that reached an engine and was not rejected.
type Arrival struct {
	Engine, ID, Method, Target string
	Header                     http.Header
	Body                       string
	At                         time.Time
}

// Engine is a stand-in for a model engine or for an engine of a plain service.
type Engine struct {
	config EngineConfig
	record *Record
	born   int64

	mu               sync.Mutex
	running, waiting int
	draining         bool
	seq, fence       int64
	versions         map[string]int64
	arrivals         []Arrival
	slots            chan struct{}
	store            *Store
	server           *http.Server
	beat             int64
	// drainingAt is when the store accepted that the engine is draining.
	drainingAt time.Time
}

// NewEngine starts an engine and keeps its entry in the store up to date.
func NewEngine(config EngineConfig, store *Store, record *Record) (*Engine, error) {
	listener, err := net.Listen("tcp", config.Address)
	if err != nil {
		return nil, err
	}
	config.Address = listener.Addr().String()
	e := &Engine{config: config, record: record, born: time.Now().UnixMilli(), versions: config.Models, slots: make(chan struct{}, config.Slots)}
	e.server = &http.Server{Handler: e}
	go func() { _ = e.server.Serve(listener) }()
	e.store = store
	e.write()
	return e, nil
}

// write writes the entry of the engine. Heartbeats of an entry in which only seq changes do not change it.
func (e *Engine) write() time.Time {
	e.mu.Lock()
	e.beat++
	beat := e.beat
	e.mu.Unlock()
	e.store.Put("servers", e.config.ID, e.entry(beat))
	return time.Now()
}

// Crash ends the engine as a kill of its process does: its connections and its listener are closed. Its entry expires after three
// heartbeats.
func (e *Engine) Crash() {
	e.record.Printf("engine %s crashes", e.config.ID)
	_ = e.server.Close()
	time.AfterFunc(3*heartbeat, func() { e.store.Delete("servers", e.config.ID) })
}

// Drain reports that the engine is draining; it goes on serving.
func (e *Engine) Drain() {
	e.mu.Lock()
	e.draining = true
	e.mu.Unlock()
	at := e.write()
	e.mu.Lock()
	e.drainingAt = at
	e.mu.Unlock()
	e.record.Printf("engine %s is draining", e.config.ID)
}

// DrainingAt returns when the store accepted that the engine is draining; zero means that it is not.
func (e *Engine) DrainingAt() time.Time {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.drainingAt
}

// Arrivals returns the requests that the engine began to work on.
func (e *Engine) Arrivals() []Arrival {
	e.mu.Lock()
	defer e.mu.Unlock()
	return append([]Arrival(nil), e.arrivals...)
}

func (e *Engine) models() []map[string]any {
	models := []map[string]any{}
	for name, version := range e.versions {
		models = append(models, map[string]any{"name": name, "version": version, "adapters": []string{}})
	}
	return models
}

func (e *Engine) entry(beat int64) map[string]any {
	e.mu.Lock()
	defer e.mu.Unlock()
	entry := map[string]any{
		"service": e.config.Service, "address": e.config.Address, "zone": e.config.Zone, "version": "v1", "slots": e.config.Slots,
		"state": "ready", "cold_left_ms": 0, "seq": beat, "born": e.born,
	}
	if e.draining {
		entry["state"] = "draining"
	}
	if e.versions != nil {
		entry["stage"], entry["models"] = "both", e.models()
	}
	return entry
}

// ServeHTTP serves requests, reports and orders.
func (e *Engine) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	if expected := r.Header.Get("Expect-Instance"); expected != "" && expected != e.config.ID {
		w.Header().Set("Instance-Id", e.config.ID)
		w.WriteHeader(http.StatusMisdirectedRequest)
		return
	}
	switch {
	case r.URL.Path == "/healthz":
		w.Header().Set("Instance-Id", e.config.ID)
		if !e.DrainingAt().IsZero() {
			w.WriteHeader(http.StatusServiceUnavailable)
		}
	case r.URL.Path == "/api/report" && e.versions != nil:
		e.mu.Lock()
		report := map[string]any{
			"stage": "both", "models": e.models(), "busy": false, "seq": e.seq, "waiting": e.waiting, "running": e.running,
			"kv_used": 0, "kv_total": 100000, "handles": 0, "born": e.born,
		}
		e.mu.Unlock()
		answer(w, http.StatusOK, report)
	case r.URL.Path == "/api/order" && e.versions != nil:
		e.order(w, r)
	case strings.HasPrefix(r.URL.Path, "/api/"):
		w.WriteHeader(http.StatusNotFound)
	default:
		e.serve(w, r)
	}
}

func (e *Engine) order(w http.ResponseWriter, r *http.Request) {
	var order struct {
		Model    string
		Version  int64
		Fence    int64
		Expected *int64
	}
	_ = json.NewDecoder(r.Body).Decode(&order)
	e.mu.Lock()
	defer e.mu.Unlock()
	switch {
	case order.Fence < e.fence:
		w.WriteHeader(http.StatusPreconditionFailed)
	case e.versions[order.Model] >= order.Version:
		w.WriteHeader(http.StatusOK)
	case order.Expected != nil && *order.Expected != e.seq:
		w.WriteHeader(http.StatusConflict)
	default:
		e.fence = order.Fence
		e.seq++
		e.versions[order.Model] = order.Version
		w.WriteHeader(http.StatusAccepted)
	}
}

// take waits for a slot; false means that the queue is full or that the caller has left.
func (e *Engine) take(ctx context.Context) bool {
	select {
	case e.slots <- struct{}{}:
		return true
	default:
	}
	e.mu.Lock()
	full := e.waiting >= e.config.Queue
	if !full {
		e.waiting++
	}
	e.mu.Unlock()
	if full {
		return false
	}
	defer func() {
		e.mu.Lock()
		e.waiting--
		e.mu.Unlock()
	}()
	select {
	case e.slots <- struct{}{}:
		return true
	case <-ctx.Done():
		return false
	}
}

func (e *Engine) serve(w http.ResponseWriter, r *http.Request) {
	body, err := io.ReadAll(r.Body)
	if err != nil {
		return
	}
	id := r.Header.Get("Request-Id")
	w.Header().Set("Request-Id", id)
	if id == "" {
		w.Header().Set("Not-Run", "1")
		w.WriteHeader(http.StatusBadRequest)
		e.record.Printf("engine %s rejects a request without an id: %s %s", e.config.ID, r.Method, r.RequestURI)
		return
	}
	if !e.take(r.Context()) {
		if r.Context().Err() == nil {
			w.Header().Set("Not-Run", "1")
			e.setLoad(w)
			w.WriteHeader(http.StatusServiceUnavailable)
		}
		return
	}
	arrival := Arrival{Engine: e.config.ID, ID: id, Method: r.Method, Target: r.RequestURI, Header: r.Header.Clone(), Body: string(body)}
	e.mu.Lock()
	e.running++
	e.mu.Unlock()
	arrival.At = e.record.Printf("engine %s (%s) runs %s: %s %s", e.config.ID, e.config.Service, id, r.Method, r.RequestURI)
	e.mu.Lock()
	e.arrivals = append(e.arrivals, arrival)
	e.mu.Unlock()
	defer func() {
		<-e.slots
		e.mu.Lock()
		e.running--
		e.mu.Unlock()
	}()
	w.Header().Set("Server-Stamp", "stamp."+e.config.ID+"."+id)
	if e.versions != nil {
		e.generate(w, r)
		return
	}
	select {
	case <-time.After(e.config.Work):
	case <-r.Context().Done():
		return
	}
	e.setLoad(w)
	_, _ = fmt.Fprintf(w, "answer of %s to %s", e.config.Service, id)
}

func (e *Engine) setLoad(w http.ResponseWriter) {
	e.mu.Lock()
	defer e.mu.Unlock()
	w.Header().Set("Server-Load", fmt.Sprintf("%d,%d,%d", e.running, e.waiting, e.config.Slots))
}

func (e *Engine) generate(w http.ResponseWriter, r *http.Request) {
	after, _ := strconv.Atoi(r.Header.Get("Last-Event-Id"))
	e.mu.Lock()
	version := e.versions[r.Header.Get("Model")]
	e.mu.Unlock()
	e.setLoad(w)
	w.Header().Set("Content-Type", "text/event-stream")
	w.Header().Set("Weight-Versions", strconv.FormatInt(version, 10))
	for n := after + 1; n <= e.config.Events; n++ {
		select {
		case <-time.After(e.config.Interval):
		case <-r.Context().Done():
			return
		}
		_, _ = fmt.Fprintf(w, "id: %d\ndata: %s/%d\n\n", n, r.Header.Get("Request-Id"), n)
		w.(http.Flusher).Flush()
	}
}
