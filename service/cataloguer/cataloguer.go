package cataloguer

import (
	"sync"
	"sync/atomic"

	"celerygap.example/lib/codec"
	"celerygap.example/lib/logger"
	"celerygap.example/lib/meter"
	"celerygap.example/service/connector"
)

// Config configures a Cataloguer.
type Config struct {
	Log   *logger.Logger
	Meter *meter.Meter
}

// Cataloguer implements connector.Catalogue; the revision of its catalogue never decreases.
type Cataloguer struct {
	config  Config
	current atomic.Pointer[codec.Catalogue]

	mu          sync.Mutex
	subscribers []chan *codec.Catalogue
}

var _ connector.Catalogue = (*Cataloguer)(nil)

// New returns a Cataloguer that holds an empty catalogue of revision 0.
func New(config Config) *Cataloguer {
	if config.Log == nil {
		config.Log = logger.Discard()
	}
	c := &Cataloguer{config: config}
	c.current.Store(&codec.Catalogue{})
	return c
}

// Current returns the catalogue in effect; it must not be changed.
func (c *Cataloguer) Current() *codec.Catalogue { return c.current.Load() }

// Ready reports whether a catalogue has been applied.
func (c *Cataloguer) Ready() bool { return c.Current().Revision > 0 }

// Subscribe returns a channel that receives each newer catalogue; a slow subscriber receives only the newest.
func (c *Cataloguer) Subscribe() <-chan *codec.Catalogue {
	c.mu.Lock()
	defer c.mu.Unlock()
	subscriber := make(chan *codec.Catalogue, 1)
	c.subscribers = append(c.subscribers, subscriber)
	return subscriber
}

// Apply puts a catalogue in effect if its revision is higher than the current one, and reports whether it did.
func (c *Cataloguer) Apply(next *codec.Catalogue) (applied bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	former := c.Current()
	if next.Revision <= former.Revision {
		return false
	}
	c.current.Store(next)
	c.config.Log.Info(logger.CatalogueApplied).Int64("revision", int64(next.Revision)).Int64("former", int64(former.Revision)).
		Int("entries", len(next.Entries)).Send()
	if c.config.Meter != nil {
		c.config.Meter.RevisionInEffect(int64(next.Revision))
	}
	for _, subscriber := range c.subscribers {
		select {
		case <-subscriber:
		default:
		}
		subscriber <- next
	}
	return true
}
