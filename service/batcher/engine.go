package batcher

import (
	"cmp"
	"slices"
	"time"

	"celerygap.example/lib/codec"
	"celerygap.example/lib/identifier"
)

const (
	// defaultSlots is the number of slots of an engine that does not report it.
	defaultSlots = 8
	// speedWeight is the weight of the newest event in the moving average of an engine's event interval. A change of
	// speed is visible after about ten events, a fraction of a second.
	speedWeight = 0.1
	// speedMaxAge is how long a measured speed is valid; an engine that was avoided as slow is tried again after it.
	speedMaxAge = 4 * time.Second
	// maxIntervalRatio caps a single interval at this multiple of the average.
	maxIntervalRatio = 5
	// fullPause is how long an engine gets no runs after it refused one without starting it. The pause doubles with each further
	// refusal in a row, up to maxFullPause: an engine that loads weights refuses runs for about a second.
	fullPause    = 150 * time.Millisecond
	maxFullPause = 600 * time.Millisecond
	// failedPause is how long an engine gets no runs after one failed or stalled on it; a crash takes seconds to appear
	// in the list of engines.
	failedPause = time.Second
	// contradictionTime is about the time of two loads of weights.
	contradictionTime = 2 * time.Second
	// loadMaxAge is how long a stated load says something about the requests of other hosts.
	loadMaxAge = 300 * time.Millisecond
)

// engine is an entry of the list of engines, with the load and speed that this host observes.
type engine struct {
	host     codec.ListedHost
	inFlight int
	// usableAt is when the engine may get runs again.
	usableAt time.Time
	// refusals counts the refused runs since the last one that started.
	refusals int
	// unproven is set by a run that failed before its first event, until a run receives one. Such an engine gets one run at a time.
	unproven bool
	// eventInterval is the moving average of the time between two events of a run; measuredAt is its last update.
	eventInterval time.Duration
	measuredAt    time.Time
	// seenVersions holds the versions from the engine's responses, which are more recent than its entry in the list.
	seenVersions map[identifier.ModelName]identifier.WeightVersion
	// contradictions holds the models of which a response showed an older version than the entry in the list.
	contradictions map[identifier.ModelName]contradiction
	// model is the model that the engine mainly serves, or empty.
	model identifier.ModelName
	// others is the number of requests of other hosts on the engine, as of othersAt.
	others   int
	othersAt time.Time
	// goneAt is when a leaving engine will be gone, by the time that its entry stated first, statedLeave; zero if not known.
	goneAt      time.Time
	statedLeave identifier.Duration
}

// contradiction is a version in an engine's list entry that a response has shown to be wrong. It holds until the entry changes,
// and for contradictionTime at most, because the engine may load the listed version meanwhile.
type contradiction struct {
	listed identifier.WeightVersion
	until  time.Time
}

func newEngine(host codec.ListedHost) *engine {
	return &engine{
		host: host, seenVersions: make(map[identifier.ModelName]identifier.WeightVersion),
		contradictions: make(map[identifier.ModelName]contradiction),
	}
}

func (e *engine) slots() int {
	if e.host.Slots > 0 {
		return e.host.Slots
	}
	return defaultSlots
}

// origin returns the origin of the texts that the engine begins.
func (e *engine) origin() codec.StreamOrigin {
	return codec.StreamOrigin{Pool: e.host.Pool, Software: e.host.Software}
}

// version returns the weight version of a model that the engine serves; an engine whose entry lists no models serves
// any model.
func (e *engine) version(now time.Time, model identifier.ModelName) (version identifier.WeightVersion, known bool) {
	version, known = e.seenVersions[model]
	if listed, ok := e.listedVersion(model); ok {
		if wrong, ok := e.contradictions[model]; ok && wrong.listed == listed && now.Before(wrong.until) {
			return version, known
		}
		return max(version, listed), true
	}
	return version, known || len(e.host.Models) == 0
}

func (e *engine) listedVersion(model identifier.ModelName) (identifier.WeightVersion, bool) {
	for _, state := range e.host.Models {
		if state.Model == model {
			return state.Serving, true
		}
	}
	return 0, false
}

// contradict records that the engine serves an older version of a model than its list entry says.
func (e *engine) contradict(now time.Time, model identifier.ModelName, version identifier.WeightVersion) {
	e.seenVersions[model] = version
	if listed, ok := e.listedVersion(model); ok && listed > version {
		e.contradictions[model] = contradiction{listed: listed, until: now.Add(contradictionTime)}
	}
}

// measure updates the average event interval. A single long interval, such as during a change of weights, says little
// about the engine's speed, so it is capped.
func (e *engine) measure(now time.Time, interval time.Duration) {
	if e.eventInterval == 0 || now.Sub(e.measuredAt) > speedMaxAge {
		e.eventInterval = interval
	} else {
		e.eventInterval += time.Duration(speedWeight * float64(min(interval, maxIntervalRatio*e.eventInterval)-e.eventInterval))
	}
	e.measuredAt = now
}

func (e *engine) pause(now time.Time, length time.Duration) {
	if until := now.Add(length); until.After(e.usableAt) {
		e.usableAt = until
	}
}

// refuse pauses the engine after it refused a run. Runs that are refused during a pause were sent before it.
func (e *engine) refuse(now time.Time) {
	if now.Before(e.usableAt) {
		return
	}
	e.pause(now, min(fullPause<<min(e.refusals, 10), maxFullPause))
	e.refusals++
}

// serves reports whether the engine may run items of a job now.
func (e *engine) serves(now time.Time, j *job) bool {
	return !now.Before(e.usableAt) && !(e.unproven && e.inFlight > 0) && e.suits(now, j)
}

// suits reports whether the engine may run items of a job, now or after a pause.
func (e *engine) suits(now time.Time, j *job) bool {
	if e.host.State == codec.HostStateLeaving || !j.allowsPool(e.host.Pool) {
		return false
	}
	version, known := e.version(now, j.job.Model)
	return j.job.Model == "" || known && version >= j.job.MinVersion
}

// applyLoad derives the requests of other hosts from the load that the engine has stated.
func (e *engine) applyLoad(now time.Time, load codec.LoadReport) {
	e.others = max(0, load.Running+load.Queued-e.inFlight)
	e.othersAt = now
}

// freeSlots returns the slots that neither this host's runs nor, as far as it knows, the requests of others take up.
func (e *engine) freeSlots(now time.Time) int {
	free := e.slots() - e.inFlight
	if now.Sub(e.othersAt) <= loadMaxAge {
		free -= e.others
	}
	return free
}

// assignModels sets the model that each engine mainly serves: the one of which it has the newest weights, compared with the
// newest ones among the engines. Engines that have the same of several models are divided among these in the order of zones and
// ids, as the holder of the lease for orders divides them.
func (b *Batcher) assignModels() {
	newest := make(map[identifier.ModelName]identifier.WeightVersion)
	engines := make([]*engine, 0, len(b.engines))
	for _, e := range b.engines {
		engines = append(engines, e)
		for _, state := range e.host.Models {
			newest[state.Model] = max(newest[state.Model], state.Serving)
		}
	}
	slices.SortFunc(engines, func(x, y *engine) int {
		return cmp.Or(cmp.Compare(x.host.Pool, y.host.Pool), cmp.Compare(x.host.Zone, y.host.Zone), cmp.Compare(x.host.ID, y.host.ID))
	})
	index := make(map[identifier.PoolName]int)
	for _, e := range engines {
		e.model = e.leastBehind(newest, index[e.host.Pool])
		index[e.host.Pool]++
	}
}

// leastBehind returns the model whose weights on the engine are the fewest versions behind; index chooses among equal ones.
func (e *engine) leastBehind(newest map[identifier.ModelName]identifier.WeightVersion, index int) identifier.ModelName {
	var best []identifier.ModelName
	var bestLag identifier.WeightVersion
	for _, state := range e.host.Models {
		lag := newest[state.Model] - state.Serving
		switch {
		case len(best) == 0 || lag < bestLag:
			best, bestLag = []identifier.ModelName{state.Model}, lag
		case lag == bestLag:
			best = append(best, state.Model)
		}
	}
	if len(best) == 0 {
		return ""
	}
	return best[index%len(best)]
}

// replaceEngines applies a new list and keeps the state of engines that remain. An engine that restarted under its ID or
// changed its address counts as new.
func (b *Batcher) replaceEngines(lists map[identifier.PoolName][]codec.ListedHost) {
	next := make(map[identifier.UpstreamID]*engine)
	for _, hosts := range lists {
		for _, host := range hosts {
			known, ok := b.engines[host.ID]
			if !ok || known.host.Address != host.Address || !known.host.StartedAt.Equal(host.StartedAt) || known.host.Software != host.Software {
				known = newEngine(host)
			}
			known.host = host
			next[host.ID] = known
		}
	}
	b.completion.listEngines(b.engines, next)
	b.engines = next
	b.engineIDs = b.engineIDs[:0]
	for id := range next {
		b.engineIDs = append(b.engineIDs, id)
	}
	slices.Sort(b.engineIDs)
	b.assignModels()
}

// typicalInterval returns the lower median of the engines' event intervals, or zero if no engine has a valid one.
func (b *Batcher) typicalInterval(now time.Time) time.Duration {
	var intervals []time.Duration
	for _, e := range b.engines {
		if e.measured(now) {
			intervals = append(intervals, e.eventInterval)
		}
	}
	if len(intervals) == 0 {
		return 0
	}
	slices.Sort(intervals)
	return intervals[(len(intervals)-1)/2]
}

func (e *engine) measured(now time.Time) bool {
	return e.eventInterval > 0 && now.Sub(e.measuredAt) <= speedMaxAge
}

// slowness returns the ratio of the engine's event interval to the typical one, or 1 if the engine was not measured
// recently.
func (e *engine) slowness(now time.Time, typical time.Duration) float64 {
	if typical <= 0 || !e.measured(now) {
		return 1
	}
	return float64(e.eventInterval) / float64(typical)
}
