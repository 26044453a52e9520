package supervisor

import (
	"context"
	"errors"
	"fmt"
	"net/http"
	"os"
	"syscall"
	"time"

	"celerygap.example/lib/annotator"
	"celerygap.example/lib/asserter"
	"celerygap.example/lib/grouper"
	"celerygap.example/lib/identifier"
	"celerygap.example/lib/logger"
	"celerygap.example/lib/meter"
	"celerygap.example/lib/timer"
	"celerygap.example/service/acceptor"
	"celerygap.example/service/authenticator"
	"celerygap.example/service/configurer"
	"celerygap.example/service/connector"
	"celerygap.example/service/reserver"
	"celerygap.example/service/storeconnector"
)

const (
	// idleTimeout is how long a caller's connection without requests stays open.
	idleTimeout = 2 * time.Minute
	// bodyShare is the percentage of the memory that bodies of requests and messages of other hosts may take together.
	bodyShare = 40
	// leaveTimeout bounds the announcement of a planned stop to other hosts.
	leaveTimeout = 5 * time.Second
	// answerTimeout bounds the answers to requests that a planned stop ends.
	answerTimeout = 2 * time.Second
	// idlePoll is the interval of the check whether all requests have ended.
	idlePoll = 20 * time.Millisecond
)

// Config configures a host.
type Config struct {
	Settings configurer.Config
	Log      *logger.Logger
	// Store replaces the HTTP client of the platform's object API when it is set.
	Store connector.Store
}

// Host is one host of the service with all its parts; New builds it and Run runs it.
type Host struct {
	config   Config
	log      *logger.Logger
	timer    *timer.Service
	meter    *meter.Meter
	listener *acceptor.Listener
	peers    *acceptor.Listener
	// heads is the account of request heads, and of messages from connections whose other end is not known.
	heads *reserver.Account
	// memory is the account of bodies of requests, and of messages of other hosts.
	memory   *reserver.Account
	http     *http.Server
	identity identities
	parts    parts
}

type identities struct {
	caller *authenticator.Identity
	peer   *authenticator.Identity
}

// New listens on the configured addresses and builds the parts; nothing runs before Run.
func New(config Config) (*Host, error) {
	h := &Host{config: config, timer: timer.New(timer.Config{})}
	h.log = config.Log.With("host", string(config.Settings.HostID))
	if err := h.prepare(); err != nil {
		h.closeListeners()
		return nil, err
	}
	return h, nil
}

func (h *Host) prepare() error {
	var err error
	if h.meter, err = meter.New(); err != nil {
		return err
	}
	if err := h.loadIdentities(); err != nil {
		return err
	}
	if err := h.listen(); err != nil {
		return err
	}
	if err := h.meter.ObserveConnections(h.connections); err != nil {
		return err
	}
	store := h.config.Store
	if store == nil {
		if store, err = storeconnector.New(storeconnector.Config{BaseURL: h.config.Settings.StoreURL, Meter: h.meter}); err != nil {
			return annotator.Wrap("configure store", annotator.Peer(h.config.Settings.StoreURL), err)
		}
	}
	h.parts = h.build(store)
	h.http = acceptor.NewServer(h.listener, h.parts.server.Handler())
	return h.writeAddresses()
}

func (h *Host) loadIdentities() error {
	var err error
	settings := h.config.Settings
	if settings.CallerTLS.Enabled() {
		h.identity.caller, err = authenticator.Load(authenticator.Config{Files: settings.CallerTLS, Timer: h.timer, Log: h.log})
		if err != nil {
			return err
		}
	}
	if settings.PeerTLS.Enabled() {
		h.identity.peer, err = authenticator.Load(authenticator.Config{Files: settings.PeerTLS, Timer: h.timer, Log: h.log})
	}
	return err
}

func (h *Host) listen() error {
	settings := h.config.Settings
	memory, descriptors := settings.Memory, acceptor.MaxDescriptors()
	if memory == 0 {
		memory = machineMemory() / 2
	}
	if settings.Descriptors > 0 {
		descriptors = min(descriptors, settings.Descriptors)
	}
	shares := acceptor.Divide(descriptors, memory)
	h.heads = acceptor.NewHeadAccount(memory)
	h.memory = reserver.New(reserver.Config{Limit: memory * bodyShare / 100})
	callers := acceptor.Config{
		Name: acceptor.Callers, Address: h.config.Settings.Listen, Connections: shares.Callers, Heads: h.heads, Log: h.log, Meter: h.meter,
		Limits: func() acceptor.Limits { return acceptor.Limits{IdleTime: idleTimeout} },
	}
	if h.identity.caller != nil {
		callers.TLS = h.identity.caller.ServerConfig()
	}
	var err error
	if h.listener, err = acceptor.Listen(callers); err != nil {
		return err
	}
	h.memory.OnFull(h.listener.ShedSlowBody)
	h.peers, err = acceptor.Listen(acceptor.Config{
		Name: acceptor.Peers, Address: h.config.Settings.PeerListen, Connections: shares.Peers, Unframed: true, Log: h.log, Meter: h.meter,
	})
	return err
}

// machineMemory returns the memory of the machine, or 0 if it is not known.
func machineMemory() identifier.Bytes {
	var info syscall.Sysinfo_t
	if err := syscall.Sysinfo(&info); err != nil {
		return 0
	}
	return identifier.Bytes(info.Totalram) * identifier.Bytes(info.Unit)
}

// connections returns the number of connections by listener and state.
func (h *Host) connections() map[string]map[string]int64 {
	return map[string]map[string]int64{h.listener.Name(): h.listener.Counts(), h.peers.Name(): h.peers.Counts()}
}

func (h *Host) closeListeners() {
	for _, listener := range []*acceptor.Listener{h.listener, h.peers} {
		if listener != nil {
			_ = listener.Close()
		}
	}
}

// Address returns the address on which this host serves callers.
func (h *Host) Address() string { return h.listener.Addr().String() }

// PeerAddress returns the address that other hosts use.
func (h *Host) PeerAddress() string {
	if h.config.Settings.PeerAddress != "" {
		return h.config.Settings.PeerAddress
	}
	return h.peers.Addr().String()
}

func (h *Host) writeAddresses() error {
	path := h.config.Settings.AddressFile
	if path == "" {
		return nil
	}
	// Readers wait until the file exists, so the rename makes it appear with its complete content.
	text := fmt.Sprintf("%s\n%s\n", h.Address(), h.PeerAddress())
	if err := os.WriteFile(path+".new", []byte(text), 0o644); err != nil {
		return annotator.Wrap("write address file", "self", err)
	}
	return annotator.Wrap("write address file", "self", os.Rename(path+".new", path))
}

// Run serves until stop ends, then drains and returns. If a duty fails, Run returns its error.
func (h *Host) Run(stop context.Context) error {
	restore := asserter.SetHandler(func(name asserter.Invariant, detail string) {
		h.log.Error(logger.InvariantFailed).Str("invariant", string(name)).Str("detail", detail).Send()
	})
	defer restore()
	return h.Supervise(stop)
}

// Supervise does the same as Run but installs no handler for failed invariants: there is only one such handler in a process,
// which may run several hosts.
func (h *Host) Supervise(stop context.Context) error {
	ctx, cancel := context.WithCancel(context.WithoutCancel(stop))
	defer cancel()
	h.log.Info(logger.Started).Str("address", h.Address()).Str("peer_address", h.PeerAddress()).Send()
	duties := append(h.duties(),
		grouper.Duty{Name: "http", Run: h.serveHTTP},
		grouper.Duty{Name: "shutdown", Run: func(ctx context.Context) error {
			select {
			case <-stop.Done():
				return h.shutDown(ctx)
			case <-ctx.Done():
				return nil
			}
		}})
	err := grouper.Supervise(ctx, grouper.Config{LockThreads: h.config.Settings.LockDutyThreads}, grouper.Named(duties, h.logFailure)...)
	h.log.Info(logger.Stopped).Err(err).Send()
	_ = h.meter.Shutdown(context.WithoutCancel(stop))
	return err
}

func (h *Host) logFailure(duty string, err error) {
	h.log.Error(logger.DutyFailed).Str("duty", duty).Err(err).Send()
}

func (h *Host) serveHTTP(ctx context.Context) error {
	stopped := make(chan struct{})
	defer close(stopped)
	group := grouper.NewGroup(-1)
	group.Go(func() {
		select {
		case <-ctx.Done():
			_ = h.http.Close()
		case <-stopped:
		}
	})
	err := h.http.Serve(h.listener)
	if errors.Is(err, http.ErrServerClosed) {
		<-ctx.Done()
		return nil
	}
	return err
}

// shutDown executes a planned stop (section 5.14 of docs/design.md): readiness goes off, the load balancer gets DrainWait
// to stop sending requests, other hosts take over the work of this one, running requests finish, and the other hosts learn
// that this one leaves. Its return ends the other duties.
func (h *Host) shutDown(ctx context.Context) error {
	settings := h.config.Settings
	h.log.Info(logger.Draining).Send()
	answersEnd := time.Now().Add(settings.DrainWait + settings.DrainTimeout)
	h.parts.server.Drain(answersEnd)
	h.sleep(ctx, settings.DrainWait)

	drainCtx, cancel := context.WithDeadline(ctx, answersEnd)
	defer cancel()
	h.parts.updater.Drain()
	h.parts.permitter.Drain()
	h.logStep(h.parts.scheduler.HandOver(drainCtx))
	h.parts.server.Refuse()
	h.logStep(h.http.Shutdown(drainCtx))
	ticks, stopTicks := h.timer.Subscribe(idlePoll)
	defer stopTicks()
	h.logStep(h.parts.server.WaitIdle(drainCtx, ticks))
	h.parts.server.End()
	h.sendAnswers(ctx)
	h.logStep(h.parts.dispatcher.Drain(drainCtx))

	leaveCtx, cancelLeave := context.WithTimeout(ctx, leaveTimeout)
	defer cancelLeave()
	h.logStep(h.parts.prober.Leave(leaveCtx))
	return nil
}

// sendAnswers waits until the requests that were ended have their answers.
func (h *Host) sendAnswers(ctx context.Context) {
	ctx, cancel := context.WithTimeout(ctx, answerTimeout)
	defer cancel()
	h.logStep(h.http.Shutdown(ctx))
}

// logStep logs the error of a step of the stop; the stop continues with the next step.
func (h *Host) logStep(err error) {
	if err != nil {
		h.log.Warn(logger.Draining).Err(err).Send()
	}
}

func (h *Host) sleep(ctx context.Context, wait time.Duration) {
	if wait <= 0 {
		return
	}
	ticks, cancel := h.timer.Subscribe(wait)
	defer cancel()
	select {
	case <-ticks:
	case <-ctx.Done():
	}
}
