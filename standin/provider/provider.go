package provider

import (
	"context"
	"net/http"
	"strconv"
	"sync"
	"time"

	"github.com/labstack/echo/v4"
	"github.com/labstack/echo/v4/middleware"
	"golang.org/x/time/rate"

	"celerygap.example/lib/annotator"
	"celerygap.example/lib/codec"
	"celerygap.example/lib/identifier"
	"celerygap.example/service/storekeeper"
	"celerygap.example/standin/listener"
)

// The default rates are those of docs/design.md section 1.3.
const (
	DefaultWritesPerSecond  = 500
	DefaultReadsPerSecond   = 2000
	DefaultWeightsPerSecond = 50
)

// drainTimeout is short because a waiting watch would otherwise delay the shutdown until its wait ends.
const drainTimeout = 100 * time.Millisecond

// Config configures a platform.
type Config struct {
	Address     string
	AddressFile string
	// WritesPerSecond limits the writes; ReadsPerSecond limits the reads, the watches and the calls to the list of hosts
	// together. Zero means the default, a negative rate no limit.
	WritesPerSecond float64
	ReadsPerSecond  float64
	// WeightsPerSecond limits the calls to the weight store in the same way.
	WeightsPerSecond float64
	// HostLag delays each change of the list of hosts.
	HostLag time.Duration
	// Hosts is the list of hosts at the start.
	Hosts []codec.ListedHost
}

// Platform serves the store, the weight store and the list of hosts over HTTP.
type Platform struct {
	config  Config
	store   *storekeeper.Store
	server  *listener.Listener
	writes  *rate.Limiter
	reads   *rate.Limiter
	weights *rate.Limiter

	mu        sync.Mutex
	faults    Faults
	counts    Counts
	hosts     []codec.ListedHost
	revision  int64
	history   []timedHostList
	artifacts map[artifact][]byte
}

// artifact identifies one stored version of a model's weights.
type artifact struct {
	model   identifier.ModelName
	version string
}

// timedHostList is a list of hosts and the time from which it is visible.
type timedHostList struct {
	visible time.Time
	list    codec.HostList
}

// Faults selects the faults that the platform injects.
type Faults struct {
	// Down rejects each call to the store or the list of hosts with status 503, without effect.
	Down bool `json:"down"`
	// Slow is the delay of each call to the store or the list of hosts.
	Slow identifier.Duration `json:"slow"`
	// LoseResponses is how many of the next writes take effect but have their connections closed without a response.
	LoseResponses int `json:"lose_answers"`
	// WeightsDown rejects each call to the weight store with status 503.
	WeightsDown bool `json:"weights_down"`
}

// Counts counts the calls by kind. A call over the rate limit counts as throttled only; one during an injected outage
// does not count.
type Counts struct {
	Reads           int64 `json:"reads"`
	Writes          int64 `json:"writes"`
	Watches         int64 `json:"watches"`
	Hosts           int64 `json:"hosts"`
	Throttled       int64 `json:"throttled"`
	WeightDownloads int64 `json:"weight_downloads"`
	WeightUploads   int64 `json:"weight_uploads"`
}

// New binds the address of a platform.
func New(config Config) (*Platform, error) {
	p := &Platform{
		config:    config,
		store:     storekeeper.New(),
		writes:    newLimiter(config.WritesPerSecond, DefaultWritesPerSecond),
		reads:     newLimiter(config.ReadsPerSecond, DefaultReadsPerSecond),
		weights:   newLimiter(config.WeightsPerSecond, DefaultWeightsPerSecond),
		artifacts: make(map[artifact][]byte),
	}
	p.changeHosts(time.Time{}, func([]codec.ListedHost) []codec.ListedHost { return config.Hosts })
	server, err := listener.Open(listener.Config{
		Address: config.Address, AddressFile: config.AddressFile, Handler: p.routes(), DrainTimeout: drainTimeout,
	})
	if err != nil {
		return nil, annotator.Wrap("start platform", "self", err)
	}
	p.server = server
	return p, nil
}

func newLimiter(perSecond, fallback float64) *rate.Limiter {
	if perSecond < 0 {
		return rate.NewLimiter(rate.Inf, 0)
	}
	if perSecond == 0 {
		perSecond = fallback
	}
	// The burst is a tenth of the calls per second, so that the limit also holds over short intervals.
	return rate.NewLimiter(rate.Limit(perSecond), max(1, int(perSecond/10)))
}

// Address returns the listening address.
func (p *Platform) Address() string { return p.server.Address() }

// Store returns the store behind the platform, for programs that embed the platform.
func (p *Platform) Store() *storekeeper.Store { return p.store }

// Run serves until the context ends.
func (p *Platform) Run(ctx context.Context) error { return p.server.Run(ctx) }

func (p *Platform) routes() http.Handler {
	e := echo.New()
	e.HideBanner = true
	e.GET("/objects", p.list, p.admit(p.reads, countRead))
	e.GET("/objects/*", p.get, p.admit(p.reads, countRead))
	e.PUT("/objects/*", p.put, p.admit(p.writes, countWrite))
	e.DELETE("/objects/*", p.remove, p.admit(p.writes, countWrite))
	e.GET("/watch", p.watch, p.admit(p.reads, countWatch))
	e.GET("/hosts", p.listHosts, p.admit(p.reads, countHosts), middleware.Gzip())
	e.GET("/weights/:model/:version", p.download)
	e.PUT("/weights/:model/:version", p.upload)
	p.addAdmin(e.Group("/admin"))
	return e
}

func countRead(c *Counts)  { c.Reads++ }
func countWrite(c *Counts) { c.Writes++ }
func countWatch(c *Counts) { c.Watches++ }
func countHosts(c *Counts) { c.Hosts++ }

// admit applies the faults and the rate limit before a call has any effect, and counts the call.
func (p *Platform) admit(limiter *rate.Limiter, count func(*Counts)) echo.MiddlewareFunc {
	return func(next echo.HandlerFunc) echo.HandlerFunc {
		return func(c echo.Context) error {
			p.mu.Lock()
			faults := p.faults
			p.mu.Unlock()
			if faults.Slow > 0 && !sleep(c.Request().Context(), faults.Slow.Std()) {
				return nil
			}
			if faults.Down {
				return c.NoContent(http.StatusServiceUnavailable)
			}
			if !limiter.Allow() {
				p.count(func(n *Counts) { n.Throttled++ })
				return throttle(c)
			}
			p.count(count)
			return next(c)
		}
	}
}

func (p *Platform) count(add func(*Counts)) {
	p.mu.Lock()
	defer p.mu.Unlock()
	add(&p.counts)
}

func throttle(c echo.Context) error {
	c.Response().Header().Set("Retry-After", strconv.Itoa(1))
	return c.NoContent(http.StatusTooManyRequests)
}

func sleep(ctx context.Context, d time.Duration) bool {
	timeout := time.NewTimer(d)
	defer timeout.Stop()
	select {
	case <-ctx.Done():
		return false
	case <-timeout.C:
		return true
	}
}
