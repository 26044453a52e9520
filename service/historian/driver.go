package historian

import (
	"context"
	"encoding/json"
	"errors"
	"sync"
	"time"

	"golang.org/x/sync/singleflight"

	"celerygap.example/lib/annotator"
	"celerygap.example/lib/codec"
	"celerygap.example/lib/identifier"
	"celerygap.example/lib/logger"
	"celerygap.example/lib/timer"
	"celerygap.example/service/connector"
	"celerygap.example/service/elector"
)

const (
	// key is that of the object in the store, and of the choice of the host that maintains it.
	key = "softwarehistory/pools"
	// maintainInterval is how often the host that maintains the object compares it with what it has seen, and how long it waits after a failure.
	maintainInterval = 500 * time.Millisecond
	// callTimeout bounds a call to the store.
	callTimeout = 500 * time.Millisecond
	// cacheTime is how long an object that was read for Prove is used, which bounds the calls that callers can cause.
	cacheTime = 5 * time.Second
)

// DriverConfig configures a Driver.
type DriverConfig struct {
	Store   connector.Store
	Members connector.Members
	// Settled reports whether Members holds most of the live hosts.
	Settled func() bool
	// FirstStart means that the whole system starts for the first time.
	FirstStart bool
	Timer      *timer.Service
	Log        *logger.Logger
}

// Driver maintains the history of software versions and answers from it. It is safe for concurrent use.
type Driver struct {
	config DriverConfig
	reads  singleflight.Group

	mu      sync.Mutex
	history *History
	// stored is the object as this host has read or written it last while it maintains it; nil if that is not known.
	stored *storedHistory
	// cached is what Prove has read last, at cachedAt.
	cached   codec.SoftwareHistory
	cachedAt time.Time
}

// storedHistory is the object in the store; its version is 0 and its value nil if there is none.
type storedHistory struct {
	value   *codec.SoftwareHistory
	version int64
}

// NewDriver returns a Driver; Run lets it maintain the object when this host is chosen to.
func NewDriver(config DriverConfig) *Driver {
	return &Driver{config: config, history: NewHistory(config.FirstStart)}
}

// Observe notes the software versions of all listed upstreams.
func (d *Driver) Observe(versions Versions) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.history.Observe(time.Now(), versions)
}

// Run maintains the object while this host is chosen to, until ctx ends; its error is always nil.
func (d *Driver) Run(ctx context.Context) error {
	d.config.Timer.Each(ctx, maintainInterval, func() {
		chosen, ok := elector.Choose(key, d.config.Members.Live())
		if !ok || chosen.ID != d.config.Members.Self().ID || !d.config.Settled() {
			d.setStored(nil)
			return
		}
		if err := d.maintain(ctx); err != nil {
			d.setStored(nil)
			d.config.Log.Warn(logger.HistoryNotWritten).Err(err).Send()
		}
	})
	return nil
}

func (d *Driver) setStored(stored *storedHistory) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.stored = stored
}

// maintain writes the object if it lacks something. It calls the store only then, and before its first comparison.
func (d *Driver) maintain(ctx context.Context) error {
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	d.mu.Lock()
	stored, listed := d.stored, d.history.hasList
	d.mu.Unlock()
	if !listed {
		return nil
	}
	if stored == nil {
		var err error
		if stored, err = d.read(ctx); err != nil {
			return err
		}
		d.mu.Lock()
		d.stored = stored
		d.history.Interrupt(time.Now())
		d.mu.Unlock()
	}
	d.mu.Lock()
	next, changed := d.history.Merge(time.Now(), stored.value)
	d.mu.Unlock()
	if !changed {
		return nil
	}
	text, err := json.Marshal(next)
	if err != nil {
		return annotator.Wrap("encode history of software versions", "self", err)
	}
	object, err := d.config.Store.Put(ctx, key, stored.version, text)
	if err != nil {
		return err
	}
	d.setStored(&storedHistory{value: &next, version: object.Version})
	d.config.Log.Info(logger.HistoryWritten).Bool("complete", next.Complete).RawJSON("history", text).Send()
	return nil
}

// read reads the object from the store.
func (d *Driver) read(ctx context.Context) (*storedHistory, error) {
	object, err := d.config.Store.Get(ctx, key)
	if errors.Is(err, connector.ErrNotFound) {
		return &storedHistory{}, nil
	}
	if err != nil {
		return nil, err
	}
	var value codec.SoftwareHistory
	if err := json.Unmarshal(object.Value, &value); err != nil {
		return nil, annotator.Wrap("decode history of software versions", annotator.Peer(key), err)
	}
	return &storedHistory{value: &value, version: object.Version}, nil
}

// Prove returns the origin of every stream that a pool may have begun and that may still run; ok is false if there may be several or the
// store does not respond. It reads the store at most once in cacheTime.
func (d *Driver) Prove(ctx context.Context, pool identifier.PoolName) (origin codec.StreamOrigin, ok bool) {
	stored, err := d.current(ctx)
	if err != nil {
		return codec.StreamOrigin{}, false
	}
	d.mu.Lock()
	defer d.mu.Unlock()
	version, ok := d.history.Only(time.Now(), stored, pool)
	return codec.StreamOrigin{Pool: pool, Software: version}, ok
}

// current returns the object in the store, at most cacheTime old.
func (d *Driver) current(ctx context.Context) (codec.SoftwareHistory, error) {
	d.mu.Lock()
	cached, fresh := d.cached, !d.cachedAt.IsZero() && time.Since(d.cachedAt) < cacheTime
	d.mu.Unlock()
	if fresh {
		return cached, nil
	}
	result := d.reads.DoChan(key, func() (any, error) {
		readCtx, cancel := context.WithTimeout(context.WithoutCancel(ctx), callTimeout)
		defer cancel()
		began := time.Now()
		stored, err := d.read(readCtx)
		if err != nil {
			return codec.SoftwareHistory{}, err
		}
		var value codec.SoftwareHistory
		if stored.value != nil {
			value = *stored.value
		}
		d.mu.Lock()
		defer d.mu.Unlock()
		d.cached, d.cachedAt = value, began
		return value, nil
	})
	select {
	case <-ctx.Done():
		return codec.SoftwareHistory{}, ctx.Err()
	case r := <-result:
		return r.Val.(codec.SoftwareHistory), r.Err
	}
}
