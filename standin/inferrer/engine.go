package inferrer

import (
	"context"
	"encoding/json"
	"errors"
	"net/http"
	"sync"
	"time"

	"github.com/labstack/echo/v4"

	"celerygap.example/lib/annotator"
	"celerygap.example/lib/codec"
	"celerygap.example/lib/grouper"
	"celerygap.example/lib/identifier"
	"celerygap.example/lib/timer"
	"celerygap.example/standin/listener"
)

// Engine is one stand-in model engine.
type Engine struct {
	config   Config
	server   *listener.Listener
	timer    *timer.Service
	ownTimer bool
	client   *http.Client
	// wake makes an idle engine generate tokens.
	wake chan struct{}

	mu       sync.Mutex
	down     bool
	leaving  bool
	restarts int
	role     codec.EngineRole
	models   map[identifier.ModelName]*model
	adapters map[string]identifier.WeightVersion
	fencing  map[identifier.ModelName]identifier.Fencing
	streams  map[identifier.AttemptID]*stream
	running  []*stream
	queued   queue
	arrivals int64
	prefixes *prefixCache
	kvCaches *cacheStore
	faults   Faults
	record   record
	// report is the published load report, nextReport the one to publish at the next interval.
	report     codec.LoadReport
	nextReport codec.LoadReport
}

// model is the state of one model on an engine.
type model struct {
	serving identifier.WeightVersion
	loaded  map[identifier.WeightVersion][]byte
}

// New binds the address of an engine.
func New(config Config) (*Engine, error) {
	config = config.withDefaults()
	e := &Engine{
		config: config,
		timer:  config.Timer,
		client: &http.Client{},
		wake:   make(chan struct{}, 1),
	}
	if e.timer == nil {
		e.timer = timer.New(timer.Config{})
		e.ownTimer = true
	}
	if config.Record != nil {
		e.record.file = json.NewEncoder(config.Record)
	}
	e.reset()
	server, err := listener.Open(listener.Config{
		Address: config.Address, AddressFile: config.AddressFile, Handler: e.routes(),
	})
	if err != nil {
		return nil, annotator.Wrap("start engine", "self", err)
	}
	e.server = server
	if config.ID == "" {
		e.config.ID = identifier.UpstreamID(server.Address())
	}
	e.report, e.nextReport = e.snapshot(time.Now()), e.snapshot(time.Now())
	return e, nil
}

// reset puts the engine in the state after a start, with only the configured weight versions. The record, the faults and
// the effect of Leave stay.
func (e *Engine) reset() {
	e.down = false
	e.role = codec.EngineRoleMixed
	e.models = make(map[identifier.ModelName]*model)
	for _, m := range e.config.Models {
		e.models[m.Name] = &model{
			serving: m.Version,
			loaded:  map[identifier.WeightVersion][]byte{m.Version: nil},
		}
	}
	e.adapters = make(map[string]identifier.WeightVersion)
	e.fencing = make(map[identifier.ModelName]identifier.Fencing)
	e.streams = make(map[identifier.AttemptID]*stream)
	e.running = nil
	e.queued = nil
	e.prefixes = newPrefixCache(e.config)
	e.kvCaches = newCacheStore()
}

// Address returns the listening address.
func (e *Engine) Address() string { return e.server.Address() }

// ID returns the engine's id; without a configured one it is the address.
func (e *Engine) ID() identifier.UpstreamID { return e.config.ID }

// Run serves until the context ends, then waits for the running and queued streams to finish. It also returns an error
// from writing the record. Token generation must continue during that drain, so the duties do not end with the context
// but when serving ends.
func (e *Engine) Run(ctx context.Context) error {
	stop := context.AfterFunc(ctx, e.Leave)
	defer stop()
	duties := []grouper.Duty{
		{Name: "generate", Run: e.generate},
		{Name: "report", Run: e.publishReports},
		{Name: "serve", Run: func(context.Context) error { return e.serve(ctx) }},
	}
	if e.ownTimer {
		duties = append(duties, grouper.Duty{Name: "timer", Run: e.timer.Run})
	}
	err := grouper.Supervise(context.WithoutCancel(ctx), grouper.Config{}, duties...)
	e.mu.Lock()
	defer e.mu.Unlock()
	return errors.Join(err, e.record.fileErr)
}

// serve serves until the context ends and restarts the engine after each crash.
func (e *Engine) serve(ctx context.Context) error {
	for {
		if err := e.server.Run(ctx); err != nil || ctx.Err() != nil {
			return err
		}
		select {
		case <-ctx.Done():
			return nil
		case <-time.After(e.config.RestartDelay):
		}
		e.mu.Lock()
		e.reset()
		e.restarts++
		e.mu.Unlock()
		if err := e.server.Reopen(ctx); err != nil {
			return err
		}
	}
}

func (e *Engine) routes() http.Handler {
	router := echo.New()
	router.HideBanner = true
	router.POST("/v1/completions", e.complete)
	router.DELETE("/v1/completions/:attempt", e.cancel)
	router.POST("/v1/orders", e.order)
	router.GET("/v1/load", e.load)
	router.GET("/v1/cache_events", e.cacheEvents)
	router.GET("/v1/weights/:model/:version", e.weights)
	router.GET("/v1/kv/:attempt", e.exportCache)
	router.PUT("/v1/kv/:attempt", e.importCache)
	e.addAdmin(router.Group("/admin"))
	return router
}

// Leave makes the engine refuse new streams; running and queued ones finish.
func (e *Engine) Leave() {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.leaving = true
}

// Return makes the engine accept new streams again after Leave.
func (e *Engine) Return() {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.leaving = false
}

// Crash ends every stream without an end marker, calls OnCrash and closes all connections; Run restarts the engine after
// RestartDelay.
func (e *Engine) Crash() {
	e.mu.Lock()
	if e.down {
		e.mu.Unlock()
		return
	}
	e.down = true
	for _, s := range e.streams {
		e.end(s, RunCrashed)
	}
	e.mu.Unlock()
	if e.config.OnCrash != nil {
		e.config.OnCrash()
	}
	e.server.Abort()
}
