package router_test

import (
	"container/heap"
	"fmt"
	"math"
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"celerygap.example/lib/codec"
	"celerygap.example/lib/identifier"
	"celerygap.example/service/connector"
	"celerygap.example/service/estimator"
	"celerygap.example/service/router"
)

const (
	playHosts   = 32
	playServers = 8
	playSlots   = 6
	playQueue   = 18
	playMean    = 0.025
)

// playLoad is a load of many hosts on plain upstreams.
type playLoad struct {
	name string
	// cost draws the work of a request in seconds and the size of its body.
	cost func(*rand.Rand) (seconds float64, bytes int)
	// speed is the lasting time per work of a server in relation to the usual one.
	speed func(i int) float64
	// noise lets all servers take up to 2.5 times as long for 15% of the time, anew each 600 ms.
	noise bool
	// utilization is the share of the capacity that is requested.
	utilization float64
	length      time.Duration
}

type agendaEvent struct {
	at time.Duration
	do func()
}

type agenda []agendaEvent

func (a agenda) Len() int           { return len(a) }
func (a agenda) Less(i, j int) bool { return a[i].at < a[j].at }
func (a agenda) Swap(i, j int)      { a[i], a[j] = a[j], a[i] }
func (a *agenda) Push(x any)        { *a = append(*a, x.(agendaEvent)) }
func (a *agenda) Pop() any {
	last := (*a)[len(*a)-1]
	*a = (*a)[:len(*a)-1]
	return last
}

type playServer struct {
	speed   float64
	running int
	queue   []func()
}

type routePlay struct {
	load     playLoad
	seed     uint64
	figures  int
	random   *rand.Rand
	now      time.Duration
	agenda   agenda
	servers  []*playServer
	hosts    []*router.Router
	costs    []*estimator.Estimator
	idle     map[[2]int]int
	times    []float64
	rejected int
	opened   int
	warmup   time.Duration
}

var playStart = time.Unix(1000, 0)

func (p *routePlay) clock() time.Time { return playStart.Add(p.now) }

func (p *routePlay) in(d time.Duration, do func()) { heap.Push(&p.agenda, agendaEvent{p.now + d, do}) }

func (p *routePlay) slowness(i int) float64 {
	if !p.load.noise {
		return 1
	}
	random := rand.New(rand.NewPCG(p.seed<<32+uint64(p.now/(600*time.Millisecond)), uint64(i)))
	if random.Float64() < 0.15 {
		return 1 + 1.5*random.Float64()
	}
	return 1
}

func (p *routePlay) report(i int) codec.LoadReport {
	s := p.servers[i]
	report := codec.LoadReport{ID: serverID(i), Running: s.running, Queued: len(s.queue), Slots: playSlots, ReportedAt: p.clock()}
	if p.figures == 4 {
		report.Slowness = p.slowness(i)
	}
	return report
}

func serverID(i int) identifier.UpstreamID { return identifier.UpstreamID(fmt.Sprintf("s%02d", i)) }

// send sends a request of a host; a rejected one is sent again elsewhere.
func (p *routePlay) send(host int, seconds float64, bytes int, began time.Duration, excluded []identifier.UpstreamID) {
	r, now := p.hosts[host], p.clock()
	key := estimator.Key{Route: "r", Size: estimator.SizeOf(identifier.Bytes(bytes))}
	estimate := p.costs[host].Estimate(key).Mean
	commands := r.Handle(now, router.Route{
		Pool: "p", Prompt: fmt.Sprint("host", host), Excluded: excluded, Work: estimate, Bytes: identifier.Bytes(bytes),
	})
	chosen, ok := commands[0].(router.Chosen)
	if !ok {
		return
	}
	id := chosen.Upstream.ID
	var i int
	_, _ = fmt.Sscanf(string(id), "s%d", &i)
	r.Handle(now, router.AttemptStarted{Upstream: id, Work: estimate})
	way := 300 * time.Microsecond
	if p.idle[[2]int{host, i}] > 0 {
		p.idle[[2]int{host, i}]--
	} else {
		way += time.Millisecond
		p.opened++
	}
	s, sentAt := p.servers[i], now
	finish := func(rejected bool) {
		if !rejected {
			p.leave(s)
		}
		report := p.report(i)
		p.in(300*time.Microsecond, func() {
			now := p.clock()
			p.idle[[2]int{host, i}]++
			r.Handle(now, router.LoadReported{Report: report})
			r.Handle(now, router.AttemptEnded{Upstream: id, StartedAt: sentAt, Work: estimate})
			if rejected {
				p.rejected++
				r.Handle(now, router.AttemptRefused{Upstream: id})
				p.send(host, seconds, bytes, began, append(slices.Clip(excluded), id))
				return
			}
			if p.now > p.warmup {
				p.times = append(p.times, (p.now - began).Seconds())
			}
			took := now.Sub(sentAt)
			if report.Queued == 0 {
				relative := r.Speed(now, id)
				p.costs[host].Learn(key, took.Seconds()/relative)
				r.Handle(now, router.Worked{Upstream: id, Work: estimate, Took: took, Rough: true})
			}
		})
	}
	p.in(way, func() {
		run := func() {
			p.in(time.Duration(seconds*s.speed*p.slowness(i)*float64(time.Second)), func() { finish(false) })
		}
		switch {
		case s.running < playSlots:
			s.running++
			run()
		case len(s.queue) < playQueue:
			s.queue = append(s.queue, run)
		default:
			finish(true)
		}
	})
}

func (p *routePlay) leave(s *playServer) {
	s.running--
	if len(s.queue) > 0 {
		next := s.queue[0]
		s.queue = s.queue[1:]
		s.running++
		next()
	}
}

// playResult is what callers got: percentiles of the response time in seconds, and shares.
type playResult struct{ p50, p99, rejected, opened float64 }

func runRoutePlay(load playLoad, policy router.PolicyName, figures int, seed uint64) playResult {
	p := &routePlay{
		load: load, seed: seed, figures: figures, random: rand.New(rand.NewPCG(seed, 3)), idle: make(map[[2]int]int), warmup: load.length / 3,
	}
	var upstreams []connector.Upstream
	capacity := 0.0
	for i := range playServers {
		p.servers = append(p.servers, &playServer{speed: load.speed(i)})
		upstreams = append(upstreams, connector.Upstream{ID: serverID(i), Address: string(serverID(i)), Zone: "z", Region: "r"})
		usual := playMean * load.speed(i)
		if load.noise {
			usual *= 1.11
		}
		capacity += playSlots / usual
	}
	rate := load.utilization * capacity
	for h := range playHosts {
		r := router.New(router.Config{
			Host: identifier.HostID(fmt.Sprint("host", h)), Zone: "z", Region: "r", Policy: policy, Random: rand.New(rand.NewPCG(seed, uint64(h))),
		})
		r.Handle(playStart, router.PoolChanged{Pool: "p", Upstreams: upstreams})
		p.hosts = append(p.hosts, r)
		p.costs = append(p.costs, estimator.New(estimator.Config{Lowest: 1e-4, PriorMedian: playMean}))
	}
	var arrive func()
	requests := 0
	arrive = func() {
		requests++
		seconds, bytes := load.cost(p.random)
		p.send(p.random.IntN(playHosts), seconds, bytes, p.now, nil)
		p.in(time.Duration(p.random.ExpFloat64()/rate*float64(time.Second)), arrive)
	}
	p.in(0, arrive)
	for len(p.agenda) > 0 && p.agenda[0].at < load.length {
		next := heap.Pop(&p.agenda).(agendaEvent)
		p.now = next.at
		next.do()
	}
	slices.Sort(p.times)
	return playResult{
		p50: p.times[len(p.times)/2], p99: p.times[len(p.times)*99/100], rejected: float64(p.rejected) / float64(requests),
		opened: float64(p.opened) / float64(requests),
	}
}

func bimodal(random *rand.Rand) (seconds float64, bytes int) {
	if random.Float64() < 0.1 {
		return 0.16, 4000 + random.IntN(4000)
	}
	return 0.01, 200 + random.IntN(800)
}

// alike is bimodal without a size that tells the costs apart.
func alike(random *rand.Rand) (seconds float64, bytes int) {
	seconds, _ = bimodal(random)
	return seconds, 500
}

func heavyTail(random *rand.Rand) (seconds float64, bytes int) {
	return min(0.0125*math.Pow(1-random.Float64(), -1/1.9), 2), 500
}

func even(int) float64 { return 1 }

func twoSpeeds(i int) float64 { return []float64{0.6, 0.6, 0.6, 2}[i%4] }

func uneven(i int) float64 { return 0.55 + 0.65*float64(i)/(playServers-1) }

var playLoads = []playLoad{
	{"bimodal, two speeds", bimodal, twoSpeeds, false, 0.8, 4 * time.Second},
	{"alike, two speeds", alike, twoSpeeds, false, 0.8, 4 * time.Second},
	{"bimodal, uneven, noise", bimodal, uneven, true, 0.8, 4 * time.Second},
	{"heavy tail, noise", heavyTail, even, true, 0.8, 4 * time.Second},
	{"heavy tail, uneven, noise", heavyTail, uneven, true, 0.8, 4 * time.Second},
	{"few requests", bimodal, uneven, true, 0.05, 24 * time.Second},
}

// meanOf returns the mean of the results of five seeds.
func meanOf(load playLoad, policy router.PolicyName, figures int) (mean playResult) {
	const seeds = 5
	for seed := range uint64(seeds) {
		r := runRoutePlay(load, policy, figures, seed+1)
		mean.p50 += r.p50 / seeds
		mean.p99 += r.p99 / seeds
		mean.rejected += r.rejected / seeds
		mean.opened += r.opened / seeds
	}
	return mean
}

// Guards against a choice by cost that serves callers worse than the other policies of the router, on the loads that it is for,
// and that opens more connections.
func TestChoiceByCostAgainstTheOtherPolicies(t *testing.T) {
	for _, load := range playLoads {
		cost, present := meanOf(load, router.PolicyPrefix, 4), meanOf(load, router.PolicyPrefix, 3)
		t.Log(load.name, "cost", cost, "prefix", present)
		require.LessOrEqual(t, cost.p99, 1.02*present.p99, load.name)
		require.Less(t, cost.rejected, 0.02, load.name)
		require.Less(t, cost.opened, 1.1*present.opened, load.name)
		if load.name == "bimodal, two speeds" {
			require.Less(t, cost.p99, 0.7*present.p99)
			for _, policy := range []router.PolicyName{router.PolicyRoundRobin, router.PolicyTwoChoices, router.PolicyLeastInFlight} {
				other := meanOf(load, policy, 3)
				t.Log(load.name, policy, other)
				require.Less(t, cost.p99, other.p99)
			}
		}
	}
}

func (r playResult) String() string {
	return fmt.Sprintf("p50 %.1f ms, p99 %.0f ms, rejected %.2f%%, opened %.1f%%;", 1000*r.p50, 1000*r.p99, 100*r.rejected, 100*r.opened)
}
