package updater

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	"pgregory.net/rapid"

	"celerygap.example/lib/codec"
	"celerygap.example/lib/identifier"
	"celerygap.example/service/connector"
)

// rolloutWorld runs one rollout against modelled engines, with virtual time and results in any order.
type rolloutWorld struct {
	now     time.Time
	rollout *Rollout
	engines map[identifier.UpstreamID]*modelState
	calls   []RolloutCommand
	grant   Grant
	target  identifier.WeightVersion
}

func newRolloutWorld() *rolloutWorld {
	w := &rolloutWorld{now: time.Unix(1000, 0), engines: make(map[identifier.UpstreamID]*modelState), target: 1}
	w.rollout = NewRollout(RolloutConfig{Rand: rand.New(rand.NewPCG(1, 1))})
	var engines []Engine
	for i := range 14 {
		id := fmt.Sprintf("e%d", i)
		region := identifier.Region(fmt.Sprint(i % 2))
		engines = append(engines, Engine{Pool: "p", Upstream: connector.Upstream{ID: identifier.UpstreamID(id), Address: id, Region: region}})
		w.engines[identifier.UpstreamID(id)] = &modelState{}
	}
	w.rollout.Handle(w.now, divide(engines, 1)[0])
	return w
}

func (w *rolloutWorld) handle(t *rapid.T, event RolloutEvent) {
	for _, command := range w.rollout.Handle(w.now, event) {
		if send, ok := command.(SendOrder); ok {
			w.check(t, send)
		}
		if _, ok := command.(SetRolloutTimer); !ok {
			w.calls = append(w.calls, command)
		}
	}
}

func (w *rolloutWorld) check(t *rapid.T, send SendOrder) {
	children := 1
	for _, call := range w.calls {
		pending, ok := call.(SendOrder)
		if ok && pending.Engine.ID == send.Engine.ID {
			t.Fatalf("engine %s has two orders at a time", send.Engine.ID)
		}
		if ok && pending.Order.Source == send.Order.Source {
			children++
		}
	}
	known := w.rollout.engines[send.Engine.ID].models["m"]
	switch {
	case !w.grant.Valid(w.now):
		t.Fatalf("order without a valid lease: %+v", send.Order)
	case send.Order.Source != "" && children > DefaultMaxChildren:
		t.Fatalf("engine %s has %d children", send.Order.Source, children)
	case send.Order.Kind == codec.OrderKindUnload && known != nil && send.Order.Version >= known.serving:
		t.Fatalf("unload of version %d while %d is served", send.Order.Version, known.serving)
	case send.Order.Kind == codec.OrderKindServe && known != nil && send.Order.Version < known.serving:
		t.Fatalf("order to lower the version from %d to %d", known.serving, send.Order.Version)
	}
}

// answer ends one call: in order, failed without effect, or with an effect whose result is lost.
func (w *rolloutWorld) answer(t *rapid.T, failed, effect bool) {
	if len(w.calls) == 0 {
		t.Skip("no call")
	}
	i := rapid.IntRange(0, len(w.calls)-1).Draw(t, "call")
	command := w.calls[i]
	w.calls = slices.Delete(w.calls, i, i+1)
	if poll, ok := command.(PollLoad); ok {
		state := w.engines[poll.Upstream.ID]
		models := []codec.ModelState{{Model: "m", Serving: state.serving, Loaded: slices.Clone(state.loaded)}}
		w.handle(t, Reported{ID: poll.Upstream.ID, Failed: failed, Models: models})
		return
	}
	send := command.(SendOrder)
	status := codec.OrderStatusDone
	if failed {
		status = codec.OrderStatusFailed
	}
	if effect {
		w.apply(send)
	}
	w.handle(t, Ordered{ID: send.Engine.ID, Order: send.Order, Status: status})
}

func (w *rolloutWorld) apply(send SendOrder) {
	state := w.engines[send.Engine.ID]
	switch send.Order.Kind {
	case codec.OrderKindLoad:
		state.loaded = append(state.loaded, send.Order.Version)
	case codec.OrderKindServe:
		state.serving = send.Order.Version
	case codec.OrderKindUnload:
		state.loaded = slices.DeleteFunc(state.loaded, func(v identifier.WeightVersion) bool { return v == send.Order.Version })
	}
}

func (w *rolloutWorld) renew(t *rapid.T, valid bool) {
	w.grant = Grant{}
	if valid {
		w.grant = Grant{Fencing: 1, Until: w.now.Add(8 * time.Second)}
	}
	w.handle(t, GrantChanged{Grant: w.grant})
}

func (w *rolloutWorld) announce(t *rapid.T, version identifier.WeightVersion) {
	w.target = max(w.target, version)
	w.handle(t, TargetsSet{Targets: []Target{{Pool: "p", Model: "m", Version: version}}})
}

// Guards against orders without a lease, two orders to one engine, orders to a lower version, the unloading of a served
// version, overloaded seeds, and engines that never get the version: failed orders, lost results, restarts, lost leases.
func TestRolloutOrders(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		w := newRolloutWorld()
		w.announce(t, 1)
		w.renew(t, true)
		t.Repeat(map[string]func(*rapid.T){
			"done": func(t *rapid.T) { w.answer(t, false, true) }, "done_too": func(t *rapid.T) { w.answer(t, false, true) },
			"fail":  func(t *rapid.T) { w.answer(t, true, rapid.Bool().Draw(t, "effect")) },
			"lease": func(t *rapid.T) { w.renew(t, rapid.Bool().Draw(t, "valid")) },
			"target": func(t *rapid.T) {
				w.announce(t, w.target+identifier.WeightVersion(rapid.IntRange(-1, 1).Draw(t, "version")))
			},
			"restart": func(t *rapid.T) {
				*w.engines[rapid.SampledFrom([]identifier.UpstreamID{"e0", "e1", "e7"}).Draw(t, "engine")] = modelState{}
			},
			"time": func(t *rapid.T) {
				w.now = w.now.Add(rapid.SampledFrom([]time.Duration{100 * time.Millisecond, 3 * time.Second, 9 * time.Second}).Draw(t, "time"))
				w.handle(t, RolloutTimerFired{})
			},
		})
		for range 100 {
			w.now = w.now.Add(2 * time.Second)
			w.renew(t, true)
			for len(w.calls) > 0 {
				w.answer(t, false, true)
			}
		}
		for id, state := range w.engines {
			if state.serving != w.target {
				t.Fatalf("engine %s serves %d, not %d", id, state.serving, w.target)
			}
		}
	})
}
