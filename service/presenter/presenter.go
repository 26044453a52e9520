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
	// epochKey is the store object that gives each builder an epoch of its own.
	epochKey = "screens/epoch"
	// ringCapacity bounds the reports that wait for the duty.
	ringCapacity = 1024
	// sendLimit bounds the calls to other hosts at one time.
	sendLimit = 16
	// callTimeout bounds a call to another host or to the store.
	callTimeout = 2 * time.Second
	// missedAge is the age at which the shown snapshot is reported as missed.
	missedAge = 5 * time.Second
)

// epochValue is the value of the store object screens/epoch.
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
	// Status collects this host's own contribution.
	Status func() codec.HostStatus
	Timer  *timer.Service
	Log    *logger.Logger
	Period time.Duration
}

// Presenter keeps the snapshots that this host shows.
type Presenter struct {
	config   Config
	board    *Board
	events   *buffer.Ring[Event]
	sends    *grouper.Group
	schedule atomic.Pointer[[]codec.Snapshot]

	mu   sync.Mutex
	last *codec.Snapshot
	// viewed is the latest time of a view. A tick that was taken before a pause of the process comes with an older time
	// than the requests that were answered meanwhile.
	viewed time.Time
}

// New returns a presenter and registers its handlers.
func New(config Config) *Presenter {
	p := &Presenter{
		config: config,
		board:  NewBoard(BoardConfig{Self: config.Members.Self().ID, Period: config.Period}),
		events: buffer.New[Event](ringCapacity),
		sends:  grouper.NewGroup(sendLimit),
	}
	p.schedule.Store(&[]codec.Snapshot{})
	config.Peers.Handle(methodStatus, p.handleStatus)
	config.Peers.Handle(methodSnapshot, p.handleSnapshot)
	return p
}

// View returns what a screen shows now.
func (p *Presenter) View(now time.Time) server.View {
	p.mu.Lock()
	defer p.mu.Unlock()
	if now.Before(p.viewed) {
		now = p.viewed
	}
	p.viewed = now
	shown, pending := showing(*p.schedule.Load(), now)
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
	defer p.sends.Wait()
	ticks, cancel := p.config.Timer.Subscribe(p.config.Period)
	defer cancel()
	for {
		select {
		case <-ctx.Done():
			return nil
		case event := <-p.events.Items():
			p.perform(ctx, p.board.Handle(p.config.Timer.Now(), event))
		case now := <-ticks:
			p.reportMissed(now)
			p.perform(ctx, p.board.Handle(now, p.tick()))
		}
	}
}

func (p *Presenter) tick() Tick {
	return Tick{Live: p.config.Members.Live(), Own: p.config.Status(), Edits: p.config.Catalogue.Current().Edits}
}

func (p *Presenter) reportMissed(now time.Time) {
	if view := p.View(now); view.Shown != nil && now.Sub(view.Shown.BuiltAt) > missedAge {
		p.config.Log.Warn(logger.SnapshotMissed).Int64("age_ms", view.AgeMS).Str("builder", string(view.Shown.Builder)).Send()
	}
}

func (p *Presenter) perform(ctx context.Context, commands []Command) {
	for _, command := range commands {
		switch c := command.(type) {
		case Schedule:
			p.schedule.Store(&c.Snapshots)
		case SendStatus:
			p.send(ctx, c.To, methodStatus, c.Status)
		case SendSnapshot:
			p.send(ctx, c.To, methodSnapshot, c.Snapshot)
		case ClaimEpoch:
			p.sends.Go(func() { p.claim(ctx, c.Above) })
		}
	}
}

// send drops the message when sendLimit calls are running; the next period sends a newer one.
func (p *Presenter) send(ctx context.Context, to codec.Member, method string, params any) {
	p.sends.TryGo(func() {
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
		p.events.Offer(EpochRefused{})
		return
	}
	p.config.Log.Info(logger.SnapshotBuilderTook).Int64("epoch", epoch).Send()
	p.events.Offer(EpochClaimed{Epoch: epoch})
}

// claimEpoch needs no read-back of an uncertain write: the next claim takes a higher epoch.
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
