package supervisor

import (
	"context"
	"crypto/tls"
	"math/rand/v2"
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"

	"celerygap.example/lib/codec"
	"celerygap.example/lib/grouper"
	"celerygap.example/lib/identifier"
	"celerygap.example/service/connector"
	"celerygap.example/service/dispatcher"
	"celerygap.example/service/disseminator"
	"celerygap.example/service/editor"
	"celerygap.example/service/engineconnector"
	"celerygap.example/service/lister"
	"celerygap.example/service/peerconnector"
	"celerygap.example/service/permitter"
	"celerygap.example/service/plainconnector"
	"celerygap.example/service/presenter"
	"celerygap.example/service/prober"
	"celerygap.example/service/scheduler"
	"celerygap.example/service/server"
	"celerygap.example/service/updater"
)

// shownPrecision is the precision of durations on the shared screens.
const shownPrecision = 100 * time.Millisecond

// parts holds the components of one host.
type parts struct {
	peers        *peerconnector.Connector
	lister       *lister.Driver
	prober       *prober.Driver
	disseminator *disseminator.Driver
	permitter    *permitter.Permitter
	dispatcher   *dispatcher.Dispatcher
	updater      *updater.Updater
	scheduler    *scheduler.Driver
	presenter    *presenter.Presenter
	server       *server.Server
}

// ready reports whether the host knows the catalogue and the upstreams.
func (p *parts) ready() bool {
	select {
	case <-p.lister.Ready():
		return p.disseminator.Ready()
	default:
		return false
	}
}

// random returns a random number generator for one part, seeded with the host's id, the part's name and the current time.
func (h *Host) random(part string) *rand.Rand {
	return rand.New(rand.NewPCG(xxhash.Sum64String(string(h.config.Settings.HostID)+"/"+part), uint64(h.timer.Now().UnixNano())))
}

// build creates all parts. The functions passed to a part may use parts that are created later, because nothing runs
// before Run.
func (h *Host) build(store connector.Store) parts {
	var p parts
	p.peers = peerconnector.New(peerconnector.Config{
		Self: func() codec.Member { return p.prober.Self() }, Listener: h.peers, TLS: h.peerTLS(),
		Timer: h.timer, Meter: h.meter, Log: h.log, Memory: h.memory, Unknown: h.heads,
	})
	p.prober = h.buildProber(&p)
	p.lister = lister.NewDriver(lister.DriverConfig{Store: store, Timer: h.timer, Log: h.log, Peers: p.peers, Members: p.prober})
	p.disseminator = disseminator.NewDriver(disseminator.DriverConfig{
		Self: p.prober.Self(), Members: p.prober, MembersChanged: p.prober.Changes(), Peers: p.peers, Store: store,
		Timer: h.timer, Meter: h.meter, Log: h.log, Rand: h.random("disseminator"),
	})
	p.permitter = permitter.New(permitter.Config{
		Store: store, Members: p.prober, Peers: p.peers, Timer: h.timer, Log: h.log, Meter: h.meter, Rand: h.random("permitter"),
	})
	h.buildWork(&p, store)
	p.presenter = presenter.New(presenter.Config{
		Store: store, Peers: p.peers, Members: p.prober, Catalogue: p.disseminator, Status: func() codec.HostStatus { return h.status(&p) },
		Timer: h.timer, Log: h.log, Period: h.config.Settings.ScreenBuildPeriod,
	})
	p.server = server.New(server.Config{
		Generator: p.dispatcher, Plain: p.dispatcher, Rollouts: p.scheduler, Versions: p.updater, Catalogue: p.disseminator,
		Members: p.prober, Edits: editor.New(editor.Config{Store: store, Now: h.timer.Now, Log: h.log}), Screens: p.presenter,
		Fleet: p.disseminator, Ready: p.ready, Meter: h.meter, Log: h.log, BodyLimit: h.config.Settings.BodyLimit, Memory: h.memory,
	})
	return p
}

func (h *Host) peerTLS() *tls.Config {
	identity := h.identity.peer
	if identity == nil {
		return nil
	}
	// One configuration serves both directions: servers replace it by the result of GetConfigForClient, which clients ignore.
	config := identity.ClientConfig()
	config.GetConfigForClient = identity.ServerConfig().GetConfigForClient
	return config
}

func (h *Host) buildProber(p *parts) *prober.Driver {
	settings := h.config.Settings
	return prober.NewDriver(prober.DriverConfig{
		Self: codec.Member{
			ID: settings.HostID, Address: h.PeerAddress(), Zone: settings.Zone, Region: settings.Region,
			State: codec.MemberStateAlive, HasDisk: settings.DataFolder != "",
		},
		SeedAddresses: settings.Seeds,
		Seeds: func(context.Context) ([]prober.ListedMember, error) {
			return prober.FromList(codec.HostList{Hosts: p.lister.Seeds()}, lister.CelerygapPool), nil
		},
		Peers: p.peers, Timer: h.timer, Log: h.log, Rand: h.random("prober"),
		OnFlagged: func(proven, suspects []codec.FlaggedFingerprint) { p.dispatcher.ImportFlagged(proven, suspects) },
		Revision:  func() identifier.Revision { return p.disseminator.Current().Revision },
		OnRevision: func(from codec.Member, revision identifier.Revision) {
			p.disseminator.RevisionReported(from, revision)
		},
	})
}

// buildWork creates the parts that run requests and rollouts and send orders to engines.
func (h *Host) buildWork(p *parts, store connector.Store) {
	settings := h.config.Settings
	engines := engineconnector.New(engineconnector.Config{})
	p.dispatcher = dispatcher.New(dispatcher.Config{
		Host: settings.HostID, Zone: settings.Zone, Region: settings.Region, Catalogue: p.disseminator, Upstreams: p.lister,
		Engines: engines, Plain: plainconnector.New(plainconnector.Config{}), Permits: p.permitter, Meter: h.meter, Log: h.log,
		Timer: h.timer, Random: h.random("dispatcher"),
		OnFlagged: func(proven, suspects []codec.FlaggedFingerprint) { p.prober.Flagged(proven, suspects) },
	})
	p.updater = updater.New(updater.Config{
		Store: store, Members: p.prober, Peers: p.peers, Catalogue: p.disseminator, Upstreams: p.lister, Engines: engines,
		Timer: h.timer, Log: h.log, Rand: h.random("updater"), Shards: settings.OrderShards,
	})
	config := scheduler.DefaultConfig(h.random("scheduler"))
	config.MaxRunning = settings.GenerationLimit
	p.scheduler = scheduler.NewDriver(scheduler.DriverConfig{
		Scheduler: config, Generator: p.dispatcher, Scorer: p.dispatcher, Store: store, Members: p.prober, Peers: p.peers,
		Catalogue: p.disseminator, Weights: p.updater, Timer: h.timer, Log: h.log, Meter: h.meter,
	})
}

// status returns this host's part of the snapshots that the screens show.
func (h *Host) status(p *parts) codec.HostStatus {
	work := p.dispatcher.Status()
	trainers := slices.Clone(p.scheduler.Status())
	for i := range trainers {
		trainers[i].Idle = identifier.Duration(trainers[i].Idle.Std().Round(shownPrecision))
	}
	return codec.HostStatus{
		Member: p.prober.Self(), Revision: p.disseminator.Current().Revision, Ready: p.ready(),
		Requests: work.Requests, InFlight: work.InFlight, Trainers: trainers, Upstreams: work.Upstreams,
		Refusals: work.Refusals, Retries: work.Retries, Demand: work.Demand,
	}
}

func (h *Host) duties() []grouper.Duty {
	p := &h.parts
	duties := []grouper.Duty{
		{Name: "timer", Run: h.timer.Run},
		{Name: "peers", Run: p.peers.Run},
		{Name: "prober", Run: p.prober.Run},
		{Name: "disseminator", Run: p.disseminator.Run},
		{Name: "dispatcher", Run: p.dispatcher.Run},
		{Name: "scheduler", Run: p.scheduler.Run},
		{Name: "presenter", Run: p.presenter.Run},
		{Name: "shares", Run: h.shareLimits},
	}
	duties = append(duties, p.lister.Duties()...)
	duties = append(duties, p.permitter.Duties()...)
	duties = append(duties, p.updater.Duties()...)
	if h.identity.caller != nil {
		duties = append(duties, grouper.Duty{Name: "caller-tls", Run: h.identity.caller.Run})
	}
	if h.identity.peer != nil {
		duties = append(duties, grouper.Duty{Name: "peer-tls", Run: h.identity.peer.Run})
	}
	return duties
}
