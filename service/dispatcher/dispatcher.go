package dispatcher

import (
	"cmp"
	"context"
	"errors"
	"math/rand/v2"
	"slices"
	"sync"
	"time"

	"github.com/google/uuid"

	"celerygap.example/lib/codec"
	"celerygap.example/lib/grouper"
	"celerygap.example/lib/identifier"
	"celerygap.example/lib/logger"
	"celerygap.example/lib/meter"
	"celerygap.example/lib/refuser"
	"celerygap.example/lib/timer"
	"celerygap.example/service/connector"
	"celerygap.example/service/isolator"
	"celerygap.example/service/limiter"
	"celerygap.example/service/router"
)

// Defaults of Config and bounds of the background work.
const (
	DefaultMaxAttempts                   = 5
	DefaultDeadline                      = 10 * time.Minute
	DefaultProbeTimeout                  = 500 * time.Millisecond
	DefaultMaxBody      identifier.Bytes = 8 << 20
	// maxCancellations bounds the concurrent cancellations at engines and maxCompletions the concurrent permit
	// completions.
	maxCancellations = 256
	maxCompletions   = 4096
)

// Config configures a dispatcher; a zero duration or limit means its default.
type Config struct {
	Host      identifier.HostID
	Zone      identifier.Zone
	Region    identifier.Region
	Catalogue connector.Catalogue
	Upstreams connector.Upstreams
	Engines   connector.Engines
	Plain     connector.PlainServices
	// Streams serves routes whose responses are streams; it may be nil without such routes.
	Streams connector.Streams
	// Origins keeps which upstreams began the callers' streams. Without it no stream can be taken up by a later request.
	Origins connector.StreamOrigins
	Permits connector.Permits
	// Pacer keeps attempts within the limits that upstreams name; nil means that they name none.
	Pacer    connector.Pacer
	Meter    *meter.Meter
	Log      *logger.Logger
	Timer    *timer.Service
	Policy   router.PolicyName
	Limiter  limiter.Config
	Isolator isolator.Config
	// Random is the source of the random choices of pools and upstreams; nil means a randomly seeded one.
	Random *rand.Rand
	// MaxAttempts bounds the attempts of one request, in addition to the retry budget.
	MaxAttempts  int
	Deadline     time.Duration
	ProbeTimeout time.Duration
	MaxBody      identifier.Bytes
	// OnStarted is called once for a request of a customer when an upstream is known to have begun it, with the time at which
	// that attempt was sent; nil means that nothing is counted. It must not wait.
	OnStarted func(customer identifier.CustomerName, at time.Time)
	// OnFlagged is called with the fingerprints that this host proves or suspects, with the dispatcher's mutex held: it
	// must neither block nor call the dispatcher.
	OnFlagged func(proven, suspects []codec.FlaggedFingerprint)
}

// Dispatcher implements connector.Generator, connector.PlainCaller and connector.StreamCaller. A request runs on its
// caller's goroutine; the state machines are shared and guarded by one mutex, which is never held during I/O.
type Dispatcher struct {
	config        Config
	cancellations *grouper.Group
	// completions has a limit of its own, so that many cancellations cannot prevent permit completions.
	completions *grouper.Group
	polls       *grouper.Group

	mu               sync.Mutex
	router           *router.Router
	costs            costs
	limiter          *limiter.Limiter
	isolator         *isolator.Isolator
	revision         identifier.Revision
	pools            map[identifier.PoolName][]connector.Upstream
	admissionWaiters map[limiter.RequestID]chan limiter.Command
	decisionWaiters  map[isolator.Ticket]chan isolator.Command
	// attemptCancels holds the functions that cancel the attempts in flight.
	attemptCancels map[identifier.AttemptID]context.CancelCauseFunc
	// changed is closed and replaced whenever a waiting attempt may be able to start: an attempt or a request ended, or
	// the upstreams or their load reports were updated.
	changed  chan struct{}
	lastID   uint64
	running  int
	requests int64
	// turnWaiters counts the requests of each pool that wait because its upstreams limit their requests.
	turnWaiters map[identifier.PoolName]int
	// queueWake signals Run that a request waits for admission.
	queueWake     chan struct{}
	demand        map[identifier.EntryName]int64
	draining      bool
	refusals      map[refuser.Reason]int64
	retries       map[refuser.RetryReason]int64
	refusedChunks map[ChunkFault]int64
}

var (
	_ connector.Generator    = (*Dispatcher)(nil)
	_ connector.PlainCaller  = (*Dispatcher)(nil)
	_ connector.StreamCaller = (*Dispatcher)(nil)
)

// New returns a dispatcher; Run must be running while it serves requests.
func New(config Config) *Dispatcher {
	config.MaxAttempts = cmp.Or(config.MaxAttempts, DefaultMaxAttempts)
	config.Deadline = cmp.Or(config.Deadline, DefaultDeadline)
	config.ProbeTimeout = cmp.Or(config.ProbeTimeout, DefaultProbeTimeout)
	config.MaxBody = cmp.Or(config.MaxBody, DefaultMaxBody)
	if config.Random == nil {
		config.Random = rand.New(rand.NewPCG(rand.Uint64(), rand.Uint64()))
	}
	if config.Log == nil {
		config.Log = logger.Discard()
	}
	return &Dispatcher{
		config:        config,
		cancellations: grouper.NewGroup(maxCancellations),
		completions:   grouper.NewGroup(maxCompletions),
		polls:         grouper.NewGroup(1),
		router: router.New(router.Config{
			Host: config.Host, Zone: config.Zone, Region: config.Region, Policy: config.Policy, Random: config.Random,
		}),
		costs:            newCosts(),
		limiter:          limiter.New(config.Limiter),
		isolator:         isolator.New(config.Isolator),
		pools:            make(map[identifier.PoolName][]connector.Upstream),
		admissionWaiters: make(map[limiter.RequestID]chan limiter.Command),
		decisionWaiters:  make(map[isolator.Ticket]chan isolator.Command),
		attemptCancels:   make(map[identifier.AttemptID]context.CancelCauseFunc),
		changed:          make(chan struct{}),
		demand:           make(map[identifier.EntryName]int64),
		turnWaiters:      make(map[identifier.PoolName]int),
		queueWake:        make(chan struct{}, 1),
		refusals:         make(map[refuser.Reason]int64),
		retries:          make(map[refuser.RetryReason]int64),
		refusedChunks:    make(map[ChunkFault]int64),
	}
}

var errProven = errors.New("the request crashes upstreams")

func newAttemptID() identifier.AttemptID { return identifier.AttemptID(uuid.NewString()) }

// SetShare sets the fraction of an entry's limits that this host may use, above zero and at most one.
func (d *Dispatcher) SetShare(entry identifier.EntryName, share float64) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.handleLimiter(limiter.ShareSet{Entry: entry, Share: share})
}

// Proven returns the proven fingerprints, whose requests this host refuses.
func (d *Dispatcher) Proven() []codec.FlaggedFingerprint {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.isolator.Proven()
}

// ImportFlagged adds the fingerprints that other hosts have proven or suspect.
func (d *Dispatcher) ImportFlagged(proven, suspects []codec.FlaggedFingerprint) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.handleIsolator(isolator.Imported{Proven: proven, Suspects: suspects})
}

// Recheck lets the requests that wait for an upstream look for one again.
func (d *Dispatcher) Recheck() {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.notifyChange()
}

// Drain refuses new requests and waits until the running ones, their cancellations at engines and their permit
// completions are done. It returns the error of ctx if that ends before the last running request.
func (d *Dispatcher) Drain(ctx context.Context) error {
	for {
		d.mu.Lock()
		d.draining = true
		running, changed := d.running, d.changed
		d.mu.Unlock()
		if running == 0 {
			d.cancellations.Wait()
			d.completions.Wait()
			return nil
		}
		select {
		case <-ctx.Done():
			return ctx.Err()
		case <-changed:
		}
	}
}

// handleLimiter passes an event to the limiter and delivers its decisions to the waiting requests; the mutex must be
// held.
func (d *Dispatcher) handleLimiter(event limiter.Event) {
	for _, command := range d.limiter.Handle(time.Now(), event) {
		switch c := command.(type) {
		case limiter.Admitted:
			d.deliverAdmission(c.ID, c)
		case limiter.Refused:
			d.deliverAdmission(c.ID, c)
		}
	}
}

func (d *Dispatcher) deliverAdmission(id limiter.RequestID, command limiter.Command) {
	if waiter, ok := d.admissionWaiters[id]; ok {
		delete(d.admissionWaiters, id)
		waiter <- command
	}
}

// handleIsolator passes an event to the isolator and executes its commands; the mutex must be held.
func (d *Dispatcher) handleIsolator(event isolator.Event) {
	for _, command := range d.isolator.Handle(time.Now(), event) {
		switch c := command.(type) {
		case isolator.Proceed:
			d.deliverDecision(c.Ticket, c)
		case isolator.Isolate:
			d.deliverDecision(c.Ticket, c)
		case isolator.Refuse:
			d.deliverDecision(c.Ticket, c)
		case isolator.Stop:
			if stop, ok := d.attemptCancels[c.Attempt]; ok {
				stop(&connector.UpstreamError{Failure: connector.FailureStopped, Err: errProven})
			}
		case isolator.Proved:
			d.config.Log.Warn(logger.CrashingRequestProven).Str("fingerprint", string(c.Proven.Fingerprint)).Send()
			d.reportFlagged([]codec.FlaggedFingerprint{c.Proven}, nil)
		case isolator.Suspected:
			d.reportFlagged(nil, c.Suspects)
		}
	}
}

func (d *Dispatcher) reportFlagged(proven, suspects []codec.FlaggedFingerprint) {
	if d.config.OnFlagged != nil {
		d.config.OnFlagged(proven, suspects)
	}
}

func (d *Dispatcher) deliverDecision(id isolator.Ticket, command isolator.Command) {
	if waiter, ok := d.decisionWaiters[id]; ok {
		delete(d.decisionWaiters, id)
		waiter <- command
	}
}

func (d *Dispatcher) nextID() uint64 {
	d.lastID++
	return d.lastID
}

func (d *Dispatcher) notifyChange() {
	close(d.changed)
	d.changed = make(chan struct{})
}

// refreshCatalogue returns the current catalogue and applies its limits if its revision changed; the mutex must be
// held.
func (d *Dispatcher) refreshCatalogue() *codec.Catalogue {
	current := d.config.Catalogue.Current()
	if current.Revision == d.revision {
		return current
	}
	d.revision = current.Revision
	d.costs.forget()
	var limits []limiter.EntryLimits
	for _, entry := range current.Entries {
		limits = append(limits, limiter.EntryLimits{Entry: entry.Name, Pool: poolOf(current, entry), Limits: entry.Limits})
	}
	d.handleLimiter(limiter.Configured{Entries: limits})
	return current
}

// modelOf returns the model of a model entry, or of the model entry that a trainer uses.
func modelOf(catalogue *codec.Catalogue, entry codec.Entry) *codec.ModelSpec {
	if entry.Model != nil || entry.Trainer == nil {
		return entry.Model
	}
	for _, other := range catalogue.Entries {
		if other.Name == entry.Trainer.ModelEntry {
			return other.Model
		}
	}
	return nil
}

// choosePool returns the pool of one request; a route with several pools distributes its requests at random by their
// weights.
func (d *Dispatcher) choosePool(catalogue *codec.Catalogue, entry codec.Entry) identifier.PoolName {
	if entry.Route == nil {
		return poolOf(catalogue, entry)
	}
	var total float64
	for _, share := range entry.Route.Pools {
		total += share.Weight
	}
	point := d.config.Random.Float64() * total
	for _, share := range entry.Route.Pools {
		point -= share.Weight
		if point < 0 {
			return share.Pool
		}
	}
	return poolOf(catalogue, entry)
}

func poolOf(catalogue *codec.Catalogue, entry codec.Entry) identifier.PoolName {
	if model := modelOf(catalogue, entry); model != nil {
		return model.Pool
	}
	if entry.Service != nil {
		return entry.Service.Pool
	}
	if entry.Route != nil && len(entry.Route.Pools) > 0 {
		return entry.Route.Pools[0].Pool
	}
	return ""
}

// refreshPool returns the upstreams of a pool and passes them to the router if they changed; the mutex must be held.
func (d *Dispatcher) refreshPool(pool identifier.PoolName) []connector.Upstream {
	current := d.config.Upstreams.Pool(pool)
	if former, ok := d.pools[pool]; !ok || !slices.Equal(former, current) {
		d.pools[pool] = slices.Clone(current)
		d.router.Handle(time.Now(), router.PoolChanged{Pool: pool, Upstreams: current})
	}
	return current
}
