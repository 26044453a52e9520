package limiter_test

import (
	"container/heap"
	"fmt"
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"celerygap.example/lib/codec"
	"celerygap.example/lib/identifier"
	"celerygap.example/service/limiter"
)

// flow is the load of one customer of a play.
type flow struct {
	customer  identifier.CustomerName
	rank      int
	perSecond float64
	duration  time.Duration
}

// share is what a customer got in a play.
type share struct {
	arrived, served int
	slotTime        time.Duration
	waits           []time.Duration
}

func (s *share) fraction() float64 { return float64(s.served) / float64(s.arrived) }

func (s *share) p99() time.Duration {
	slices.Sort(s.waits)
	return s.waits[len(s.waits)*99/100]
}

// moment is an arrival or an end in a play.
type moment struct {
	at   time.Time
	flow *flow
	id   limiter.RequestID
}

type moments []moment

func (m moments) Len() int           { return len(m) }
func (m moments) Less(i, j int) bool { return m[i].at.Before(m[j].at) }
func (m moments) Swap(i, j int)      { m[i], m[j] = m[j], m[i] }
func (m *moments) Push(x any)        { *m = append(*m, x.(moment)) }
func (m *moments) Pop() any {
	last := (*m)[len(*m)-1]
	*m = (*m)[:len(*m)-1]
	return last
}

// playSlots is the number of requests that the upstreams of a play run at once.
const playSlots = 40

// play feeds a limiter with the flows for a minute and returns what each customer got. With named unset, the limiter learns of no
// customers, as before there were any.
func play(seed uint64, flows []flow, named bool) map[identifier.CustomerName]*share {
	random := rand.New(rand.NewPCG(seed, 1))
	l := configured(limiter.EntryLimits{Entry: "e", Limits: codec.Limits{InFlight: playSlots}})
	shares := make(map[identifier.CustomerName]*share)
	arrived := make(map[limiter.RequestID]moment)
	var queue moments
	next := func(f *flow, from time.Time) {
		heap.Push(&queue, moment{at: from.Add(time.Duration(random.ExpFloat64() / f.perSecond * float64(time.Second))), flow: f})
	}
	for i := range flows {
		shares[flows[i].customer] = &share{}
		next(&flows[i], start)
	}
	var last limiter.RequestID
	for tick := start; queue[0].at.Before(start.Add(time.Minute)); {
		m := heap.Pop(&queue).(moment)
		var commands []limiter.Command
		for ; tick.Before(m.at); tick = tick.Add(50 * time.Millisecond) {
			commands = append(commands, l.Handle(tick, limiter.Tick{})...)
		}
		if m.id != 0 {
			commands = append(commands, l.Handle(m.at, limiter.Finished{ID: m.id})...)
		} else {
			last++
			m.id = last
			arrived[last] = m
			shares[m.flow.customer].arrived++
			event := limiter.Arrived{ID: last, Entry: "e", Class: codec.EntryClassLive, Deadline: m.at.Add(2 * time.Second)}
			if named {
				event.Customer, event.Rank = m.flow.customer, m.flow.rank
			}
			commands = append(commands, l.Handle(m.at, event)...)
			next(m.flow, m.at)
		}
		for _, command := range commands {
			if admitted, ok := command.(limiter.Admitted); ok {
				from := arrived[admitted.ID]
				took := time.Duration(random.ExpFloat64() * float64(from.flow.duration))
				s := shares[from.flow.customer]
				s.served++
				s.slotTime += took
				s.waits = append(s.waits, m.at.Sub(from.at))
				heap.Push(&queue, moment{at: m.at.Add(took), flow: from.flow, id: admitted.ID})
			}
		}
	}
	return shares
}

// heavyLoad is 1.5 times the capacity of a play: one customer sends 1.2 times of it, and 87 others share the rest unevenly.
func heavyLoad() []flow {
	const usual = 100 * time.Millisecond
	capacity := playSlots / usual.Seconds()
	flows := []flow{{customer: "heavy", perSecond: 1.2 * capacity, duration: usual}}
	for i := range 87 {
		flows = append(flows, flow{
			customer: identifier.CustomerName(fmt.Sprint("small", i)), perSecond: 0.3 * capacity / 87 * (0.5 + float64(i)/86), duration: usual,
		})
	}
	return flows
}

// Guards against a heavy customer that takes the capacity and the queue from many small ones: at 1.5 times the capacity, each small one
// is served nearly completely and waits less than in order of arrival, and no capacity is lost.
func TestHeavyCustomerDoesNotStarveSmallOnes(t *testing.T) {
	failOnViolation(t)
	for seed := uint64(1); seed <= 5; seed++ {
		fair, former := play(seed, heavyLoad(), true), play(seed, heavyLoad(), false)
		served, servedFormer := 0, 0
		worst, worstFormer := 1.0, 1.0
		small, smallFormer := &share{}, &share{}
		for name, s := range fair {
			f := former[name]
			served, servedFormer = served+s.served, servedFormer+f.served
			if name != "heavy" {
				worst, worstFormer = min(worst, s.fraction()), min(worstFormer, f.fraction())
				small.waits, smallFormer.waits = append(small.waits, s.waits...), append(smallFormer.waits, f.waits...)
			}
		}
		t.Logf("seed %d: smallest part served of a small customer %.2f, in order of arrival %.2f; heavy %.2f and %.2f; p99 wait %v and %v; served %d and %d",
			seed, worst, worstFormer, fair["heavy"].fraction(), former["heavy"].fraction(), small.p99(), smallFormer.p99(), served, servedFormer)
		require.Greater(t, worst, 0.97)
		require.Less(t, worstFormer, 0.75)
		require.Less(t, small.p99(), smallFormer.p99())
		require.Greater(t, float64(served), 0.98*float64(servedFormer))
		require.Greater(t, fair["heavy"].fraction(), 0.5, "the heavy customer gets what the small ones leave")
	}
}

// Guards against customers that get more of the upstreams' time than others because their requests take longer.
func TestSharesAreOfSlotTime(t *testing.T) {
	failOnViolation(t)
	flows := []flow{
		{customer: "long", perSecond: 160, duration: 500 * time.Millisecond},
		{customer: "short", perSecond: 600, duration: 50 * time.Millisecond},
	}
	for seed := uint64(1); seed <= 3; seed++ {
		ratio := func(named bool) float64 {
			shares := play(seed, flows, named)
			return shares["long"].slotTime.Seconds() / shares["short"].slotTime.Seconds()
		}
		fair, former := ratio(true), ratio(false)
		t.Logf("seed %d: slot time of long to that of short %.2f, in order of arrival %.2f", seed, fair, former)
		require.InDelta(t, 1, fair, 0.35)
		require.Greater(t, former, 2.0)
	}
}

// Guards against customers with a better priority that wait behind others, and against others that they starve.
func TestBetterRanksRunFirstAndStarveNobody(t *testing.T) {
	failOnViolation(t)
	flows := []flow{
		{customer: "first", rank: -5, perSecond: 480, duration: 100 * time.Millisecond},
		{customer: "last", rank: 4, perSecond: 120, duration: 100 * time.Millisecond},
	}
	for seed := uint64(1); seed <= 3; seed++ {
		shares := play(seed, flows, true)
		t.Logf("seed %d: first %.2f, last %.2f", seed, shares["first"].fraction(), shares["last"].fraction())
		require.Greater(t, shares["first"].fraction(), 0.7)
		require.Greater(t, shares["last"].fraction(), 0.3)
	}
	flows[0].perSecond = 280
	require.Greater(t, play(1, flows, true)["first"].fraction(), 0.99)
}

// Guards against a full queue that turns away a customer although another one has most of it, against the loss of an older request
// when a newer one of the same customer could go, and against a share that is kept for customers that send nothing.
func TestFullQueueIsSharedByCustomers(t *testing.T) {
	failOnViolation(t)
	l := configured(limiter.EntryLimits{Entry: "e", Limits: codec.Limits{InFlight: 1, Queue: 4}})
	send := func(id limiter.RequestID, customer identifier.CustomerName, rank int) []limiter.Command {
		return l.Handle(start, limiter.Arrived{ID: id, Entry: "e", Class: codec.EntryClassLive, Customer: customer, Rank: rank})
	}
	for id := limiter.RequestID(1); id <= 5; id++ {
		require.Len(t, send(id, "a", 0), 1)
	}
	require.IsType(t, limiter.Refused{}, send(6, "a", 0)[0])
	commands := send(7, "b", 0)
	require.Equal(t, limiter.Queued{ID: 7}, commands[0])
	require.EqualValues(t, 5, commands[1].(limiter.Refused).ID)
	require.EqualValues(t, 4, send(8, "b", 0)[1].(limiter.Refused).ID)
	require.IsType(t, limiter.Refused{}, send(9, "b", 0)[0], "both have two places")
	require.Equal(t, []limiter.Command{limiter.Admitted{ID: 7}}, l.Handle(start, limiter.Finished{ID: 1}), "a had its turn")
	require.Equal(t, []limiter.Command{limiter.Queued{ID: 10}}, send(10, "c", 7))
	require.EqualValues(t, 10, send(11, "d", -1)[1].(limiter.Refused).ID, "the lowest rank goes first")
	require.Equal(t, []limiter.Command{limiter.Admitted{ID: 11}}, l.Handle(start, limiter.Finished{ID: 7}))
}

// Measures an arrival at a full queue of 64 requests of 88 customers, and the end of a request, which admits the next one.
func BenchmarkFullQueue(b *testing.B) {
	l := configured(limiter.EntryLimits{Entry: "e", Limits: codec.Limits{InFlight: playSlots, Queue: 64}})
	names := make([]identifier.CustomerName, 88)
	for i := range names {
		names[i] = identifier.CustomerName(fmt.Sprint(i))
	}
	running := make([]limiter.RequestID, 0, 4*playSlots)
	var last limiter.RequestID
	for b.Loop() {
		last++
		customer := names[int(last*last)%len(names)]
		for _, command := range l.Handle(start, limiter.Arrived{ID: last, Entry: "e", Class: codec.EntryClassLive, Customer: customer}) {
			if admitted, ok := command.(limiter.Admitted); ok {
				running = append(running, admitted.ID)
			}
		}
		if last%2 == 0 && len(running) >= playSlots {
			next := l.Handle(start, limiter.Finished{ID: running[0]})
			running = slices.Delete(running, 0, 1)
			for _, command := range next {
				running = append(running, command.(limiter.Admitted).ID)
			}
		}
	}
}
