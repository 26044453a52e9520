package limiter_test

import (
	"fmt"
	"maps"
	"slices"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"

	"celerygap.example/lib/asserter"
	"celerygap.example/lib/codec"
	"celerygap.example/lib/identifier"
	"celerygap.example/lib/refuser"
	"celerygap.example/service/limiter"
)

var start = time.Date(2026, 1, 1, 0, 0, 0, 0, time.UTC)

func failOnViolation(t *testing.T) {
	t.Cleanup(asserter.SetHandler(func(name asserter.Invariant, detail string) { t.Errorf("invariant %s: %s", name, detail) }))
}

func configured(limits ...limiter.EntryLimits) *limiter.Limiter {
	l := limiter.New(limiter.Config{})
	l.Handle(start, limiter.Configured{Entries: limits})
	return l
}

func arrive(l *limiter.Limiter, now time.Time, id limiter.RequestID, class codec.EntryClass, deadline time.Time) limiter.Command {
	return l.Handle(now, limiter.Arrived{ID: id, Entry: "e", Class: class, Deadline: deadline})[0]
}

// model is the expected state of a limiter, computed independently of its code.
type model struct {
	limiter  *limiter.Limiter
	now      time.Time
	limit    map[identifier.EntryName]int
	pool     int
	running  map[limiter.RequestID]limiter.Arrived
	live     int
	waiting  map[limiter.RequestID]limiter.Arrived
	arrived  limiter.RequestID
	requests int
	retries  int
}

func (m *model) count(entry identifier.EntryName) int {
	n := 0
	for _, request := range m.running {
		if request.Entry == entry {
			n++
		}
	}
	return n
}

func (m *model) apply(t *rapid.T, arrived *limiter.Arrived, commands []limiter.Command) {
	for _, command := range commands {
		switch c := command.(type) {
		case limiter.Admitted:
			request, ok := m.waiting[c.ID]
			if arrived != nil && c.ID == arrived.ID {
				request, ok = *arrived, true
			}
			require.True(t, ok, "admitted %d, which does not wait", c.ID)
			m.checkOrder(t, request)
			delete(m.waiting, c.ID)
			m.running[c.ID] = request
			if request.Class == codec.EntryClassLive {
				m.live++
			} else {
				require.LessOrEqual(t, len(m.running), m.pool*9/10, "training took the slots reserved for live callers")
			}
		case limiter.Queued:
			m.waiting[c.ID] = *arrived
		case limiter.Refused:
			require.GreaterOrEqual(t, c.RetryAfter, time.Second)
			delete(m.waiting, c.ID)
		}
	}
	for entry, limit := range m.limit {
		require.LessOrEqual(t, m.count(entry), limit, "entry %s above its limit", entry)
	}
	require.LessOrEqual(t, m.live, m.pool, "live requests above the pool's slots")
}

// checkOrder fails if a training request is admitted while a live one of the same entry waits.
func (m *model) checkOrder(t *rapid.T, request limiter.Arrived) {
	if request.Class != codec.EntryClassTraining {
		return
	}
	for _, other := range m.waiting {
		require.False(t, other.Entry == request.Entry && other.Class == codec.EntryClassLive,
			"training request %d overtook live request %d", request.ID, other.ID)
	}
}

// drawID draws one of the requests. It does not take the first key of the map, so that a failed case can be replayed.
func drawID(t *rapid.T, requests map[limiter.RequestID]limiter.Arrived) limiter.RequestID {
	return rapid.SampledFrom(slices.Sorted(maps.Keys(requests))).Draw(t, "request")
}

// Guards against exceeded limits, requests that are lost in the queue, training requests that overtake live ones, and retries
// beyond the budget.
func TestLimiterStateMachine(t *testing.T) {
	for _, customers := range []bool{false, true} {
		t.Run(fmt.Sprint("customers ", customers), func(t *testing.T) { checkStateMachine(t, customers) })
	}
}

func checkStateMachine(t *testing.T, customers bool) {
	failOnViolation(t)
	rapid.Check(t, func(t *rapid.T) {
		m := &model{
			now: start, limit: map[identifier.EntryName]int{"a": 2, "b": 3}, pool: 4,
			running: make(map[limiter.RequestID]limiter.Arrived), waiting: make(map[limiter.RequestID]limiter.Arrived),
		}
		m.limiter = limiter.New(limiter.Config{})
		m.limiter.Handle(m.now, limiter.Configured{Entries: []limiter.EntryLimits{
			{Entry: "a", Pool: "p", Limits: codec.Limits{InFlight: 2, Queue: 3, RequestsPerSecond: 5, Burst: 4}},
			{Entry: "b", Pool: "p", Limits: codec.Limits{InFlight: 3, Queue: 2}},
		}})
		m.limiter.Handle(m.now, limiter.PoolSized{Pool: "p", Slots: m.pool})
		t.Repeat(map[string]func(*rapid.T){
			"arrive": func(t *rapid.T) {
				m.arrived++
				m.requests++
				e := limiter.Arrived{
					ID:       m.arrived,
					Entry:    rapid.SampledFrom([]identifier.EntryName{"a", "b"}).Draw(t, "entry"),
					Class:    rapid.SampledFrom([]codec.EntryClass{codec.EntryClassLive, codec.EntryClassTraining}).Draw(t, "class"),
					Priority: rapid.IntRange(-1, 1).Draw(t, "priority"),
					Deadline: m.now.Add(time.Duration(rapid.IntRange(1, 5000).Draw(t, "ms")) * time.Millisecond),
				}
				if customers {
					e.Customer = rapid.SampledFrom([]identifier.CustomerName{"", "x", "y", "z"}).Draw(t, "customer")
					e.Rank = rapid.IntRange(-1, 1).Draw(t, "rank")
				}
				commands := m.limiter.Handle(m.now, e)
				if len(commands) == 2 {
					require.True(t, customers)
					require.Equal(t, limiter.Queued{ID: e.ID}, commands[0])
					require.Contains(t, m.waiting, commands[1].(limiter.Refused).ID, "only a waiting request leaves for another")
				} else {
					require.Len(t, commands, 1)
				}
				m.apply(t, &e, commands)
			},
			"finish": func(t *rapid.T) {
				if len(m.running) == 0 {
					return
				}
				id := drawID(t, m.running)
				if m.running[id].Class == codec.EntryClassLive {
					m.live--
				}
				delete(m.running, id)
				m.apply(t, nil, m.limiter.Handle(m.now, limiter.Finished{ID: id}))
			},
			"leave": func(t *rapid.T) {
				if len(m.waiting) == 0 {
					return
				}
				id := drawID(t, m.waiting)
				delete(m.waiting, id)
				m.apply(t, nil, m.limiter.Handle(m.now, limiter.CallerLeft{ID: id}))
			},
			"tick": func(t *rapid.T) {
				m.now = m.now.Add(time.Duration(rapid.IntRange(1, 500).Draw(t, "ms")) * time.Millisecond)
				m.apply(t, nil, m.limiter.Handle(m.now, limiter.Tick{}))
				for id, request := range m.waiting {
					require.False(t, m.now.After(request.Deadline), "request %d waits past its deadline", id)
				}
			},
			"retry": func(t *rapid.T) {
				if _, ok := m.limiter.Handle(m.now, limiter.RetryRequested{Entry: "a"})[0].(limiter.RetryAllowed); ok {
					m.retries++
				}
				// Within the window no count expires, and the requests of both entries are at least those of entry a.
				if m.now.Sub(start) < 50*time.Second {
					require.LessOrEqual(t, float64(m.retries), 0.1*float64(m.requests)+3)
				}
			},
			"": func(t *rapid.T) {
				require.Equal(t, len(m.waiting), m.limiter.Waiting())
			},
		})
	})
}

// Guards against a request that waits although it cannot meet its deadline; it must be refused on arrival.
func TestRefusesOnArrivalWhatCannotMeetItsDeadline(t *testing.T) {
	failOnViolation(t)
	l := configured(limiter.EntryLimits{Entry: "e", Limits: codec.Limits{RequestsPerSecond: 0.1, Burst: 1}})
	require.Equal(t, limiter.Admitted{ID: 1}, arrive(l, start, 1, codec.EntryClassLive, start.Add(time.Minute)))
	refused, ok := arrive(l, start, 2, codec.EntryClassLive, start.Add(5*time.Second)).(limiter.Refused)
	require.True(t, ok)
	require.Equal(t, refuser.DeadlineTooShort, refused.Reason)
	require.Equal(t, 10*time.Second, refused.RetryAfter, "the next token comes after 10 s")
	require.Equal(t, limiter.Queued{ID: 3}, arrive(l, start, 3, codec.EntryClassLive, start.Add(time.Minute)))
}

// Guards against a Retry-After after which the queue is still full.
func TestQueueFullTellsWhenItWillHaveRoom(t *testing.T) {
	failOnViolation(t)
	l := configured(limiter.EntryLimits{Entry: "e", Limits: codec.Limits{InFlight: 1, Queue: 2}})
	arrive(l, start, 1, codec.EntryClassLive, time.Time{})
	l.Handle(start.Add(4*time.Second), limiter.Finished{ID: 1})
	now := start.Add(4 * time.Second)
	arrive(l, now, 2, codec.EntryClassLive, time.Time{})
	arrive(l, now, 3, codec.EntryClassLive, time.Time{})
	arrive(l, now, 4, codec.EntryClassLive, time.Time{})
	refused, ok := arrive(l, now, 5, codec.EntryClassLive, time.Time{}).(limiter.Refused)
	require.True(t, ok)
	require.Equal(t, refuser.QueueFull, refused.Reason)
	require.Equal(t, 12*time.Second, refused.RetryAfter, "one runs and two wait for 4 s each")
}

// Guards against training that fills a pool completely and leaves no slot for a live caller.
func TestTrainingLeavesRoomForLiveCallers(t *testing.T) {
	failOnViolation(t)
	l := configured(limiter.EntryLimits{Entry: "e", Pool: "p"})
	l.Handle(start, limiter.PoolSized{Pool: "p", Slots: 10})
	for id := limiter.RequestID(1); id <= 9; id++ {
		require.Equal(t, limiter.Admitted{ID: id}, arrive(l, start, id, codec.EntryClassTraining, time.Time{}))
	}
	require.Equal(t, limiter.Queued{ID: 10}, arrive(l, start, 10, codec.EntryClassTraining, time.Time{}))
	require.Equal(t, limiter.Admitted{ID: 11}, arrive(l, start, 11, codec.EntryClassLive, time.Time{}))
}

// Guards against a live caller that waits behind training or behind a lower priority.
func TestLiveCallersRunFirst(t *testing.T) {
	failOnViolation(t)
	l := configured(limiter.EntryLimits{Entry: "e", Limits: codec.Limits{InFlight: 1, Queue: 2}})
	arrive(l, start, 1, codec.EntryClassTraining, time.Time{})
	arrive(l, start, 2, codec.EntryClassTraining, time.Time{})
	arrive(l, start, 3, codec.EntryClassLive, time.Time{})
	l.Handle(start, limiter.Arrived{ID: 4, Entry: "e", Class: codec.EntryClassLive, Priority: 1})
	require.IsType(t, limiter.Refused{}, arrive(l, start, 5, codec.EntryClassLive, time.Time{}))
	for last, next := range []limiter.RequestID{4, 3, 2} {
		finished := []limiter.RequestID{1, 4, 3}[last]
		require.Equal(t, []limiter.Command{limiter.Admitted{ID: next}}, l.Handle(start, limiter.Finished{ID: finished}))
	}
}

// Guards against a host that uses the full limits of an entry although other hosts share them.
func TestShareDividesLimits(t *testing.T) {
	failOnViolation(t)
	l := configured(limiter.EntryLimits{Entry: "e", Limits: codec.Limits{InFlight: 4}})
	l.Handle(start, limiter.ShareSet{Entry: "e", Share: 0.5})
	require.IsType(t, limiter.Admitted{}, arrive(l, start, 1, codec.EntryClassLive, time.Time{}))
	require.IsType(t, limiter.Admitted{}, arrive(l, start, 2, codec.EntryClassLive, time.Time{}))
	require.IsType(t, limiter.Queued{}, arrive(l, start, 3, codec.EntryClassLive, time.Time{}))
	require.Equal(t, []limiter.Command{limiter.Admitted{ID: 3}}, l.Handle(start, limiter.ShareSet{Entry: "e", Share: 1}))
}

// Guards against a retry budget that is never restored, or that grows without bound while nothing fails.
func TestRetryBudgetSlides(t *testing.T) {
	failOnViolation(t)
	l := limiter.New(limiter.Config{})
	allowed := func(now time.Time) int {
		n := 0
		for range 100 {
			if _, ok := l.Handle(now, limiter.RetryRequested{Entry: "e"})[0].(limiter.RetryAllowed); ok {
				n++
			}
		}
		return n
	}
	for id := limiter.RequestID(1); id <= 20; id++ {
		arrive(l, start, id, codec.EntryClassLive, time.Time{})
		l.Handle(start, limiter.Finished{ID: id})
	}
	require.Equal(t, 5, allowed(start), "10% of 20 requests plus 3")
	require.Equal(t, 0, allowed(start.Add(30*time.Second)))
	require.Equal(t, 3, allowed(start.Add(2*time.Minute)))
}
