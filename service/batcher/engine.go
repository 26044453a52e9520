package batcher

import (
	"slices"
	"time"

	"celerygap.example/lib/codec"
	"celerygap.example/lib/identifier"
)

const (
	// defaultSlots is assumed for an engine that does not tell its slots.
	defaultSlots = 8
	// speedWeight is the weight of the newest event in the moving average of an engine's time per event; with it a change
	// of speed shows after about ten events, a fraction of a second.
	speedWeight = 0.1
	// speedValid is how long a measured speed counts: an engine that is avoided for its slowness is tried again then.
	speedValid = 4 * time.Second
	// longestGap is how many times the average a gap counts at most.
	longestGap = 5
	// fullPause is how long an engine gets no more runs after it refused one.
	fullPause = 150 * time.Millisecond
	// failedPause is how long an engine gets no runs after it broke one off; a crash takes seconds to show in the list.
	failedPause = time.Second
)

// engine is what this host knows of an engine.
type engine struct {
	host     codec.ListedHost
	inFlight int
	// usableAt is when the engine may get runs again.
	usableAt time.Time
	// perEvent is the moving average of the time between two events of a run, and measuredAt when it was last updated.
	perEvent   time.Duration
	measuredAt time.Time
	// seen holds versions from the engine's responses, which are newer than its entry in the list.
	seen map[identifier.ModelName]identifier.WeightVersion
}

func newEngine(host codec.ListedHost) *engine {
	return &engine{host: host, seen: make(map[identifier.ModelName]identifier.WeightVersion)}
}

func (e *engine) slots() int {
	if e.host.Slots > 0 {
		return e.host.Slots
	}
	return defaultSlots
}

// version returns the version of a model that the engine serves; an engine whose entry names no models serves any.
func (e *engine) version(model identifier.ModelName) (version identifier.WeightVersion, known bool) {
	version, known = e.seen[model]
	for _, state := range e.host.Models {
		if state.Model == model {
			return max(version, state.Serving), true
		}
	}
	return version, known || len(e.host.Models) == 0
}

// measure adds the time between two events. A single long pause, such as a change of weights, says little about the
// engine's speed and counts only in part.
func (e *engine) measure(now time.Time, gap time.Duration) {
	if e.perEvent == 0 || now.Sub(e.measuredAt) > speedValid {
		e.perEvent = gap
	} else {
		e.perEvent += time.Duration(speedWeight * float64(min(gap, longestGap*e.perEvent)-e.perEvent))
	}
	e.measuredAt = now
}

func (e *engine) pause(now time.Time, length time.Duration) {
	if until := now.Add(length); until.After(e.usableAt) {
		e.usableAt = until
	}
}

// serves reports whether the engine may run items of a job.
func (e *engine) serves(now time.Time, j *job) bool {
	if e.host.State == codec.HostStateLeaving || now.Before(e.usableAt) || !j.allowsPool(e.host.Pool) {
		return false
	}
	version, known := e.version(j.job.Model)
	return j.job.Model == "" || known && version >= j.job.MinVersion
}

func (e *engine) free() int { return e.slots() - e.inFlight }

// replaceEngines takes over the list and keeps what is known of engines that stay; an engine that started again under
// its id is a new one.
func (b *Batcher) replaceEngines(lists map[identifier.PoolName][]codec.ListedHost) {
	next := make(map[identifier.UpstreamID]*engine)
	for _, hosts := range lists {
		for _, host := range hosts {
			known, ok := b.engines[host.ID]
			if !ok || known.host.Address != host.Address || !known.host.StartedAt.Equal(host.StartedAt) {
				known = newEngine(host)
			}
			known.host = host
			next[host.ID] = known
		}
	}
	b.engines = next
	b.order = b.order[:0]
	for id := range next {
		b.order = append(b.order, id)
	}
	slices.Sort(b.order)
}

// typicalGap is the lower median of the engines' times per event; zero while no engine is measured.
func (b *Batcher) typicalGap(now time.Time) time.Duration {
	var gaps []time.Duration
	for _, e := range b.engines {
		if e.measured(now) {
			gaps = append(gaps, e.perEvent)
		}
	}
	if len(gaps) == 0 {
		return 0
	}
	slices.Sort(gaps)
	return gaps[(len(gaps)-1)/2]
}

func (e *engine) measured(now time.Time) bool {
	return e.perEvent > 0 && now.Sub(e.measuredAt) <= speedValid
}

// slowness is how many times slower than the typical engine this one is; an unmeasured one counts as typical.
func (e *engine) slowness(now time.Time, typical time.Duration) float64 {
	if typical <= 0 || !e.measured(now) {
		return 1
	}
	return float64(e.perEvent) / float64(typical)
}
