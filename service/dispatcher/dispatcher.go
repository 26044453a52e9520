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

// Defaults of Config.
const (
	DefaultMaxAttempts                   = 5
	DefaultDeadline                      = 10 * time.Minute
	DefaultProbeTimeout                  = 500 * time.Millisecond
	DefaultMaxBody      identifier.Bytes = 8 << 20
	// maxBackground bounds the cancellations and maxCompletions the permit completions that run beside requests.
	maxBackground  = 256
	maxCompletions = 4096
)

// Config configures a dispatcher; zero values of times and limits mean the defaults.
type Config struct {
	Host      identifier.HostID
	Zone      identifier.Zone
	Region    identifier.Region
	Catalogue connector.Catalogue
	Upstreams connector.Upstreams
	Engines   connector.Engines
	Plain     connector.PlainServices
	// Streams serves routes whose responses are streams; it may be nil without such routes.
	Streams  connector.Streams
	Permits  connector.Permits
	Meter    *meter.Meter
	Log      *logger.Logger
	Timer    *timer.Service
	Policy   router.PolicyName
	Limiter  limiter.Config
	Isolator isolator.Config
	// Random seeds the policies that choose at random.
	Random *rand.Rand
	// MaxAttempts bounds the attempts of one request, beside the retry budget.
	MaxAttempts  int
	Deadline     time.Duration
	ProbeTimeout time.Duration
	MaxBody      identifier.Bytes
	// OnFlagged is told of the fingerprints that this host proves or suspects; it must neither block nor call the
	// dispatcher.
	OnFlagged func(proven, suspects []codec.FlaggedFingerprint)
}

// Dispatcher implements connector.Generator and connector.PlainCaller. A request runs on its caller's goroutine; the
// state machines are shared and guarded by one mutex, which is never held during I/O.
type Dispatcher struct {
	config     Config
	background *grouper.Group
	// completions are apart from the cancellations of attempts, which must not crowd them out.
	completions *grouper.Group
	polls       *grouper.Group

	mu       sync.Mutex
	router   *router.Router
	limiter  *limiter.Limiter
	isolator *isolator.Isolator
	revision identifier.Revision
	pools    map[identifier.PoolName][]connector.Upstream
	admitted map[limiter.RequestID]chan limiter.Command
	tickets  map[isolator.Ticket]chan isolator.Command
	// stops end the attempts in flight.
	stops map[identifier.AttemptID]context.CancelCauseFunc
	// changed is closed and replaced whenever an attempt ends.
	changed  chan struct{}
	lastID   uint64
	running  int
	requests int64
	// waiting tells the duty that a request waits for admission.
	waiting  chan struct{}
	demand   map[identifier.EntryName]int64
	draining bool
	refusals map[refuser.Reason]int64
	retries  map[refuser.RetryReason]int64
	chunks   map[ChunkFault]int64
}

var (
	_ connector.Generator    = (*Dispatcher)(nil)
	_ connector.PlainCaller  = (*Dispatcher)(nil)
	_ connector.StreamCaller = (*Dispatcher)(nil)
)

// New returns a dispatcher; its duty is Run.
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
		config:      config,
		background:  grouper.NewGroup(maxBackground),
		completions: grouper.NewGroup(maxCompletions),
		polls:       grouper.NewGroup(1),
		router: router.New(router.Config{
			Host: config.Host, Zone: config.Zone, Region: config.Region, Policy: config.Policy, Random: config.Random,
		}),
		limiter:  limiter.New(config.Limiter),
		isolator: isolator.New(config.Isolator),
		pools:    make(map[identifier.PoolName][]connector.Upstream),
		admitted: make(map[limiter.RequestID]chan limiter.Command),
		tickets:  make(map[isolator.Ticket]chan isolator.Command),
		stops:    make(map[identifier.AttemptID]context.CancelCauseFunc),
		changed:  make(chan struct{}),
		demand:   make(map[identifier.EntryName]int64),
		waiting:  make(chan struct{}, 1),
		refusals: make(map[refuser.Reason]int64),
		retries:  make(map[refuser.RetryReason]int64),
		chunks:   make(map[ChunkFault]int64),
	}
}

var errProven = errors.New("the request crashes upstreams")

func newAttemptID() identifier.AttemptID { return identifier.AttemptID(uuid.NewString()) }

// SetShare sets the part of an entry's limits that this host may use, above zero and at most one.
func (d *Dispatcher) SetShare(entry identifier.EntryName, share float64) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.limit(limiter.ShareSet{Entry: entry, Share: share})
}

// Proven returns the fingerprints that this host refuses.
func (d *Dispatcher) Proven() []codec.FlaggedFingerprint {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.isolator.Proven()
}

// ImportFlagged adds fingerprints that other hosts have proven or suspect.
func (d *Dispatcher) ImportFlagged(proven, suspects []codec.FlaggedFingerprint) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.isolate(isolator.Imported{Proven: proven, Suspects: suspects})
}

// Drain refuses new requests and waits until the running ones and their permit completions are done.
func (d *Dispatcher) Drain(ctx context.Context) error {
	for {
		d.mu.Lock()
		d.draining = true
		running, changed := d.running, d.changed
		d.mu.Unlock()
		if running == 0 {
			d.background.Wait()
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

// limit passes an event to the limiter and its answers to the waiting requests; the mutex must be held.
func (d *Dispatcher) limit(event limiter.Event) {
	for _, command := range d.limiter.Handle(time.Now(), event) {
		switch c := command.(type) {
		case limiter.Admitted:
			d.answerWaiting(c.ID, c)
		case limiter.Refused:
			d.answerWaiting(c.ID, c)
		}
	}
}

func (d *Dispatcher) answerWaiting(id limiter.RequestID, command limiter.Command) {
	if waiting, ok := d.admitted[id]; ok {
		delete(d.admitted, id)
		waiting <- command
	}
}

// isolate passes an event to the isolator and its answers to the waiting requests; the mutex must be held.
func (d *Dispatcher) isolate(event isolator.Event) {
	for _, command := range d.isolator.Handle(time.Now(), event) {
		switch c := command.(type) {
		case isolator.Proceed:
			d.answerTicket(c.Ticket, c)
		case isolator.Isolate:
			d.answerTicket(c.Ticket, c)
		case isolator.Refuse:
			d.answerTicket(c.Ticket, c)
		case isolator.Stop:
			if stop, ok := d.stops[c.Attempt]; ok {
				stop(&connector.UpstreamError{Failure: connector.FailureStopped, Err: errProven})
			}
		case isolator.Proved:
			d.config.Log.Warn(logger.FingerprintProven).Str("fingerprint", string(c.Proven.Fingerprint)).Send()
			d.announce([]codec.FlaggedFingerprint{c.Proven}, nil)
		case isolator.Suspected:
			d.announce(nil, c.Suspects)
		}
	}
}

func (d *Dispatcher) announce(proven, suspects []codec.FlaggedFingerprint) {
	if d.config.OnFlagged != nil {
		d.config.OnFlagged(proven, suspects)
	}
}

func (d *Dispatcher) answerTicket(id isolator.Ticket, command isolator.Command) {
	if waiting, ok := d.tickets[id]; ok {
		delete(d.tickets, id)
		waiting <- command
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

// refreshCatalogue applies the limits of a newer catalogue; the mutex must be held.
func (d *Dispatcher) refreshCatalogue() *codec.Catalogue {
	current := d.config.Catalogue.Current()
	if current.Revision == d.revision {
		return current
	}
	d.revision = current.Revision
	var limits []limiter.EntryLimits
	for _, entry := range current.Entries {
		limits = append(limits, limiter.EntryLimits{Entry: entry.Name, Pool: poolOf(current, entry), Limits: entry.Limits})
	}
	d.limit(limiter.Configured{Entries: limits})
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

// choosePool returns the pool of one request; a route with several pools divides its requests by their weights.
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

// refreshPool tells the router of a changed pool and returns the pool; the mutex must be held.
func (d *Dispatcher) refreshPool(pool identifier.PoolName) []connector.Upstream {
	current := d.config.Upstreams.Pool(pool)
	if former, ok := d.pools[pool]; !ok || !slices.Equal(former, current) {
		d.pools[pool] = slices.Clone(current)
		d.router.Handle(time.Now(), router.PoolChanged{Pool: pool, Upstreams: current})
	}
	return current
}
