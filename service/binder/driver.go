package binder

import (
	"context"
	"encoding/json"
	"sync"
	"time"

	"celerygap.example/lib/annotator"
	"celerygap.example/lib/codec"
	"celerygap.example/lib/grouper"
	"celerygap.example/lib/identifier"
	"celerygap.example/lib/logger"
	"celerygap.example/lib/timer"
	"celerygap.example/service/connector"
)

const (
	// methodRecord records the origin of a stream at a directory host; methodFind asks for one.
	methodRecord = "record_origin"
	methodFind   = "find_origin"
	// callTimeout bounds a call to a directory host, arrivalWait included.
	callTimeout = 400 * time.Millisecond
	// arrivalWait is how long a directory host waits for a record that it is asked for: the caller may come to the other host
	// before the record arrives, which takes a network path and, at worst, a new connection.
	arrivalWait = 100 * time.Millisecond
	// expiryInterval is how often expired records are forgotten.
	expiryInterval = 5 * time.Second
)

// History tells which upstreams a pool had lately.
type History interface {
	// Prove returns the origin of every stream that a pool may have begun and that may still run; ok is false if there may be several.
	Prove(ctx context.Context, pool identifier.PoolName) (origin codec.StreamOrigin, ok bool)
}

// DriverConfig configures a Driver.
type DriverConfig struct {
	// History is asked about streams without a record; nil means that these stay unknown.
	History History
	Members connector.Members
	Peers   connector.Peers
	Timer   *timer.Service
	Log     *logger.Logger
}

// Driver records origins on other hosts and looks them up there. It is safe for concurrent use.
type Driver struct {
	config DriverConfig
	work   *grouper.Group
	base   context.Context
	cancel context.CancelFunc

	mu      sync.Mutex
	records *Records
	copier  *Copier
	// arrived is closed and replaced when a record arrives.
	arrived chan struct{}
}

var _ connector.StreamOrigins = (*Driver)(nil)

// NewDriver returns a Driver and registers its methods with the peers.
func NewDriver(config DriverConfig) *Driver {
	if config.Log == nil {
		config.Log = logger.Discard()
	}
	base, cancel := context.WithCancel(context.Background())
	d := &Driver{
		config: config, work: grouper.NewGroup(-1), base: base, cancel: cancel, records: NewRecords(), arrived: make(chan struct{}),
	}
	d.copier = NewCopier(config.Members.Self().ID, d.records)
	config.Peers.Handle(methodRecord, d.serveRecord)
	config.Peers.Handle(methodRecords, d.serveRecords)
	config.Peers.Handle(methodFind, d.serveFind)
	return d
}

// Run passes records on to hosts that lack them and forgets expired ones until ctx ends, then waits for the calls under way; its error is
// always nil.
func (d *Driver) Run(ctx context.Context) error {
	defer d.work.Wait()
	defer d.cancel()
	d.work.Go(func() {
		d.config.Timer.Each(ctx, copyInterval, func() { d.replicate(ctx) })
	})
	d.work.Go(func() {
		d.config.Timer.Each(ctx, retryInterval, func() {
			d.mu.Lock()
			defer d.mu.Unlock()
			d.copier.Retry()
		})
	})
	d.config.Timer.Each(ctx, expiryInterval, func() {
		d.mu.Lock()
		defer d.mu.Unlock()
		d.records.Expire(time.Now())
	})
	return nil
}

// Record keeps the origin of a stream for a time, here and on the directory hosts. It does not wait for these.
func (d *Driver) Record(stream identifier.StreamID, origin codec.StreamOrigin, keep time.Duration) {
	d.mu.Lock()
	d.put(stream, origin, keep)
	if known, ok := d.records.lookup(stream); ok {
		known.own = true
		d.copier.Observe(d.config.Members.Live())
		if known.contradicted() {
			d.copier.Check(stream)
		}
	}
	d.mu.Unlock()
	self := d.config.Members.Self()
	request := codec.RecordOrigin{Stream: stream, Origin: origin, Keep: identifier.Duration(keep), Recorder: self.ID, RecorderIncarnation: self.Incarnation}
	candidates := make(chan codec.Member, directoryHosts+spareHosts)
	for _, member := range d.directory(stream) {
		candidates <- member
	}
	close(candidates)
	for range directoryHosts {
		d.work.Go(func() {
			for member := range candidates {
				err := d.call(d.base, member, methodRecord, request, nil)
				if d.base.Err() != nil {
					return
				}
				batch := Batch{To: member, Streams: []identifier.StreamID{stream}}
				d.mu.Lock()
				if err == nil {
					d.copier.Confirmed(batch)
				} else {
					d.copier.Check(stream)
				}
				d.mu.Unlock()
				if err == nil {
					return
				}
			}
		})
	}
}

// Resolve returns the origin of a stream that one of the pools began: that of its record or, if no host that responds has one, the only
// origin that such a stream can have.
func (d *Driver) Resolve(ctx context.Context, stream identifier.StreamID, pools []identifier.PoolName) (origin codec.StreamOrigin, found bool) {
	origin, outcome := d.lookup(ctx, stream)
	if outcome != originUnknown {
		return origin, outcome == originFound
	}
	if len(pools) == 1 && d.config.History != nil {
		origin, found = d.config.History.Prove(ctx, pools[0])
	}
	if found {
		d.config.Log.Info(logger.OriginProved).Str("stream", string(stream)).Str("pool", string(origin.Pool)).Str("software", string(origin.Software)).Send()
	}
	return origin, found
}

// Find returns the origin of a stream, from this host or from the first directory host that knows it; found is false if none
// that responds does.
func (d *Driver) Find(ctx context.Context, stream identifier.StreamID) (origin codec.StreamOrigin, found bool) {
	origin, outcome := d.lookup(ctx, stream)
	return origin, outcome == originFound
}

// lookupOutcome is the result of a search for a record.
type lookupOutcome string

const (
	originFound   lookupOutcome = "found"
	originUnknown lookupOutcome = "unknown"
	// originContradicted means that a host has two different records of the stream.
	originContradicted lookupOutcome = "contradicted"
)

func (d *Driver) lookup(ctx context.Context, stream identifier.StreamID) (codec.StreamOrigin, lookupOutcome) {
	if origin, _, ok := d.get(stream); ok {
		return origin, originFound
	}
	if d.contradicted(stream) {
		return codec.StreamOrigin{}, originContradicted
	}
	if stream == "" {
		return codec.StreamOrigin{}, originUnknown
	}
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	members := d.directory(stream)
	replies := make(chan lookupReply, len(members))
	for _, member := range members {
		d.work.Go(func() {
			var reply lookupReply
			reply.err = d.call(ctx, member, methodFind, codec.FindOrigin{Stream: stream}, &reply.FoundOrigin)
			replies <- reply
		})
	}
	failed, outcome := 0, originUnknown
	for range members {
		reply := <-replies
		switch {
		case reply.err != nil:
			failed++
		case reply.Found:
			d.keepCopy(codec.RecordOrigin{Stream: stream, Origin: reply.Origin, Keep: reply.Keep})
			return reply.Origin, originFound
		case reply.Contradicted:
			outcome = originContradicted
		}
	}
	d.config.Log.Info(logger.OriginNotFound).Str("stream", string(stream)).Str("outcome", string(outcome)).Int("asked", len(members)).Int("failed", failed).
		Int("records", d.count()).Send()
	return codec.StreamOrigin{}, outcome
}

// lookupReply is the response of a directory host.
type lookupReply struct {
	codec.FoundOrigin
	err error
}

// count returns the number of records of this host.
func (d *Driver) count() int {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.records.Len()
}

func (d *Driver) directory(stream identifier.StreamID) []codec.Member {
	return Directory(stream, d.config.Members.Live(), d.config.Members.Self().ID)
}

func (d *Driver) call(ctx context.Context, member codec.Member, method string, params, result any) error {
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	err := d.config.Peers.Call(ctx, member, method, params, result)
	if err != nil && ctx.Err() != context.Canceled {
		d.config.Log.Warn(logger.OriginCallFailed).Str("method", method).Str("peer", string(member.ID)).Err(err).Send()
	}
	return err
}

// put records an origin. d.mu must be held.
func (d *Driver) put(stream identifier.StreamID, origin codec.StreamOrigin, keep time.Duration) {
	d.records.Put(stream, origin, time.Now().Add(keep))
	close(d.arrived)
	d.arrived = make(chan struct{})
}

// keepCopy records what another host has sent.
func (d *Driver) keepCopy(received codec.RecordOrigin) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.put(received.Stream, received.Origin, received.Keep.Std())
	if known, ok := d.records.lookup(received.Stream); ok && !known.own && received.Recorder != "" {
		known.recorder = Process{received.Recorder, received.RecorderIncarnation}
	}
	d.copier.Check(received.Stream)
}

// get returns a record of this host and how much longer it is kept.
func (d *Driver) get(stream identifier.StreamID) (origin codec.StreamOrigin, keep time.Duration, found bool) {
	d.mu.Lock()
	defer d.mu.Unlock()
	now := time.Now()
	origin, until, found := d.records.Get(now, stream)
	return origin, until.Sub(now), found
}

func (d *Driver) contradicted(stream identifier.StreamID) bool {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.records.Contradicted(stream)
}

// nextArrival returns a channel that is closed when the next record arrives.
func (d *Driver) nextArrival() <-chan struct{} {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.arrived
}

func (d *Driver) serveRecord(_ context.Context, params json.RawMessage) (any, error) {
	var request codec.RecordOrigin
	if err := json.Unmarshal(params, &request); err != nil {
		return nil, annotator.Wrap("decode origin of a stream", "peer", err)
	}
	d.keepCopy(request)
	return struct{}{}, nil
}

// serveFind returns the record of a stream. If there is none, it waits arrivalWait for it.
func (d *Driver) serveFind(ctx context.Context, params json.RawMessage) (any, error) {
	var request codec.FindOrigin
	if err := json.Unmarshal(params, &request); err != nil {
		return nil, annotator.Wrap("decode lookup of a stream", "peer", err)
	}
	limit := time.NewTimer(arrivalWait)
	defer limit.Stop()
	for {
		arrived := d.nextArrival()
		if origin, keep, ok := d.get(request.Stream); ok {
			return codec.FoundOrigin{Found: true, Origin: origin, Keep: identifier.Duration(keep)}, nil
		}
		if d.contradicted(request.Stream) {
			return codec.FoundOrigin{Contradicted: true}, nil
		}
		select {
		case <-arrived:
		case <-limit.C:
			return codec.FoundOrigin{}, nil
		case <-ctx.Done():
			return nil, ctx.Err()
		}
	}
}
