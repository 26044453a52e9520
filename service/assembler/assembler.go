package assembler

import (
	"context"
	"math/rand/v2"
	"net"
	"net/http"
	"sync/atomic"
	"time"

	"github.com/cespare/xxhash/v2"

	"celerygap.example/lib/annotator"
	"celerygap.example/lib/asserter"
	"celerygap.example/lib/codec"
	"celerygap.example/lib/grouper"
	"celerygap.example/lib/identifier"
	"celerygap.example/lib/logger"
	"celerygap.example/lib/meter"
	"celerygap.example/lib/timer"
	"celerygap.example/service/batcher"
	"celerygap.example/service/cataloguer"
	"celerygap.example/service/connector"
	"celerygap.example/service/dispatcher"
	"celerygap.example/service/lister"
	"celerygap.example/service/matcher"
	"celerygap.example/service/peerconnector"
	"celerygap.example/service/placer"
	"celerygap.example/service/prober"
	"celerygap.example/service/spreader"
)

const (
	// headerTimeout bounds the time that a caller takes to send its request header, until the configuration sets it.
	headerTimeout = 10 * time.Second
	// idleTimeout closes callers' connections without requests; it is longer than any time that the platform sets, since
	// closing early would cut a request that is on its way.
	idleTimeout = 5 * time.Minute
	// maxHeaderBytes bounds what is read of a header before the configured limit is looked at.
	maxHeaderBytes = 64 << 10
	// idlePoll is the time between two looks at whether all requests have ended.
	idlePoll = 20 * time.Millisecond
)

// Settings are the checked settings of one host.
type Settings struct {
	HostID identifier.HostID
	Zone   identifier.Zone
	Region identifier.Region
	// Listen serves callers, ReadyListen the load balancer's checks, PeerListen other hosts and MetricsListen metrics;
	// the last may be empty.
	Listen        string
	ReadyListen   string
	PeerListen    string
	MetricsListen string
	Seeds         []string
	// DrainWait is how long the load balancer gets to stop sending, StopGrace the whole time for a planned stop.
	DrainWait time.Duration
	StopGrace time.Duration
	// LeaseDuration is how long the lease for orders lasts without a renewal.
	LeaseDuration time.Duration
	// Fenced tells that the engines refuse orders with an old fencing number.
	Fenced bool
	// KeepResults is how long the results of a batch job are kept.
	KeepResults time.Duration
	// ReturnTime is how long after an outage of the store entries of live upstreams may take to come back.
	ReturnTime time.Duration
}

// Front is the HTTP interface towards callers, trainers and the load balancer.
type Front interface {
	Handler() http.Handler
	ReadyHandler() http.Handler
	// Drain turns readiness off.
	Drain()
	// InFlight returns the number of requests that are being served.
	InFlight() int
}

// Parts are what a Front needs of the host.
type Parts struct {
	Match     func(host, path string) (entry codec.Entry, found, known bool)
	Plain     connector.PlainCaller
	Streams   connector.StreamCaller
	Batches   connector.Batches
	Catalogue connector.Catalogue
	Ready     func() bool
	Log       *logger.Logger
}

// Platform decodes what the platform stores.
type Platform struct {
	// Kinds are the prefixes of the followed objects.
	ConfigurationKind, UpstreamKind, VersionKind string
	ConfigurationKey                             string
	Catalogue                                    func(codec.Object) (*codec.Catalogue, error)
	Upstream                                     func(codec.Object) (codec.ListedHost, error)
	Version                                      func(codec.Object) (identifier.ModelName, identifier.WeightVersion, error)
	MakeReward                                   func(codec.RewardCall) connector.PlainRequest
	Score                                        func(connector.PlainResponse) string
}

// Config configures a Host.
type Config struct {
	Settings Settings
	Log      *logger.Logger
	Meter    *meter.Meter
	Store    connector.ObjectStore
	Plain    connector.PlainServices
	Streams  connector.Streams
	Runner   connector.ItemRunner
	Orders   connector.WeightOrders
	Platform Platform
	NewFront func(Parts) Front
}

// Host is one host with all its parts.
type Host struct {
	config    Config
	log       *logger.Logger
	timer     *timer.Service
	listeners listeners
	front     Front
	callers   *http.Server

	catalogue  *cataloguer.Cataloguer
	matcher    atomic.Pointer[matcher.Matcher]
	lister     *lister.Driver
	peers      *peerconnector.Connector
	prober     *prober.Driver
	dispatcher *dispatcher.Dispatcher
	batcher    *batcher.Driver
	placer     *placer.Driver

	configuration *spreader.Driver
	upstreams     *spreader.Driver
	// decoded keeps the decoded entries of upstreams, so that a change of one of thousands costs the decoding of one.
	decoded map[string]decodedEntry
}

type listeners struct {
	caller, ready, peer, metrics net.Listener
}

// New listens on the configured addresses and builds the parts; nothing runs before Run.
func New(config Config) (*Host, error) {
	h := &Host{config: config, timer: timer.New(timer.Config{})}
	h.log = config.Log.With("host", string(config.Settings.HostID))
	if err := h.listen(); err != nil {
		h.closeListeners()
		return nil, err
	}
	h.build()
	return h, nil
}

func (h *Host) listen() error {
	settings := h.config.Settings
	for _, want := range []struct {
		address  string
		listener *net.Listener
		step     annotator.Step
	}{
		{settings.Listen, &h.listeners.caller, "listen for callers"},
		{settings.ReadyListen, &h.listeners.ready, "listen for readiness checks"},
		{settings.PeerListen, &h.listeners.peer, "listen for other hosts"},
		{settings.MetricsListen, &h.listeners.metrics, "listen for metrics"},
	} {
		if want.address == "" {
			continue
		}
		listener, err := net.Listen("tcp", want.address)
		if err != nil {
			return annotator.Wrap(want.step, annotator.Peer(want.address), err)
		}
		*want.listener = listener
	}
	return nil
}

func (h *Host) closeListeners() {
	for _, listener := range []net.Listener{h.listeners.caller, h.listeners.ready, h.listeners.peer, h.listeners.metrics} {
		if listener != nil {
			_ = listener.Close()
		}
	}
}

// random returns a generator of its own for each part, seeded by the host's id and start.
func (h *Host) random(part string) *rand.Rand {
	return rand.New(rand.NewPCG(xxhash.Sum64String(string(h.config.Settings.HostID)+"/"+part), uint64(h.timer.Now().UnixNano())))
}

func (h *Host) build() {
	settings := h.config.Settings
	h.catalogue = cataloguer.New(cataloguer.Config{Log: h.log, Meter: h.config.Meter})
	h.peers = peerconnector.New(peerconnector.Config{
		Self: func() codec.Member { return h.prober.Self() }, Listener: h.listeners.peer, Timer: h.timer, Meter: h.config.Meter,
		Log: h.log, DialTimeout: peerDialTimeout,
	})
	h.prober = prober.NewDriver(prober.DriverConfig{
		Self: codec.Member{
			ID: settings.HostID, Address: h.listeners.peer.Addr().String(), Zone: settings.Zone, Region: settings.Region,
			State: codec.MemberStateAlive,
		},
		SeedAddresses: settings.Seeds, Peers: h.peers, Timer: h.timer, Log: h.log, Rand: h.random("prober"), Timing: prober.QuickTiming,
		OnFlagged: func(proven, suspects []codec.FlaggedFingerprint) { h.dispatcher.ImportFlagged(proven, suspects) },
	})
	h.lister = lister.NewDriver(lister.DriverConfig{Timer: h.timer, Logger: h.log, Pushed: true, OnPublish: h.publishUpstreams})
	h.dispatcher = dispatcher.New(dispatcher.Config{
		Host: settings.HostID, Zone: settings.Zone, Region: settings.Region, Catalogue: h.catalogue, Upstreams: h.lister,
		Plain: h.config.Plain, Streams: h.config.Streams, Meter: h.config.Meter, Log: h.log, Timer: h.timer, Random: h.random("dispatcher"),
		Limiter:   limiterConfig,
		OnFlagged: func(proven, suspects []codec.FlaggedFingerprint) { h.prober.Flagged(proven, suspects) },
	})
	h.buildBatches()
	h.buildSpreaders()
	h.front = h.config.NewFront(Parts{
		Match: h.match, Plain: h.dispatcher, Streams: h.dispatcher, Batches: h.batcher, Catalogue: h.catalogue, Ready: h.ready, Log: h.log,
	})
	h.callers = newServer(h.front.Handler())
}

// ready reports whether the host knows the configuration and the upstreams.
func (h *Host) ready() bool {
	select {
	case <-h.lister.Ready():
		return h.catalogue.Ready()
	default:
		return false
	}
}

// match finds the route of a request in the catalogue in effect.
func (h *Host) match(host, path string) (entry codec.Entry, found, known bool) {
	m := h.currentMatcher()
	if m == nil {
		return codec.Entry{}, false, false
	}
	entry, found = m.Match(host, path)
	return entry, found, true
}

// currentMatcher makes a matcher for each new catalogue; requests that arrive together may make it twice.
func (h *Host) currentMatcher() *matcher.Matcher {
	catalogue := h.catalogue.Current()
	if catalogue.Revision == 0 {
		return nil
	}
	m := h.matcher.Load()
	if m == nil || m.Revision() != catalogue.Revision {
		m = matcher.New(catalogue)
		h.matcher.Store(m)
	}
	return m
}

// Run serves until stop ends, then drains and stops; a failed duty ends it with an error.
func (h *Host) Run(stop context.Context) error {
	restore := asserter.SetHandler(func(name asserter.Invariant, detail string) {
		h.log.Error(logger.InvariantFailed).Str("invariant", string(name)).Str("detail", detail).Send()
	})
	defer restore()
	ctx, cancel := context.WithCancel(context.WithoutCancel(stop))
	defer cancel()
	h.log.Info(logger.Started).Str("address", h.config.Settings.Listen).Str("peer_address", h.config.Settings.PeerListen).Send()
	duties := append(h.duties(), grouper.Duty{Name: "shutdown", Run: func(ctx context.Context) error {
		select {
		case <-stop.Done():
			return h.shutDown(ctx)
		case <-ctx.Done():
			return nil
		}
	}})
	err := grouper.Supervise(ctx, grouper.Config{}, grouper.Named(duties, h.logFailure)...)
	h.log.Info(logger.Stopped).Err(err).Send()
	return err
}

func (h *Host) logFailure(duty string, err error) {
	h.log.Error(logger.DutyFailed).Str("duty", duty).Err(err).Send()
}
