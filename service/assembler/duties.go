package assembler

import (
	"context"
	"errors"
	"net"
	"net/http"
	"time"

	"celerygap.example/lib/codec"
	"celerygap.example/lib/grouper"
	"celerygap.example/lib/identifier"
	"celerygap.example/lib/logger"
	"celerygap.example/service/batcher"
	"celerygap.example/service/batchkeeper"
	"celerygap.example/service/connector"
	"celerygap.example/service/follower"
	"celerygap.example/service/limiter"
	"celerygap.example/service/lister"
	"celerygap.example/service/placer"
	"celerygap.example/service/relayer"
	"celerygap.example/service/spreader"
)

const (
	// peerDialTimeout bounds the opening of a connection to another host.
	peerDialTimeout = 400 * time.Millisecond
	// upstreamPause gathers the changes of several engines, such as loads of weights, into one call to the store; an
	// engine that leaves must be known within about two seconds.
	upstreamPause = 500 * time.Millisecond
	// versionPause gathers the versions that trainers name.
	versionPause = 100 * time.Millisecond
	// stopReserve is the part of the grace for a stop that is left for its last steps.
	stopReserve = 700 * time.Millisecond
	// leaveTimeout bounds the announcement of a stop to other hosts.
	leaveTimeout = 300 * time.Millisecond
)

// limiterConfig lets half of the requests be repeated: the platform bounds the attempts of each request itself, and a
// smaller budget refuses requests when a few engines are lost at once.
var limiterConfig = limiter.Config{RetryPart: 0.5, RetryFloor: 50}

func (h *Host) buildBatches() {
	settings := h.config.Settings
	h.batcher = batcher.NewDriver(batcher.DriverConfig{
		Self: h.prober.Self(), Incarnation: identifier.Incarnation(h.timer.Now().UnixMilli()), Keeper: batchkeeper.New(h.relayedStore()),
		Runner: h.config.Runner, Rewards: h.dispatcher, MakeReward: h.config.Platform.MakeReward, Score: h.config.Platform.Score,
		Match: func(host, path string) (codec.Entry, bool) {
			entry, found, _ := h.match(host, path)
			return entry, found
		},
		Catalogue: h.catalogue, Upstreams: h.lister, Members: h.prober, MembersChanged: h.prober.Changes(), Peers: h.peers,
		Timer: h.timer, Log: h.log, KeepResults: settings.KeepResults,
	})
	h.placer = placer.NewDriver(placer.DriverConfig{
		Store: h.config.Store, Orders: h.config.Orders, Members: h.prober, Peers: h.peers, Fenced: settings.Fenced, Timer: h.timer, Log: h.log,
		LeaseDuration: settings.LeaseDuration, FollowVersions: h.followVersions,
	})
}

// buildSpreaders makes the copies of the configuration and of the upstreams' entries.
func (h *Host) buildSpreaders() {
	h.configuration = spreader.NewDriver(spreader.DriverConfig{
		Follower: follower.Config{Store: h.config.Store, Prefix: h.config.Platform.ConfigurationKind, Log: h.log},
		Members:  h.prober, Peers: h.peers, Timer: h.timer, Log: h.log, OnUpdate: h.applyConfiguration,
	})
	h.upstreams = spreader.NewDriver(spreader.DriverConfig{
		Follower: follower.Config{
			Store: h.config.Store, Prefix: h.config.Platform.UpstreamKind, Hold: h.config.Settings.ReturnTime, Pause: upstreamPause, Log: h.log,
		},
		Members: h.prober, Peers: h.peers, Timer: h.timer, Log: h.log, OnUpdate: h.applyUpstreams,
	})
}

// relayedStore also reaches the store through other hosts; the lease and the followers use the own path only.
func (h *Host) relayedStore() connector.ObjectStore {
	return relayer.New(relayer.Config{Store: h.config.Store, Members: h.prober, Peers: h.peers, Log: h.log})
}

func (h *Host) duties() []grouper.Duty {
	duties := []grouper.Duty{
		{Name: "timer", Run: h.timer.Run},
		{Name: "peers", Run: h.peers.Run},
		{Name: "prober", Run: h.prober.Run},
		{Name: "dispatcher", Run: h.dispatcher.Run},
		{Name: "batcher", Run: h.batcher.Run},
		{Name: "placer", Run: h.placer.Run},
		{Name: "configuration", Run: h.configuration.Run},
		{Name: "upstreams", Run: h.upstreams.Run},
		serve("callers", h.listeners.caller, h.callers),
		serve("readiness", h.listeners.ready, newServer(h.front.ReadyHandler())),
	}
	if h.listeners.metrics != nil {
		duties = append(duties, serve("metrics", h.listeners.metrics, newServer(h.config.Meter.Handler())))
	}
	return append(duties, h.lister.Duties()...)
}

func newServer(handler http.Handler) *http.Server {
	return &http.Server{Handler: handler, ReadHeaderTimeout: headerTimeout, IdleTimeout: idleTimeout, MaxHeaderBytes: maxHeaderBytes}
}

// serve returns the duty of one HTTP server.
func serve(name string, listener net.Listener, server *http.Server) grouper.Duty {
	return grouper.Duty{Name: "http " + name, Run: func(ctx context.Context) error {
		release := context.AfterFunc(ctx, func() { _ = server.Close() })
		defer release()
		err := server.Serve(listener)
		if errors.Is(err, http.ErrServerClosed) {
			<-ctx.Done()
			return nil
		}
		return err
	}}
}

func (h *Host) applyConfiguration(update follower.Update) {
	object, ok := update.Objects[h.config.Platform.ConfigurationKey]
	if !ok {
		return
	}
	catalogue, err := h.config.Platform.Catalogue(object)
	if err != nil {
		h.log.Error(logger.CatalogueRejected).Int64("object_version", object.Version).Err(err).Msg("the last readable configuration stays in force")
		return
	}
	if !h.catalogue.Apply(catalogue) {
		return
	}
	finish := make(map[identifier.ModelName]bool)
	for _, entry := range catalogue.Entries {
		if entry.Batch == nil || !entry.Batch.SingleVersion {
			continue
		}
		for _, pool := range catalogue.Pools {
			for _, model := range pool.Models {
				finish[model] = true
			}
		}
	}
	h.placer.Handle(placer.PoolsChanged{Pools: catalogue.Pools, FinishRuns: finish})
}

func (h *Host) applyUpstreams(update follower.Update) {
	next := make(map[string]decodedEntry, len(update.Objects))
	hosts := make([]codec.ListedHost, 0, len(update.Objects))
	for key, object := range update.Objects {
		entry, ok := h.decoded[key]
		if !ok || entry.version != object.Version {
			host, err := h.config.Platform.Upstream(object)
			entry = decodedEntry{version: object.Version, host: host, readable: err == nil}
			if err != nil {
				h.log.Warn(logger.UpstreamUnreadable).Err(err).Send()
			}
		}
		next[key] = entry
		if entry.readable {
			hosts = append(hosts, entry.host)
		}
	}
	h.decoded = next
	h.lister.Accept(codec.HostList{Revision: update.Sequence, Hosts: hosts})
}

// decodedEntry is an upstream's entry at a version of its object.
type decodedEntry struct {
	version  int64
	host     codec.ListedHost
	readable bool
}

// publishUpstreams passes the usable upstreams on to the parts that place work on engines.
func (h *Host) publishUpstreams(published lister.Publish) {
	h.batcher.EnginesChanged(published.Listed)
	h.placer.Handle(placer.EnginesChanged{Engines: published.Listed})
}

func (h *Host) followVersions(ctx context.Context, named func(identifier.ModelName, identifier.WeightVersion), listed func()) {
	known := make(map[identifier.ModelName]identifier.WeightVersion)
	_ = follower.New(follower.Config{
		Store: h.config.Store, Prefix: h.config.Platform.VersionKind, Pause: versionPause, Log: h.log,
		OnUpdate: func(update follower.Update) {
			for _, object := range update.Objects {
				model, version, err := h.config.Platform.Version(object)
				if err != nil {
					h.log.Warn(logger.UpstreamUnreadable).Err(err).Send()
					continue
				}
				if version <= known[model] {
					continue
				}
				known[model] = version
				h.log.Info(logger.WeightsAnnounced).Str("model", string(model)).Int64("version", int64(version)).Send()
				named(model, version)
			}
			listed()
		},
	}).Run(ctx)
}

// shutDown is the planned stop: readiness goes off, batch jobs and the lease go to other hosts, the load balancer gets
// its time, and running requests end.
func (h *Host) shutDown(ctx context.Context) error {
	settings := h.config.Settings
	h.log.Info(logger.Draining).Send()
	ends := time.Now().Add(max(settings.StopGrace-stopReserve, settings.DrainWait))
	drainCtx, cancel := context.WithDeadline(ctx, ends)
	defer cancel()
	h.front.Drain()
	balanced := time.Now().Add(settings.DrainWait)
	h.step("hand over batch jobs", h.batcher.HandOver(drainCtx))
	h.step("release lease", h.placer.Drain(drainCtx))
	leaveCtx, cancelLeave := context.WithTimeout(drainCtx, leaveTimeout)
	h.step("leave", h.prober.Leave(leaveCtx))
	cancelLeave()
	h.sleep(drainCtx, time.Until(balanced))
	// Shutdown also waits for a request whose header is still being read; the count of running requests misses it.
	h.step("finish connections", h.callers.Shutdown(drainCtx))
	h.step("finish requests", h.finishRequests(drainCtx))
	return nil
}

// finishRequests waits until no request is being served; connections that callers keep open without one don't count.
func (h *Host) finishRequests(ctx context.Context) error {
	ticks, stop := h.timer.Subscribe(idlePoll)
	defer stop()
	for h.front.InFlight() > 0 {
		select {
		case <-ctx.Done():
			return ctx.Err()
		case <-ticks:
		}
	}
	return nil
}

func (h *Host) step(name string, err error) {
	if err != nil {
		h.log.Warn(logger.Draining).Str("step", name).Err(err).Send()
	}
}

func (h *Host) sleep(ctx context.Context, wait time.Duration) {
	if wait <= 0 {
		return
	}
	pause := time.NewTimer(wait)
	defer pause.Stop()
	select {
	case <-ctx.Done():
	case <-pause.C:
	}
}
