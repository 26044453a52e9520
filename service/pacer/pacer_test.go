package pacer_test

import (
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"celerygap.example/lib/codec"
	"celerygap.example/lib/identifier"
	"celerygap.example/service/pacer"
)

const upstream = identifier.UpstreamID("u")

var start = time.Unix(1000, 0)

func response(perSecond float64, sentAt time.Time) pacer.ResponseReceived {
	return pacer.ResponseReceived{Upstream: upstream, PerSecond: perSecond, SentAt: sentAt}
}

func proceeds(commands []pacer.Command) bool {
	return slices.ContainsFunc(commands, func(c pacer.Command) bool {
		_, ok := c.(pacer.Proceed)
		return ok
	})
}

func requested(commands []pacer.Command) (request codec.TurnRequest, ok bool) {
	for _, command := range commands {
		if c, found := command.(pacer.RequestTurns); found {
			return c.Request, true
		}
	}
	return codec.TurnRequest{}, false
}

// Guards against a limit that never ends, and against one that ends because of a response that was overtaken: only a response
// to a request that was sent after the limit was named may end it.
func TestLimitEndsWithALaterResponse(t *testing.T) {
	p := pacer.New()
	require.True(t, proceeds(p.Handle(start, pacer.TurnWanted{Upstream: upstream})))
	p.Handle(start, response(5, start.Add(-time.Second)))
	require.False(t, proceeds(p.Handle(start, pacer.TurnWanted{Upstream: upstream})))
	p.Handle(start.Add(time.Second), response(0, start.Add(-time.Millisecond)))
	require.False(t, p.Available(start.Add(time.Second), upstream))
	commands := p.Handle(start.Add(time.Second), response(0, start.Add(time.Millisecond)))
	require.True(t, p.Available(start.Add(time.Second), upstream))
	request, ok := requested(commands)
	require.True(t, ok, "the host that hands out turns must learn that the limit has ended")
	require.Zero(t, request.Count)
	require.Zero(t, request.Limit.PerSecond)
}

// Guards against a host that never sends to an upstream again: the host that hands out turns knows that the limit has ended, so it
// hands out none, and this one does not believe it, because both heard of the limit within the time of a call.
func TestEndOfALimitHeardFromAnotherHostCounts(t *testing.T) {
	for _, delay := range []time.Duration{0, 5 * time.Millisecond, 50 * time.Millisecond} {
		p, s := pacer.New(), pacer.NewScheduler()
		p.Handle(start, response(5, start))
		at := start.Add(time.Millisecond)
		request, ok := requested(p.Handle(at, pacer.TurnWanted{Upstream: upstream}))
		require.True(t, ok)
		at = at.Add(delay)
		ended := codec.TurnRequest{Upstream: upstream, Limit: codec.HeardLimit{}}
		s.Grant(at, ended, true)
		reply := s.Grant(at, request, true)
		require.Empty(t, reply.Turns)
		at = at.Add(delay)
		p.Handle(at, pacer.TurnsReceived{Upstream: upstream, Reply: reply})
		require.True(t, p.Available(at, upstream), "delay %s", delay)
	}
}

// Guards against turns that are saved up and used in a burst, and against turns that are used before their time.
func TestTurnsAreUsedInTime(t *testing.T) {
	p := pacer.New()
	p.Handle(start, response(5, start))
	request, ok := requested(p.Handle(start, pacer.TurnWanted{Upstream: upstream}))
	require.True(t, ok)
	require.Equal(t, 1, request.Count)
	_, ok = requested(p.Handle(start, pacer.TurnWanted{Upstream: upstream}))
	require.False(t, ok, "one request for turns at a time")
	p.Handle(start, pacer.TurnsReceived{Upstream: upstream, Reply: codec.TurnReply{
		Limit: codec.HeardLimit{PerSecond: 5}, Turns: []identifier.Duration{0, identifier.Duration(200 * time.Millisecond), identifier.Duration(time.Second)},
	}})
	require.True(t, proceeds(p.Handle(start, pacer.TurnWanted{Upstream: upstream})))
	require.False(t, proceeds(p.Handle(start.Add(100*time.Millisecond), pacer.TurnWanted{Upstream: upstream})))
	require.True(t, proceeds(p.Handle(start.Add(200*time.Millisecond), pacer.TurnWanted{Upstream: upstream})))
	require.False(t, proceeds(p.Handle(start.Add(2500*time.Millisecond), pacer.TurnWanted{Upstream: upstream})), "the last turn has expired")
}

// Guards against a host that keeps to a limit that has ended or hears of one too late: the reply to a request for turns carries
// what other hosts heard last.
func TestHostsLearnTheLimitFromEachOther(t *testing.T) {
	s := pacer.NewScheduler()
	heard := func(perSecond float64, age time.Duration, count int) codec.TurnRequest {
		return codec.TurnRequest{Upstream: upstream, Count: count, Limit: codec.HeardLimit{PerSecond: perSecond, Age: identifier.Duration(age)}}
	}
	require.Len(t, s.Grant(start, heard(5, 0, 1), true).Turns, 1)
	now := start.Add(time.Second)
	s.Grant(now, heard(0, 0, 0), true)
	reply := s.Grant(now.Add(time.Second), heard(5, 2*time.Second, 1), true)
	require.Zero(t, reply.Limit.PerSecond)
	require.Empty(t, reply.Turns)
	require.Equal(t, time.Second, reply.Limit.Age.Std())
	reply = s.Grant(now.Add(2*time.Second), heard(3, 0, 1), true)
	require.EqualValues(t, 3, reply.Limit.PerSecond)
	require.Len(t, reply.Turns, 1)
}

// fleet is hosts that have more requests for one upstream than it takes, in simulated time.
type fleet struct {
	now        time.Time
	perSecond  float64
	hosts      []*pacer.Pacer
	schedulers map[int]*pacer.Scheduler
	// first is the host that hands out turns; lost holds the hosts that cannot reach it and ask the substitute.
	first, substitute int
	lost              map[int]bool
	// due holds the replies under way.
	due  []delivery
	sent []time.Time
	// requests counts the requests for turns.
	requests int
}

type delivery struct {
	at    time.Time
	host  int
	reply codec.TurnReply
}

func newFleet(hosts int, perSecond float64) *fleet {
	f := &fleet{now: start, perSecond: perSecond, schedulers: make(map[int]*pacer.Scheduler), lost: make(map[int]bool), substitute: 1}
	for range hosts {
		p := pacer.New()
		p.Handle(f.now, response(perSecond, f.now))
		f.hosts = append(f.hosts, p)
	}
	return f
}

func (f *fleet) scheduler(host int) *pacer.Scheduler {
	if f.schedulers[host] == nil {
		f.schedulers[host] = pacer.NewScheduler()
	}
	return f.schedulers[host]
}

// run lets every host send as much as it may for some time.
func (f *fleet) run(random *rand.Rand, length time.Duration) {
	for end := f.now.Add(length); f.now.Before(end); f.now = f.now.Add(5 * time.Millisecond) {
		f.deliver()
		for _, host := range random.Perm(len(f.hosts)) {
			commands := f.hosts[host].Handle(f.now, pacer.TurnWanted{Upstream: upstream})
			if proceeds(commands) {
				f.sent = append(f.sent, f.now)
				f.hosts[host].Handle(f.now, response(f.perSecond, f.now))
			}
			if request, ok := requested(commands); ok {
				f.request(random, host, request)
			}
		}
	}
}

func (f *fleet) deliver() {
	f.due = slices.DeleteFunc(f.due, func(d delivery) bool {
		if d.at.After(f.now) {
			return false
		}
		f.hosts[d.host].Handle(f.now, pacer.TurnsReceived{Upstream: upstream, Reply: d.reply})
		return true
	})
}

func (f *fleet) request(random *rand.Rand, host int, request codec.TurnRequest) {
	f.requests++
	scheduler := f.first
	if f.lost[host] {
		scheduler = f.substitute
	}
	reply := f.scheduler(scheduler).Grant(f.now, request, scheduler == f.first)
	f.due = append(f.due, delivery{at: f.now.Add(time.Duration(random.IntN(25)) * time.Millisecond), host: host, reply: reply})
}

// most returns the largest number of requests in 4 s.
func (f *fleet) most() int {
	most := 0
	for i, from := range f.sent {
		count := 0
		for _, at := range f.sent[i:] {
			if at.Sub(from) < 4*time.Second {
				count++
			}
		}
		most = max(most, count)
	}
	return most
}

// Guards against hosts that together exceed a limit, or leave much of it unused, also when another host hands out the turns
// from some moment on, and when some hosts reach only a substitute.
func TestFleetKeepsAndUsesALimit(t *testing.T) {
	for _, perSecond := range []float64{0.3, 1, 3.8, 40} {
		for seed := range uint64(10) {
			random := rand.New(rand.NewPCG(seed, 1))
			f := newFleet(1+random.IntN(20), perSecond)
			f.run(random, 20*time.Second)
			require.GreaterOrEqual(t, float64(len(f.sent)), 0.75*perSecond*20, "limit %v, seed %d, %d hosts", perSecond, seed, len(f.hosts))
			f.first, f.substitute = 2, 3
			f.run(random, 10*time.Second)
			for host := range f.hosts {
				f.lost[host] = random.IntN(3) == 0
			}
			f.run(random, 10*time.Second)
			require.LessOrEqual(t, float64(f.most()), 1.5*4*perSecond+5, "limit %v, seed %d, %d hosts", perSecond, seed, len(f.hosts))
		}
	}
}

// Guards against a host that is flooded with requests for turns while many hosts wait for them.
func TestWaitingHostsAskSeldom(t *testing.T) {
	for _, perSecond := range []float64{1, 4, 50} {
		f := newFleet(200, perSecond)
		f.run(rand.New(rand.NewPCG(1, 3)), 5*time.Second)
		asked := f.requests
		f.run(rand.New(rand.NewPCG(1, 4)), 10*time.Second)
		require.LessOrEqual(t, f.requests-asked, 3*10*len(f.hosts), "limit %v", perSecond)
		require.GreaterOrEqual(t, float64(len(f.sent)), 0.75*perSecond*15, "limit %v", perSecond)
	}
}

// Guards against a host whose requests get no turns because others ask more often.
func TestEveryHostGetsTurns(t *testing.T) {
	random := rand.New(rand.NewPCG(1, 2))
	f := newFleet(10, 5)
	counts := make([]int, len(f.hosts))
	for range 30 * 200 {
		f.deliver()
		for _, host := range random.Perm(len(f.hosts)) {
			commands := f.hosts[host].Handle(f.now, pacer.TurnWanted{Upstream: upstream})
			if proceeds(commands) {
				counts[host]++
			}
			if request, ok := requested(commands); ok {
				f.request(random, host, request)
			}
		}
		f.now = f.now.Add(5 * time.Millisecond)
	}
	require.GreaterOrEqual(t, slices.Min(counts), 5, "turns of each host: %v", counts)
}
