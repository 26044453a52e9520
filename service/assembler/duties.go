package assembler

import (
	"context"
	"errors"
	"net"
	"net/http"
	"slices"
	"time"

	"celerygap.example/lib/codec"
	"celerygap.example/lib/grouper"
	"celerygap.example/lib/identifier"
	"celerygap.example/lib/logger"
	"celerygap.example/service/acceptor"
	"celerygap.example/service/batcher"
	"celerygap.example/service/batchkeeper"
	"celerygap.example/service/connector"
	"celerygap.example/service/elector"
	"celerygap.example/service/follower"
	"celerygap.example/service/historian"
	"celerygap.example/service/limiter"
	"celerygap.example/service/lister"
	"celerygap.example/service/placer"
	"celerygap.example/service/relayer"
	"celerygap.example/service/retirer"
	"celerygap.example/service/scaler"
	"celerygap.example/service/spreader"
)

const (
	// peerDialTimeout bounds the opening of a connection to another host.
	peerDialTimeout = 400 * time.Millisecond
	// upstreamPause is the least time between two watches of the upstreams' entries, so that changes of several engines,
	// such as loads of weights, cost one call to the store. It is short because an engine that leaves must be known within
	// about two seconds.
	upstreamPause = 500 * time.Millisecond
	// versionPause is the least time between two watches of the versions that trainers announce, so that versions announced
	// together cost one call.
	versionPause = 100 * time.Millisecond
	// stopReserve is the part of StopGrace that the drain leaves for ending the duties.
	stopReserve = 700 * time.Millisecond
	// answerReserve is the part of the drain that is left for the answers to requests that have not ended by themselves.
	answerReserve = 300 * time.Millisecond
	// leaveTimeout bounds the announcement of a planned stop to other hosts.
	leaveTimeout = 300 * time.Millisecond
)

// limiterConfig permits retries of half of the requests plus 50. The platform itself bounds the attempts of each request,
// and a smaller budget would refuse requests when a few engines are lost at the same time.
var limiterConfig = limiter.Config{RetryFraction: 0.5, RetryFloor: 50}

func (h *Host) buildBatcherAndPlacer(upstreams Upstreams) {
	settings := h.config.Settings
	h.batcher = batcher.NewDriver(batcher.DriverConfig{
		Self: h.prober.Self(), Incarnation: identifier.Incarnation(h.timer.Now().UnixMilli()), Keeper: batchkeeper.New(h.relayedStore()),
		Runner: upstreams.Runner, Rewards: h.dispatcher, MakeReward: h.config.Platform.MakeReward, Score: h.config.Platform.Score,
		Routes: h.routes, Catalogue: h.catalogue, Upstreams: h.lister, Pacer: h.pacer, Members: h.prober, MembersChanged: h.prober.Changes(), Peers: h.peers,
		Timer: h.timer, Log: h.log, Meter: h.config.Meter, Memory: h.config.Memory, KeepResults: settings.KeepResults, ResultsSettle: settings.ResultsSettle,
		Settled: h.settled, FirstStart: settings.FirstStart,
	})
	h.placer = placer.NewDriver(placer.DriverConfig{
		Store: h.config.Store, Orders: upstreams.Orders, Members: h.prober, Peers: h.peers, Fenced: settings.Fenced, Timer: h.timer, Log: h.log,
		LeaseDuration: settings.LeaseDuration, FollowVersions: h.followVersions, Settled: h.settled,
		Substitute: h.tunneler.Substitute, CheckPath: h.checkPath, Meter: h.config.Meter,
	})
	h.buildScaler()
	h.buildDemand()
}

// buildSpreaders builds the drivers that keep this host's copies of the configuration and of the upstreams' entries current.
func (h *Host) buildSpreaders() {
	h.configuration = spreader.NewDriver(spreader.DriverConfig{
		Follower: follower.Config{Store: h.config.Store, Prefix: h.config.Platform.ConfigurationKind, Log: h.log},
		Members:  h.prober, Peers: h.peers, Settled: h.settled, Timer: h.timer, Log: h.log, OnUpdate: h.applyConfiguration,
		ConfirmAlways: h.keysRequired,
	})
	h.upstreams = spreader.NewDriver(spreader.DriverConfig{
		Follower: follower.Config{
			Store: h.config.Store, Prefix: h.config.Platform.UpstreamKind, Hold: h.config.Settings.OutageGrace, Pause: upstreamPause, Log: h.log,
		},
		Members: h.prober, Peers: h.peers, Settled: h.settled, Timer: h.timer, Log: h.log, OnUpdate: h.applyUpstreams,
	})
}

// checkPath opens a connection to an upstream, through other hosts if it must, so that the tunneler learns whether only this
// host's path is broken.
func (h *Host) checkPath(ctx context.Context, upstream connector.Upstream) {
	if conn, err := h.tunneler.Dial(ctx, "tcp", upstream.Address); err == nil {
		_ = conn.Close()
	}
}

// newRetirer returns the retirer, which is active on one host of the fleet.
func (h *Host) newRetirer() *retirer.Retirer {
	platform := h.config.Platform
	return retirer.New(retirer.Config{
		Store: h.config.Store, Prefix: platform.RetirementKind, Done: platform.Emptied, Timer: h.timer, Log: h.log,
		Elected: func() bool {
			first, ok := elector.Choose(platform.RetirementKind, h.prober.Live())
			return h.settled() && ok && first.ID == h.config.Settings.HostID
		},
	})
}

// relayedStore returns a store client that falls back on other hosts while this host cannot reach the store. The lease and
// the followers use only this host's direct path.
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
		{Name: "demand", Run: h.demand.Run},
		{Name: "pacer", Run: h.pacer.Run},
		{Name: "binder", Run: h.binder.Run},
		{Name: "historian", Run: h.historian.Run},
		{Name: "configuration", Run: h.configuration.Run},
		{Name: "upstreams", Run: h.upstreams.Run},
		{Name: "retirer", Run: h.newRetirer().Run},
		serve("callers", h.listeners.caller, h.callers),
		serve("readiness", h.listeners.ready, acceptor.NewServer(h.listeners.ready, h.front.ReadyHandler())),
	}
	if h.listeners.metrics != nil {
		duties = append(duties, serve("metrics", h.listeners.metrics, acceptor.NewServer(h.listeners.metrics, h.config.Meter.Handler())))
	}
	if h.scaler != nil {
		duties = append(duties, grouper.Duty{Name: "scaler", Run: h.scaler.Run})
	}
	return append(append(duties, h.singletonDuties()...), h.lister.Duties()...)
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

// applyConfiguration puts the configuration in effect if it is readable and new.
func (h *Host) applyConfiguration(update follower.Update) {
	object, ok := update.Objects[h.config.Platform.ConfigurationKey]
	if !ok {
		return
	}
	catalogue, err := h.config.Platform.Catalogue(object)
	if err != nil {
		h.log.Error(logger.CatalogueRejected).Int64("object_version", object.Version).Err(err).Msg("the last readable configuration stays in effect")
		return
	}
	if !h.catalogue.Apply(catalogue) {
		return
	}
	h.placer.Handle(placer.PoolsChanged{Pools: catalogue.Pools, FinishRuns: finishRuns(catalogue)})
	if h.scaler != nil {
		h.scaler.Handle(scaler.PoolsChanged{Pools: catalogue.Pools})
	}
}

// finishRuns returns the models whose running requests must end under the version with which they began: those of the pools
// that serve batch jobs whose texts must have a single version.
func finishRuns(catalogue *codec.Catalogue) map[identifier.ModelName]bool {
	pools := make(map[identifier.PoolName]bool)
	for _, entry := range catalogue.Entries {
		if entry.Batch == nil || !entry.Batch.SingleVersion || entry.Route == nil {
			continue
		}
		for _, share := range entry.Route.Pools {
			pools[share.Pool] = pools[share.Pool] || share.Weight > 0
		}
	}
	models := make(map[identifier.ModelName]bool)
	for _, pool := range catalogue.Pools {
		for _, model := range pool.Models {
			if pools[pool.Name] {
				models[model] = true
			}
		}
	}
	return models
}

// applyUpstreams decodes the changed entries of upstreams and passes all readable ones to the lister.
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
	versions := make(historian.Versions)
	for _, host := range hosts {
		if !slices.Contains(versions[host.Pool], host.Software) {
			versions[host.Pool] = append(versions[host.Pool], host.Software)
		}
	}
	h.historian.Observe(versions)
	h.lister.Accept(codec.HostList{Revision: update.Sequence, Hosts: hosts})
}

// decodedEntry is an upstream's entry, decoded from a version of its object.
type decodedEntry struct {
	version  int64
	host     codec.ListedHost
	readable bool
}

// publishUpstreams passes the usable upstreams to the parts that place work on engines.
func (h *Host) publishUpstreams(published lister.Publish) {
	h.batcher.EnginesChanged(published.Listed)
	h.placer.Handle(placer.EnginesChanged{Engines: published.Listed})
	if h.scaler != nil {
		h.scaler.Handle(scaler.EnginesChanged{Engines: published.Listed})
	}
}

// followVersions follows the announced versions until ctx ends. It calls announced for each version that is higher than the
// model's previous one, and listed after each update.
func (h *Host) followVersions(ctx context.Context, announced func(identifier.ModelName, identifier.WeightVersion), listed func()) {
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
				announced(model, version)
			}
			listed()
		},
	}).Run(ctx)
}

// shutDown executes a planned stop: readiness goes off, other hosts take over the batch jobs and the lease and learn that
// this one leaves, the load balancer gets DrainWait to stop sending requests, and running requests finish. Its return ends
// the other duties.
func (h *Host) shutDown(ctx context.Context) error {
	settings := h.config.Settings
	h.log.Info(logger.Draining).Send()
	drainEnds := time.Now().Add(max(settings.StopGrace-stopReserve, settings.DrainWait))
	drainCtx, cancel := context.WithDeadline(ctx, drainEnds)
	defer cancel()
	answersEnd := drainEnds.Add(-answerReserve)
	answerCtx, cancelAnswers := context.WithDeadline(drainCtx, answersEnd)
	defer cancelAnswers()
	h.front.Drain(answersEnd)
	h.tunneler.Refuse()
	waitEnds := time.Now().Add(settings.DrainWait)
	h.logStep("hand over batch jobs", h.batcher.HandOver(answerCtx))
	h.logStep("release lease", h.placer.Drain(answerCtx))
	h.logStep("release duties", h.releaseDuties(answerCtx))
	leaveCtx, cancelLeave := context.WithTimeout(drainCtx, leaveTimeout)
	h.logStep("leave", h.prober.Leave(leaveCtx))
	cancelLeave()
	h.logStep("pass on origins of streams", h.binder.HandOver(drainCtx))
	h.sleep(answerCtx, time.Until(waitEnds))
	h.front.Refuse()
	// Shutdown also waits for requests whose header is still being read, which InFlight does not count.
	h.logStep("finish connections", h.callers.Shutdown(answerCtx))
	h.logStep("finish requests", h.finishRequests(answerCtx))
	h.logStep("pass on origins of streams", h.binder.HandOver(drainCtx))
	h.endRequests(ctx)
	h.logStep("send last counts", h.sendLastCounts(drainCtx))
	h.logStep("finish tunnels", h.tunneler.Wait(drainCtx))
	return nil
}

// endRequests ends the requests that are still being served and waits until their answers are sent. The time for that begins now, since
// the stop may have been held up.
func (h *Host) endRequests(ctx context.Context) {
	ctx, cancel := context.WithTimeout(ctx, answerReserve)
	defer cancel()
	h.front.End()
	h.logStep("end requests", h.finishRequests(ctx))
	// A handler ends before its response is sent.
	h.logStep("send answers", h.callers.Shutdown(ctx))
}

// finishRequests waits until no request is being served; idle connections of callers do not count.
func (h *Host) finishRequests(ctx context.Context) error {
	ticks, stop := h.timer.Subscribe(inFlightPollInterval)
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

// logStep logs the error of a step of the stop; the stop continues with the next step.
func (h *Host) logStep(name string, err error) {
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
