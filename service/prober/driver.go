package prober

import (
	"context"
	"encoding/json"
	"errors"
	"math/rand/v2"
	"sync/atomic"
	"time"

	"github.com/sourcegraph/jsonrpc2"

	"celerygap.example/lib/annotator"
	"celerygap.example/lib/buffer"
	"celerygap.example/lib/codec"
	"celerygap.example/lib/grouper"
	"celerygap.example/lib/identifier"
	"celerygap.example/lib/logger"
	"celerygap.example/lib/timer"
	"celerygap.example/service/connector"
)

// The JSON-RPC methods between probers.
const (
	MethodProbe         = "probe"
	MethodProbeIndirect = "probe_indirect"
)

// CodeUnreachable is the JSON-RPC code of an indirect probe whose target did not respond.
const CodeUnreachable = -32060

const (
	tickInterval = 200 * time.Millisecond
	seedInterval = 10 * time.Second
	ringCapacity = 1024
	// maxCalls bounds the calls in progress; a probe makes at most 1 + indirectProbes calls. Probes relayed for other hosts
	// are not counted.
	maxCalls = 64
	// subscriberCapacity is 1, so that changes that come together give one value; the subscriber then reads Live.
	subscriberCapacity = 1
)

// ErrBusy means that an event was dropped because the prober's event queue was full.
var ErrBusy = errors.New("prober event queue is full")

// DriverConfig configures a Driver.
type DriverConfig struct {
	// Self is this host; a zero incarnation is replaced by the start time in milliseconds, so that a later process with
	// the same id has a higher one.
	Self          codec.Member
	SeedAddresses []string
	// Seeds returns the celerygap hosts in the platform's list; it may be nil.
	Seeds func(context.Context) ([]ListedMember, error)
	Peers connector.Peers
	Timer *timer.Service
	Log   *logger.Logger
	Rand  *rand.Rand
	// Timing is DefaultTiming when it is zero.
	Timing Timing
	// OnFlagged receives fingerprints that other hosts proved or suspect; it must not block. It may be nil.
	OnFlagged func(proven, suspects []codec.FlaggedFingerprint)
	// Revision returns this host's catalogue revision, OnRevision receives those of others. Both may be nil.
	Revision   func() identifier.Revision
	OnRevision func(from codec.Member, revision identifier.Revision)
}

// Driver feeds events to a Prober and executes its commands. It serves the JSON-RPC methods and implements
// connector.Members.
type Driver struct {
	config  DriverConfig
	machine *Prober
	ring    *buffer.Ring[request]
	calls   *grouper.Group
	view    atomic.Pointer[view]
	changes chan struct{}
}

type view struct {
	self   codec.Member
	live   []codec.Member
	joined bool
}

// request is an event with the channel for its result; the channel is nil for events without a result.
type request struct {
	event  Event
	result chan Command
}

var _ connector.Members = (*Driver)(nil)

// NewDriver returns a Driver and registers its methods with the peers.
func NewDriver(config DriverConfig) *Driver {
	if config.Self.Incarnation == 0 {
		config.Self.Incarnation = identifier.Incarnation(time.Now().UnixMilli())
	}
	config.Self.State = codec.MemberStateAlive
	d := &Driver{
		config: config,
		machine: New(Config{
			Self: config.Self, SeedAddresses: config.SeedAddresses, Rand: config.Rand, Revision: config.Revision,
			Timing: config.Timing,
		}),
		ring:    buffer.New[request](ringCapacity),
		calls:   grouper.NewGroup(maxCalls),
		changes: make(chan struct{}, subscriberCapacity),
	}
	d.view.Store(&view{self: config.Self, live: []codec.Member{config.Self}})
	config.Peers.Handle(MethodProbe, d.handleProbe)
	config.Peers.Handle(MethodProbeIndirect, d.handleProbeIndirect)
	return d
}

// Self returns this host with its current incarnation.
func (d *Driver) Self() codec.Member { return d.view.Load().self }

// Live returns the hosts that are believed alive, this one included until it leaves, in order of id.
func (d *Driver) Live() []codec.Member { return d.view.Load().live }

// Joined reports whether another host has sent a complete list of the members; until then Live may lack most of them.
func (d *Driver) Joined() bool { return d.view.Load().joined }

// Changes returns a channel that gets a value after the live hosts changed; it has one reader.
func (d *Driver) Changes() <-chan struct{} { return d.changes }

// Flagged spreads fingerprints that this host proved or suspects to crash upstreams.
func (d *Driver) Flagged(proven, suspects []codec.FlaggedFingerprint) {
	d.ring.Offer(request{event: Flagged{Proven: proven, Suspects: suspects}})
}

// Leave announces the planned stop of this host and returns when the announcements were sent or the context ends.
func (d *Driver) Leave(ctx context.Context) error {
	if _, err := d.submit(ctx, Leave{}); err != nil {
		return annotator.Wrap("leave membership", "self", err)
	}
	return nil
}

// Run feeds events to the state machine until the context ends.
func (d *Driver) Run(ctx context.Context) error {
	ticks, cancelTicks := d.config.Timer.Subscribe(tickInterval)
	defer cancelTicks()
	lists, cancelLists := d.config.Timer.Subscribe(seedInterval)
	defer cancelLists()
	defer d.calls.Wait()
	d.readSeeds(ctx)
	d.handle(ctx, request{event: Tick{}})
	for {
		select {
		case <-ctx.Done():
			return nil
		case <-ticks:
			d.handle(ctx, request{event: Tick{}})
		case <-lists:
			d.readSeeds(ctx)
		case r := <-d.ring.Items():
			d.handle(ctx, r)
		}
	}
}

func (d *Driver) readSeeds(ctx context.Context) {
	if d.config.Seeds == nil {
		return
	}
	d.calls.TryGo(func() {
		ctx, cancel := context.WithTimeout(ctx, seedInterval)
		defer cancel()
		if hosts, err := d.config.Seeds(ctx); err == nil {
			d.ring.Offer(request{event: Listed{Hosts: hosts}})
		}
	})
}

func (d *Driver) handle(ctx context.Context, r request) {
	var sends []func()
	for _, command := range d.machine.Handle(d.config.Timer.Now(), r.event) {
		if send := d.execute(ctx, r, command); send != nil {
			sends = append(sends, send)
		}
	}
	if _, leaving := r.event.(Leave); leaving {
		d.sendAll(sends, r.result)
		return
	}
	for _, send := range sends {
		d.calls.TryGo(send)
	}
}

// sendAll sends the announcements of a leaving host and signals done after the last one.
func (d *Driver) sendAll(sends []func(), done chan Command) {
	d.calls.TryGo(func() {
		group := grouper.NewGroup(len(sends) + 1)
		for _, send := range sends {
			group.Go(send)
		}
		group.Wait()
		done <- nil
	})
}

// execute executes a command; a call to another host is returned as a function to run outside of the driver's goroutine.
func (d *Driver) execute(ctx context.Context, r request, command Command) func() {
	switch c := command.(type) {
	case Send:
		return func() { d.probe(ctx, c) }
	case SendIndirect:
		return func() { d.probeIndirect(ctx, c) }
	case Reply, Relay:
		r.result <- c
	case Publish:
		d.view.Store(&view{self: c.Self, live: c.Live, joined: c.Joined})
		select {
		case d.changes <- struct{}{}:
		default:
		}
	case Changed:
		d.logChange(c)
	case Learned:
		if d.config.OnFlagged != nil {
			d.config.OnFlagged(c.Proven, c.Suspects)
		}
	case RevisionReported:
		if d.config.OnRevision != nil {
			d.config.OnRevision(c.Host, c.Revision)
		}
	}
	return nil
}

func (d *Driver) probe(ctx context.Context, c Send) {
	ctx, cancel := context.WithTimeout(ctx, d.machine.Timing().ProbeTimeout)
	defer cancel()
	var response codec.ProbeMessage
	if err := d.config.Peers.Call(ctx, c.To, MethodProbe, c.Message, &response); err != nil {
		d.ring.Offer(request{event: Failed{ID: c.ID}})
		return
	}
	d.ring.Offer(request{event: Responded{ID: c.ID, Response: response}})
}

func (d *Driver) probeIndirect(ctx context.Context, c SendIndirect) {
	ctx, cancel := context.WithTimeout(ctx, d.machine.Timing().ProbeTimeout)
	defer cancel()
	var response codec.ProbeMessage
	err := d.config.Peers.Call(ctx, c.Via, MethodProbeIndirect, c.Message, &response)
	d.ring.Offer(request{event: Relayed{ID: c.ID, Reached: err == nil, Response: response}})
}

// submit queues an event for the state machine and waits for its result.
func (d *Driver) submit(ctx context.Context, event Event) (Command, error) {
	r := request{event: event, result: make(chan Command, 1)}
	if !d.ring.Offer(r) {
		return nil, ErrBusy
	}
	select {
	case <-ctx.Done():
		return nil, ctx.Err()
	case command := <-r.result:
		return command, nil
	}
}

func (d *Driver) handleProbe(ctx context.Context, params json.RawMessage) (any, error) {
	message, err := decode(params)
	if err != nil {
		return nil, err
	}
	command, err := d.submit(ctx, Received{Message: message})
	if err != nil {
		return nil, err
	}
	return command.(Reply).Message, nil
}

func (d *Driver) handleProbeIndirect(ctx context.Context, params json.RawMessage) (any, error) {
	message, err := decode(params)
	if err != nil {
		return nil, err
	}
	command, err := d.submit(ctx, RelayRequested{Message: message})
	if err != nil {
		return nil, err
	}
	relay, ok := command.(Relay)
	if !ok {
		return nil, &jsonrpc2.Error{Code: CodeUnreachable, Message: "target unknown"}
	}
	ctx, cancel := context.WithTimeout(ctx, d.machine.Timing().DirectTimeout)
	defer cancel()
	var response codec.ProbeMessage
	if err := d.config.Peers.Call(ctx, relay.To, MethodProbe, relay.Message, &response); err != nil {
		return nil, &jsonrpc2.Error{Code: CodeUnreachable, Message: err.Error()}
	}
	return response, nil
}

func decode(params json.RawMessage) (codec.ProbeMessage, error) {
	var message codec.ProbeMessage
	if err := json.Unmarshal(params, &message); err != nil {
		return message, &jsonrpc2.Error{Code: jsonrpc2.CodeInvalidParams, Message: err.Error()}
	}
	return message, nil
}

func (d *Driver) logChange(c Changed) {
	line := d.config.Log.Info(changeEvent(c))
	line.Str("member", string(c.Member.ID)).Str("zone", string(c.Member.Zone)).
		Str("from", string(c.From)).Int64("incarnation", int64(c.Member.Incarnation)).Send()
}

func changeEvent(c Changed) logger.Event {
	switch c.Member.State {
	case codec.MemberStateSuspect:
		return logger.MemberSuspected
	case codec.MemberStateDead:
		return logger.MemberDead
	case codec.MemberStateLeft:
		return logger.MemberLeft
	default:
		return logger.MemberJoined
	}
}

// FromList returns the hosts of the given pool in the platform's host list; pool is the one of the celerygap hosts.
func FromList(list codec.HostList, pool identifier.PoolName) []ListedMember {
	var members []ListedMember
	for _, h := range list.Hosts {
		if h.Pool != pool {
			continue
		}
		members = append(members, ListedMember{
			Member:  codec.Member{ID: identifier.HostID(h.ID), Address: h.Address, Zone: h.Zone, Region: h.Region},
			Leaving: h.State == codec.HostStateLeaving,
		})
	}
	return members
}
