package updater

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"

	"celerygap.example/lib/codec"
	"celerygap.example/lib/identifier"
	"celerygap.example/service/connector"
)

// rolloutSimulation runs one rollout against simulated engines, with virtual time and results in any order.
type rolloutSimulation struct {
	now     time.Time
	rollout *Rollout
	engines map[identifier.UpstreamID]*modelState
	calls   []RolloutCommand
	grant   Grant
	target  identifier.WeightVersion
}

func newRolloutSimulation() *rolloutSimulation {
	s := &rolloutSimulation{now: time.Unix(1000, 0), engines: make(map[identifier.UpstreamID]*modelState), target: 1}
	s.rollout = NewRollout(RolloutConfig{Rand: rand.New(rand.NewPCG(1, 1))})
	var engines []Engine
	for i := range 14 {
		id := fmt.Sprintf("e%d", i)
		region := identifier.Region(fmt.Sprint(i % 2))
		engines = append(engines, Engine{Pool: "p", Upstream: connector.Upstream{ID: identifier.UpstreamID(id), Address: id, Region: region}})
		s.engines[identifier.UpstreamID(id)] = &modelState{}
	}
	s.rollout.Handle(s.now, divide(engines, 1)[0])
	return s
}

func (s *rolloutSimulation) handle(t *rapid.T, event RolloutEvent) {
	for _, command := range s.rollout.Handle(s.now, event) {
		if send, ok := command.(SendOrder); ok {
			s.check(t, send)
		}
		if _, ok := command.(SetRolloutTimer); !ok {
			s.calls = append(s.calls, command)
		}
	}
}

func (s *rolloutSimulation) check(t *rapid.T, send SendOrder) {
	children := 1
	for _, call := range s.calls {
		pending, ok := call.(SendOrder)
		if ok && pending.Engine.ID == send.Engine.ID {
			t.Fatalf("engine %s has two outstanding orders", send.Engine.ID)
		}
		if ok && pending.Order.Source == send.Order.Source {
			children++
		}
	}
	known := s.rollout.engines[send.Engine.ID].models["m"]
	switch {
	case !s.grant.Valid(s.now):
		t.Fatalf("order without a valid lease: %+v", send.Order)
	case send.Order.Source != "" && children > DefaultMaxChildren:
		t.Fatalf("engine %s has %d children", send.Order.Source, children)
	case send.Order.Kind == codec.OrderKindUnload && known != nil && send.Order.Version >= known.serving:
		t.Fatalf("unload of version %d while %d is served", send.Order.Version, known.serving)
	case send.Order.Kind == codec.OrderKindServe && known != nil && send.Order.Version < known.serving:
		t.Fatalf("order that lowers the served version from %d to %d", known.serving, send.Order.Version)
	}
}

// finishCall ends one call: successfully, failed without effect, or with an effect whose result is lost.
func (s *rolloutSimulation) finishCall(t *rapid.T, failed, effect bool) {
	if len(s.calls) == 0 {
		t.Skip("no call")
	}
	i := rapid.IntRange(0, len(s.calls)-1).Draw(t, "call")
	command := s.calls[i]
	s.calls = slices.Delete(s.calls, i, i+1)
	if poll, ok := command.(PollLoad); ok {
		state := s.engines[poll.Upstream.ID]
		models := []codec.ModelState{{Model: "m", Serving: state.serving, Loaded: slices.Clone(state.loaded)}}
		s.handle(t, LoadReported{ID: poll.Upstream.ID, Failed: failed, Models: models})
		return
	}
	send := command.(SendOrder)
	status := codec.OrderStatusDone
	if failed {
		status = codec.OrderStatusFailed
	}
	if effect {
		s.apply(send)
	}
	s.handle(t, OrderFinished{ID: send.Engine.ID, Order: send.Order, Status: status})
}

func (s *rolloutSimulation) apply(send SendOrder) {
	state := s.engines[send.Engine.ID]
	switch send.Order.Kind {
	case codec.OrderKindLoad:
		state.loaded = append(state.loaded, send.Order.Version)
	case codec.OrderKindServe:
		state.serving = send.Order.Version
	case codec.OrderKindUnload:
		state.loaded = slices.DeleteFunc(state.loaded, func(v identifier.WeightVersion) bool { return v == send.Order.Version })
	}
}

func (s *rolloutSimulation) renew(t *rapid.T, valid bool) {
	s.grant = Grant{}
	if valid {
		s.grant = Grant{Fencing: 1, Until: s.now.Add(8 * time.Second)}
	}
	s.handle(t, GrantChanged{Grant: s.grant})
}

func (s *rolloutSimulation) announce(t *rapid.T, version identifier.WeightVersion) {
	s.target = max(s.target, version)
	s.handle(t, TargetsSet{Targets: []Target{{Pool: "p", Model: "m", Version: version}}})
}

// Guards against orders without a lease, two outstanding orders to one engine, orders that lower the version, the unloading
// of a served version, more children than allowed, and engines that never serve the target. Orders fail, results are lost,
// engines restart and leases end. The action done_too doubles the probability of done.
func TestRolloutOrders(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		s := newRolloutSimulation()
		s.announce(t, 1)
		s.renew(t, true)
		t.Repeat(map[string]func(*rapid.T){
			"done": func(t *rapid.T) { s.finishCall(t, false, true) }, "done_too": func(t *rapid.T) { s.finishCall(t, false, true) },
			"fail":  func(t *rapid.T) { s.finishCall(t, true, rapid.Bool().Draw(t, "effect")) },
			"lease": func(t *rapid.T) { s.renew(t, rapid.Bool().Draw(t, "valid")) },
			"target": func(t *rapid.T) {
				s.announce(t, s.target+identifier.WeightVersion(rapid.IntRange(-1, 1).Draw(t, "version")))
			},
			"restart": func(t *rapid.T) {
				*s.engines[rapid.SampledFrom([]identifier.UpstreamID{"e0", "e1", "e7"}).Draw(t, "engine")] = modelState{}
			},
			"time": func(t *rapid.T) {
				s.now = s.now.Add(rapid.SampledFrom([]time.Duration{100 * time.Millisecond, 3 * time.Second, 9 * time.Second}).Draw(t, "time"))
				s.handle(t, RolloutTimerFired{})
			},
		})
		for range 100 {
			s.now = s.now.Add(2 * time.Second)
			s.renew(t, true)
			for len(s.calls) > 0 {
				s.finishCall(t, false, true)
			}
		}
		for id, state := range s.engines {
			if state.serving != s.target {
				t.Fatalf("engine %s serves %d, not %d", id, state.serving, s.target)
			}
		}
	})
}

// Guards against counts of children that become wrong, and allow more loads than wanted from one engine, when an engine leaves and
// comes back while another one loads from it.
func TestReturningSourceHasNoFormerChildren(t *testing.T) {
	r := NewRollout(RolloutConfig{})
	former, returned, loading := newEngineState(), newEngineState(), newEngineState()
	former.children = 1
	loading.source = former
	r.engines["source"] = returned
	r.releaseSource(loading)
	require.Zero(t, former.children)
	require.Zero(t, returned.children)
	require.Nil(t, loading.source)
}
