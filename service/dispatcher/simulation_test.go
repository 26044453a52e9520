package dispatcher_test

import (
	"container/heap"
	"flag"
	"fmt"
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"celerygap.example/lib/codec"
	"celerygap.example/lib/identifier"
	"celerygap.example/service/connector"
	"celerygap.example/service/limiter"
	"celerygap.example/service/router"
)

var measure = flag.Bool("measure", false, "print the figures of five seeds")

// The simulated deployment: 8 hosts and 9 engines in 3 zones of 2 regions, in simulated time.
const (
	simSlots           = 8
	simCacheSize       = 20
	simPrefixes        = 120
	simMeanServiceTime = time.Second
	simCapacity        = 9 * simSlots // requests per second
	simDuration        = 120 * time.Second
	simWarmup          = 20 * time.Second
)

type simEngine struct {
	at      connector.Upstream
	running int
	queue   []*simRequest
	cache   []string
}

type simHost struct {
	region  identifier.Region
	router  *router.Router
	limiter *limiter.Limiter
}

type simRequest struct {
	id      limiter.RequestID
	host    *simHost
	class   codec.EntryClass
	prompt  string
	arrived time.Time
	service time.Duration
}

type simEvent struct {
	at  time.Time
	run func()
}

type simEvents []simEvent

func (e simEvents) Len() int           { return len(e) }
func (e simEvents) Less(i, j int) bool { return e[i].at.Before(e[j].at) }
func (e simEvents) Swap(i, j int)      { e[i], e[j] = e[j], e[i] }
func (e *simEvents) Push(x any)        { *e = append(*e, x.(simEvent)) }
func (e *simEvents) Pop() any {
	last := (*e)[len(*e)-1]
	*e = (*e)[:len(*e)-1]
	return last
}

type sim struct {
	now      time.Time
	begin    time.Time
	events   simEvents
	random   *rand.Rand
	hosts    []*simHost
	engines  map[identifier.UpstreamID]*simEngine
	requests map[limiter.RequestID]*simRequest
	// Counts and latencies of the requests that arrived after the warm-up; trained also counts those before it.
	runs, hits, remote, arrived, refused, trained int
	latencies                                     []time.Duration
}

func newSim(policy router.PolicyName, seed uint64) *sim {
	s := &sim{now: time.Unix(1e6, 0), random: rand.New(rand.NewPCG(seed, 1)), engines: make(map[identifier.UpstreamID]*simEngine), requests: make(map[limiter.RequestID]*simRequest)}
	s.begin = s.now
	zones := []struct {
		zone   identifier.Zone
		region identifier.Region
	}{{"a", "r1"}, {"b", "r1"}, {"c", "r2"}}
	var list []connector.Upstream
	for i := range 9 {
		at := connector.Upstream{ID: simEngineID(i), Zone: zones[i%3].zone, Region: zones[i%3].region}
		list = append(list, at)
		s.engines[at.ID] = &simEngine{at: at}
	}
	for i := range 8 {
		z := zones[i%3]
		h := &simHost{region: z.region, limiter: limiter.New(limiter.Config{}), router: router.New(router.Config{
			Host: identifier.HostID(fmt.Sprint(i)), Zone: z.zone, Region: z.region, Policy: policy, Random: s.random,
		})}
		h.router.Handle(s.now, router.PoolChanged{Pool: "p", Upstreams: list})
		h.limiter.Handle(s.now, limiter.Configured{Entries: []limiter.EntryLimits{{Entry: "live", Pool: "p"}, {Entry: "training", Pool: "p"}}})
		s.hosts = append(s.hosts, h)
	}
	s.report()
	return s
}

func simEngineID(i int) identifier.UpstreamID { return identifier.UpstreamID(fmt.Sprintf("e%d", i)) }

func (s *sim) after(wait time.Duration, run func()) {
	heap.Push(&s.events, simEvent{s.now.Add(wait), run})
}

// report takes the load of each engine every second and delivers it to the hosts one second later.
func (s *sim) report() {
	for i := range len(s.engines) {
		e := s.engines[simEngineID(i)]
		report := codec.LoadReport{ID: e.at.ID, Running: e.running, Queued: len(e.queue), Slots: simSlots, ReportedAt: s.now}
		s.after(time.Second, func() {
			for _, h := range s.hosts {
				h.router.Handle(s.now, router.LoadReported{Report: report})
			}
		})
	}
	s.after(time.Second, func() {
		for _, h := range s.hosts {
			slots, load := h.router.Occupancy(s.now, "p")
			s.apply(h.limiter.Handle(s.now, limiter.PoolSized{Pool: "p", Slots: slots, Load: load}))
			s.apply(h.limiter.Handle(s.now, limiter.Tick{}))
		}
	})
	s.after(time.Second, s.report)
}

// offer makes requests of a class arrive at random with a mean rate per second.
func (s *sim) offer(class codec.EntryClass, rate float64, deadline time.Duration) {
	zipf := rand.NewZipf(s.random, 1.1, 1, simPrefixes-1)
	var next func()
	next = func() {
		s.after(time.Duration(s.random.ExpFloat64()/rate*float64(time.Second)), next)
		r := &simRequest{
			id: limiter.RequestID(len(s.requests) + 1), host: s.hosts[s.random.IntN(len(s.hosts))], class: class, prompt: fmt.Sprintf("%s %d", class, zipf.Uint64()),
			arrived: s.now, service: time.Duration(s.random.ExpFloat64() * float64(simMeanServiceTime)),
		}
		s.requests[r.id] = r
		if s.isMeasured(r) {
			s.arrived++
		}
		s.apply(r.host.limiter.Handle(s.now, limiter.Arrived{ID: r.id, Entry: identifier.EntryName(class), Class: class, Deadline: s.now.Add(deadline)}))
	}
	next()
}

func (s *sim) isMeasured(r *simRequest) bool {
	return r.class == codec.EntryClassLive && r.arrived.Sub(s.begin) > simWarmup
}

func (s *sim) apply(commands []limiter.Command) {
	for _, command := range commands {
		switch c := command.(type) {
		case limiter.Admitted:
			s.start(s.requests[c.ID])
		case limiter.Refused:
			if s.isMeasured(s.requests[c.ID]) {
				s.refused++
			}
		}
	}
}

func (s *sim) start(r *simRequest) {
	chosen := r.host.router.Handle(s.now, router.Route{Pool: "p", Prompt: r.prompt})[0].(router.Chosen).Upstream
	r.host.router.Handle(s.now, router.AttemptStarted{Upstream: chosen.ID})
	e := s.engines[chosen.ID]
	e.queue = append(e.queue, r)
	s.startQueued(e)
}

// startQueued starts queued requests while the engine has free slots, live ones first.
func (s *sim) startQueued(e *simEngine) {
	for e.running < simSlots && len(e.queue) > 0 {
		index := max(0, slices.IndexFunc(e.queue, func(r *simRequest) bool { return r.class == codec.EntryClassLive }))
		r := e.queue[index]
		e.queue = slices.Delete(e.queue, index, index+1)
		e.running++
		s.recordRun(e, r)
		s.after(r.service, func() {
			e.running--
			if r.class == codec.EntryClassTraining {
				s.trained++
			}
			if s.isMeasured(r) {
				s.latencies = append(s.latencies, s.now.Sub(r.arrived))
			}
			r.host.router.Handle(s.now, router.AttemptEnded{Upstream: e.at.ID})
			s.apply(r.host.limiter.Handle(s.now, limiter.Finished{ID: r.id}))
			s.startQueued(e)
		})
	}
}

func (s *sim) recordRun(e *simEngine, r *simRequest) {
	found := slices.Index(e.cache, r.prompt)
	if found >= 0 {
		e.cache = slices.Delete(e.cache, found, found+1)
	}
	e.cache = append(e.cache, r.prompt)
	e.cache = e.cache[max(0, len(e.cache)-simCacheSize):]
	if !s.isMeasured(r) {
		return
	}
	s.runs++
	if found >= 0 {
		s.hits++
	}
	if e.at.Region != r.host.region {
		s.remote++
	}
}

func (s *sim) run() *sim {
	end := s.begin.Add(simDuration)
	for s.events[0].at.Before(end) {
		event := heap.Pop(&s.events).(simEvent)
		s.now = event.at
		event.run()
	}
	slices.Sort(s.latencies)
	return s
}

func (s *sim) percentile(p float64) float64 {
	return s.latencies[int(p*float64(len(s.latencies)-1))].Seconds()
}

func seeds() []uint64 {
	if *measure {
		return []uint64{1, 2, 3, 4, 5}
	}
	return []uint64{1}
}

// Guards against routing that ignores cached prefixes. With -measure it also prints the fraction of runs in another
// region.
func TestPrefixHitRate(t *testing.T) {
	for _, seed := range seeds() {
		rates := make(map[router.PolicyName]float64)
		for _, policy := range []router.PolicyName{router.PolicyPrefix, router.PolicyTwoChoices, router.PolicyRoundRobin} {
			s := newSim(policy, seed)
			s.offer(codec.EntryClassLive, 0.6*simCapacity, 30*time.Second)
			s.run()
			rates[policy] = float64(s.hits) / float64(s.runs)
			if *measure {
				t.Logf("seed %d %-12s hits %.3f other region %.3f p50 %.2f s p99 %.2f s", seed, policy, rates[policy], float64(s.remote)/float64(s.runs), s.percentile(0.5), s.percentile(0.99))
			}
		}
		require.Greater(t, rates[router.PolicyPrefix], rates[router.PolicyRoundRobin]+0.05)
	}
}

// Guards against training load that slows down live requests.
func TestLiveLatencyUnderOverload(t *testing.T) {
	for _, seed := range seeds() {
		worst := make(map[float64]float64)
		for _, load := range []struct{ live, training float64 }{{0.5, 0}, {0.5, 1}, {1.5, 0}, {1.5, 1}} {
			s := newSim(router.PolicyPrefix, seed)
			s.offer(codec.EntryClassLive, load.live*simCapacity, 10*time.Second)
			if load.training > 0 {
				s.offer(codec.EntryClassTraining, load.training*simCapacity, 10*time.Minute)
			}
			s.run()
			if load.live < 1 {
				worst[load.training] = s.percentile(0.99)
			}
			if *measure {
				t.Logf("seed %d live %.1f training %.1f of capacity: refused %.3f p50 %.2f s p99 %.2f s, training done %.2f of capacity", seed, load.live, load.training, float64(s.refused)/float64(s.arrived), s.percentile(0.5), s.percentile(0.99), float64(s.trained)/simDuration.Seconds()/simCapacity)
			}
		}
		require.Less(t, worst[1], 1.5*worst[0])
	}
}
