package placer_test

import (
	"cmp"
	"fmt"
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"celerygap.example/lib/codec"
	"celerygap.example/lib/identifier"
	"celerygap.example/service/placer"
)

const (
	stepInterval = 4 * time.Second
	stepDue      = 7500 * time.Millisecond
	eventTime    = 80 * time.Millisecond
	loadTime     = 900 * time.Millisecond
	playTick     = 20 * time.Millisecond
	engineSlots  = 6
	meanText     = 25
	maxText      = 50
)

// play simulates engines that generate the texts of trainers' steps under the division that a placer decides.
type play struct {
	p         *placer.Placer
	random    *rand.Rand
	now       time.Time
	start     time.Time
	engines   []*playEngine
	models    []identifier.ModelName
	events    map[identifier.ModelName]float64
	versions  map[identifier.ModelName]identifier.WeightVersion
	steps     []*step
	stating   bool
	loads     int
	moves     []placer.Move
	published time.Time
}

type playEngine struct {
	host    codec.ListedHost
	texts   []*text
	load    *placer.Load
	loadEnd time.Time
}

type text struct {
	step *step
	left float64
}

type step struct {
	model       identifier.ModelName
	submittedAt time.Time
	version     identifier.WeightVersion
	waiting     []*text
	unfinished  int
	took        time.Duration
}

// newPlay returns a play of trainers that submit a step with the given events every stepInterval.
func newPlay(seed uint64, engines int, events map[identifier.ModelName]float64, stating bool) *play {
	w := &play{
		p: placer.New(), random: rand.New(rand.NewPCG(seed, 1)), now: time.Now(), events: events, stating: stating,
		versions: make(map[identifier.ModelName]identifier.WeightVersion),
	}
	w.start = w.now
	for i := range len(events) {
		w.models = append(w.models, identifier.ModelName(fmt.Sprint("m", i)))
		w.versions[w.models[i]] = 1
	}
	for i := range engines {
		host := codec.ListedHost{
			ID: identifier.UpstreamID(fmt.Sprintf("e%02d", i)), Pool: pool, Zone: identifier.Zone(fmt.Sprint(i % 3)),
			State: codec.HostStateLive, Slots: engineSlots,
		}
		for _, model := range w.models {
			host.Models = append(host.Models, codec.ModelState{Model: model, Serving: 1})
		}
		w.engines = append(w.engines, &playEngine{host: host})
	}
	w.p.Handle(w.now, placer.PoolsChanged{Pools: []codec.Pool{{Name: pool, Models: w.models}}})
	w.publish()
	w.p.Handle(w.now, placer.LeaseAcquired{})
	w.p.Handle(w.now, placer.VersionsListed{})
	return w
}

func (w *play) publish() {
	hosts := make([]codec.ListedHost, 0, len(w.engines))
	for _, e := range w.engines {
		hosts = append(hosts, e.host)
	}
	w.p.Handle(w.now, placer.EnginesChanged{Engines: map[identifier.PoolName][]codec.ListedHost{pool: hosts}})
}

func (w *play) run(length time.Duration) {
	for end := w.now.Add(length); w.now.Before(end); w.now = w.now.Add(playTick) {
		elapsed := w.now.Sub(w.start)
		for i, model := range w.models {
			// Trainers do not submit at the same time.
			if (elapsed-time.Duration(i)*stepInterval/time.Duration(len(w.models)))%stepInterval == 0 {
				w.submit(model)
			}
		}
		if w.stating && elapsed%time.Second == 0 {
			w.p.Handle(w.now, placer.DemandStated{Demand: map[identifier.PoolName]map[identifier.ModelName]placer.Demand{pool: w.demand()}})
		}
		if elapsed%(100*time.Millisecond) == 0 {
			w.order()
		}
		w.generate()
	}
}

func (w *play) submit(model identifier.ModelName) {
	if w.events[model] == 0 {
		return
	}
	s := &step{model: model, submittedAt: w.now, version: w.versions[model]}
	for left := w.events[model]; left > 0; {
		length := min(left, 5+meanText*w.random.ExpFloat64(), maxText)
		s.waiting = append(s.waiting, &text{step: s, left: length})
		left -= length
	}
	slices.SortFunc(s.waiting, func(x, y *text) int { return cmp.Compare(y.left, x.left) })
	s.unfinished = len(s.waiting)
	w.steps = append(w.steps, s)
	w.versions[model]++
	w.p.Handle(w.now, placer.VersionAnnounced{Model: model, Version: w.versions[model]})
}

// demand states what the owners of the open steps know.
func (w *play) demand() map[identifier.ModelName]placer.Demand {
	demand := make(map[identifier.ModelName]placer.Demand)
	for _, s := range w.steps {
		if s.unfinished == 0 {
			continue
		}
		stated := demand[s.model]
		demand[s.model] = placer.Demand{
			EventsPerSecond: stated.EventsPerSecond + w.events[s.model]/stepDue.Seconds()*min(2, w.now.Sub(s.submittedAt).Seconds()/stepDue.Seconds()),
			Late:            stated.Late || w.now.Sub(s.submittedAt) >= stepDue && len(s.waiting) > 0,
		}
	}
	for _, model := range w.models {
		stated := demand[model]
		stated.EventsPerSecond = max(stated.EventsPerSecond, w.events[model]/stepInterval.Seconds())
		demand[model] = stated
	}
	return demand
}

func (w *play) order() {
	for _, load := range w.p.Handle(w.now, placer.Tick{}) {
		for _, e := range w.engines {
			if e.host.ID == load.Engine.ID {
				e.load, e.loadEnd = &load, w.now.Add(loadTime)
				w.loads++
			}
		}
	}
	w.moves = append(w.moves, w.p.TakeMoves()...)
}

func (w *play) generate() {
	for _, e := range w.engines {
		if e.load != nil {
			if w.now.Before(e.loadEnd) {
				continue
			}
			w.finishLoad(e)
		}
		w.fill(e)
		kept := e.texts[:0]
		for _, t := range e.texts {
			t.left -= float64(playTick) / float64(eventTime)
			if t.left > 0 {
				kept = append(kept, t)
				continue
			}
			t.step.unfinished--
			if t.step.unfinished == 0 {
				t.step.took = w.now.Sub(t.step.submittedAt)
			}
		}
		e.texts = kept
	}
}

func (w *play) finishLoad(e *playEngine) {
	states := append([]codec.ModelState{}, e.host.Models...)
	for i := range states {
		if states[i].Model == e.load.Model {
			states[i].Serving = e.load.Version
		}
	}
	e.host.Models = states
	w.publish()
	w.p.Handle(w.now, placer.OrderEnded{Engine: e.host.ID, Model: e.load.Model, Version: e.load.Version})
	e.load = nil
}

// fill starts waiting texts, the oldest step first, on an engine that serves the version of the step or a newer one.
func (w *play) fill(e *playEngine) {
	for _, s := range w.steps {
		for len(s.waiting) > 0 && len(e.texts) < engineSlots && e.serving(s.model) >= s.version {
			e.texts = append(e.texts, s.waiting[0])
			s.waiting = s.waiting[1:]
		}
	}
}

func (e *playEngine) serving(model identifier.ModelName) identifier.WeightVersion {
	for _, state := range e.host.Models {
		if state.Model == model {
			return state.Serving
		}
	}
	return 0
}

// took returns the mean time of the steps of a model that were submitted after the given time of the play and are due by now,
// and the part of them that was late.
func (w *play) took(model identifier.ModelName, after time.Duration) (mean time.Duration, late float64) {
	var sum time.Duration
	steps, missed := 0, 0
	for _, s := range w.steps {
		if s.model != model || s.submittedAt.Sub(w.start) < after || w.now.Sub(s.submittedAt) < stepDue {
			continue
		}
		took := s.took
		if s.unfinished > 0 {
			took = w.now.Sub(s.submittedAt)
		}
		steps++
		sum += took
		if took > stepDue {
			missed++
		}
	}
	return sum / time.Duration(max(1, steps)), float64(missed) / float64(max(1, steps))
}

func (w *play) assigned(t *testing.T) map[identifier.ModelName]int {
	counts := make(map[identifier.ModelName]int)
	total := 0
	for _, share := range w.p.Shares()[pool] {
		counts[share.Model] = share.Engines
		total += share.Engines
	}
	require.Equal(t, len(w.engines), total, "every engine is assigned once")
	return counts
}
