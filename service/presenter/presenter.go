package presenter

import (
	"context"
	"encoding/json"
	"errors"
	"sync"
	"sync/atomic"
	"time"

	"celerygap.example/lib/annotator"
	"celerygap.example/lib/buffer"
	"celerygap.example/lib/codec"
	"celerygap.example/lib/grouper"
	"celerygap.example/lib/identifier"
	"celerygap.example/lib/logger"
	"celerygap.example/lib/timer"
	"celerygap.example/service/connector"
	"celerygap.example/service/server"
)

const (
	methodStatus   = "push_status"
	methodSnapshot = "push_snapshot"
	// epochKey is the key of the store object in which each builder claims an epoch of its own.
	epochKey = "screens/epoch"
	// eventCapacity bounds the events that wait to be handled; events beyond it are dropped.
	eventCapacity = 1024
	// maxCalls bounds the concurrent calls to other hosts and claims in the store.
	maxCalls = 16
	// callTimeout bounds a call to another host or to the store.
	callTimeout = 2 * time.Second
	// overdueAge is the age of the shown snapshot above which a warning is logged that the next one is overdue.
	overdueAge = 5 * time.Second
)

// epochValue is the value of the store object under epochKey.
type epochValue struct {
	Epoch   int64             `json:"epoch"`
	Builder identifier.HostID `json:"builder"`
}

// Config configures a presenter.
type Config struct {
	Store     connector.Store
	Peers     connector.Peers
	Members   connector.Members
	Catalogue connector.Catalogue
	// Status returns this host's own status for the next snapshot.
	Status func() codec.HostStatus
	Timer  *timer.Service
	Log    *logger.Logger
	// Period is the time between two snapshots.
	Period time.Duration
}

// Presenter is the driver of Machine and serves the snapshot that this host shows.
type Presenter struct {
	config   Config
	machine  *Machine
	events   *buffer.Ring[Event]
	calls    *grouper.Group
	schedule atomic.Pointer[[]codec.Snapshot]

	mu   sync.Mutex
	last *codec.Snapshot
	// viewedAt is the latest time passed to View. A tick that was sent before a pause of the process carries an older time
	// than the requests that were served in between, and must not make the view show an older snapshot.
	viewedAt time.Time
}

// New returns a presenter and registers its handlers.
func New(config Config) *Presenter {
	p := &Presenter{
		config:  config,
		machine: NewMachine(MachineConfig{Self: config.Members.Self().ID, Period: config.Period}),
		events:  buffer.New[Event](eventCapacity),
		calls:   grouper.NewGroup(maxCalls),
	}
	p.schedule.Store(&[]codec.Snapshot{})
	config.Peers.Handle(methodStatus, p.handleStatus)
	config.Peers.Handle(methodSnapshot, p.handleSnapshot)
	return p
}

// View returns what a screen shows at the given time, or at the latest time passed to an earlier call if that is later.
func (p *Presenter) View(now time.Time) server.View {
	p.mu.Lock()
	defer p.mu.Unlock()
	if now.Before(p.viewedAt) {
		now = p.viewedAt
	}
	p.viewedAt = now
	shown, pending := selectShown(*p.schedule.Load(), now)
	if shown == nil || !checkOrder(p.last, shown) {
		shown = p.last
	}
	p.last = shown
	view := server.View{Now: now, Shown: shown, Pending: pending}
	if shown != nil {
		view.AgeMS = now.Sub(shown.BuiltAt).Milliseconds()
	}
	return view
}

// Run builds, sends and receives snapshots until the context ends.
func (p *Presenter) Run(ctx context.Context) error {
	defer p.calls.Wait()
	ticks, cancel := p.config.Timer.Subscribe(p.config.Period)
	defer cancel()
	for {
		select {
		case <-ctx.Done():
			return nil
		case event := <-p.events.Items():
			p.execute(ctx, p.machine.Handle(p.config.Timer.Now(), event))
		case now := <-ticks:
			p.logOverdue(now)
			p.execute(ctx, p.machine.Handle(now, p.newTick()))
		}
	}
}

func (p *Presenter) newTick() Tick {
	return Tick{Live: p.config.Members.Live(), Own: p.config.Status(), Edits: p.config.Catalogue.Current().Edits}
}

// logOverdue logs a warning when the shown snapshot is older than overdueAge.
func (p *Presenter) logOverdue(now time.Time) {
	if view := p.View(now); view.Shown != nil && now.Sub(view.Shown.BuiltAt) > overdueAge {
		p.config.Log.Warn(logger.SnapshotOverdue).Int64("age_ms", view.AgeMS).Str("builder", string(view.Shown.Builder)).Send()
	}
}

func (p *Presenter) execute(ctx context.Context, commands []Command) {
	for _, command := range commands {
		switch c := command.(type) {
		case SetSchedule:
			p.schedule.Store(&c.Snapshots)
		case SendStatus:
			p.send(ctx, c.To, methodStatus, c.Status)
		case SendSnapshot:
			p.send(ctx, c.To, methodSnapshot, c.Snapshot)
		case ClaimEpoch:
			p.calls.Go(func() { p.claim(ctx, c.Above) })
		}
	}
}

// send sends a message to another host in the background. It drops the message when maxCalls calls are running; the next
// period sends a newer one.
func (p *Presenter) send(ctx context.Context, to codec.Member, method string, params any) {
	p.calls.TryGo(func() {
		callCtx, cancel := context.WithTimeout(ctx, callTimeout)
		defer cancel()
		_ = p.config.Peers.Call(callCtx, to, method, params, nil)
	})
}

func (p *Presenter) claim(ctx context.Context, above int64) {
	callCtx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	epoch, err := p.claimEpoch(callCtx, above)
	if err != nil {
		p.events.Offer(EpochClaimFailed{})
		return
	}
	p.config.Log.Info(logger.SnapshotBuilderTook).Int64("epoch", epoch).Send()
	p.events.Offer(EpochClaimed{Epoch: epoch})
}

// claimEpoch writes the next epoch to the store and returns it. It does not read back a write whose outcome is unknown,
// because the next claim takes a higher epoch in any case.
func (p *Presenter) claimEpoch(ctx context.Context, above int64) (int64, error) {
	var current epochValue
	object, err := p.config.Store.Get(ctx, epochKey)
	if err != nil && !errors.Is(err, connector.ErrNotFound) {
		return 0, annotator.Wrap("read screen epoch", "store", err)
	}
	if err == nil {
		if err := json.Unmarshal(object.Value, &current); err != nil {
			return 0, annotator.Wrap("decode screen epoch", "store", err)
		}
	}
	next := epochValue{Epoch: max(current.Epoch, above) + 1, Builder: p.config.Members.Self().ID}
	encoded, err := json.Marshal(next)
	if err != nil {
		return 0, annotator.Wrap("encode screen epoch", "self", err)
	}
	if _, err := p.config.Store.Put(ctx, epochKey, object.Version, encoded); err != nil {
		return 0, annotator.Wrap("claim screen epoch", "store", err)
	}
	return next.Epoch, nil
}

func (p *Presenter) handleStatus(_ context.Context, params json.RawMessage) (any, error) {
	var status codec.HostStatus
	if err := json.Unmarshal(params, &status); err != nil {
		return nil, annotator.Wrap("decode status", "peer", err)
	}
	p.events.Offer(StatusReceived{Status: status})
	return struct{}{}, nil
}

func (p *Presenter) handleSnapshot(_ context.Context, params json.RawMessage) (any, error) {
	var snapshot codec.Snapshot
	if err := json.Unmarshal(params, &snapshot); err != nil {
		return nil, annotator.Wrap("decode snapshot", "peer", err)
	}
	p.events.Offer(SnapshotReceived{Snapshot: snapshot})
	return struct{}{}, nil
}
