package isolator_test

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
	"celerygap.example/service/isolator"
)

var start = time.Date(2026, 1, 1, 0, 0, 0, 0, time.UTC)

const (
	upstreams = 4
	crashing  = identifier.Fingerprint("crashing")
)

func failOnViolation(t *testing.T) {
	t.Cleanup(asserter.SetHandler(func(name asserter.Invariant, detail string) { t.Errorf("invariant %s: %s", name, detail) }))
}

// fleet simulates upstreams that crash when they run the crashing request.
type fleet struct {
	isolator *isolator.Isolator
	now      time.Time
	lastID   int
	// pending are requests that have yet to request permission, held are those without a decision of the isolator, and
	// running are on an upstream.
	pending   []identifier.Fingerprint
	held      map[isolator.Ticket]identifier.Fingerprint
	running   map[identifier.AttemptID]run
	crashes   int
	responded map[identifier.Fingerprint]int
	refused   int
}

type run struct {
	fingerprint identifier.Fingerprint
	upstream    identifier.UpstreamID
	ticket      isolator.Ticket
	alone       bool
}

func (f *fleet) apply(t require.TestingT, commands []isolator.Command) {
	for _, command := range commands {
		switch c := command.(type) {
		case isolator.Proceed:
			f.begin(t, c.Ticket, false)
		case isolator.Isolate:
			f.begin(t, c.Ticket, true)
		case isolator.Refuse:
			require.Equal(t, crashing, f.held[c.Ticket], "a harmless request was refused")
			delete(f.held, c.Ticket)
			f.refused++
		case isolator.Stop:
			require.Equal(t, crashing, f.running[c.Attempt].fingerprint, "a harmless request was stopped")
		case isolator.Proved:
			require.Equal(t, crashing, c.Proven.Fingerprint, "a harmless request was proven")
		}
	}
}

// begin starts an attempt on the upstream with the fewest attempts on which no suspect runs alone.
func (f *fleet) begin(t require.TestingT, ticket isolator.Ticket, alone bool) {
	counts := make([]int, upstreams)
	for _, r := range f.running {
		var index int
		_, _ = fmt.Sscanf(string(r.upstream), "u%d", &index)
		counts[index]++
		if r.alone {
			counts[index] += 1000
		}
	}
	best := slices.Index(counts, slices.Min(counts))
	if alone && counts[best] > 0 {
		// No upstream is idle: the request is retried later.
		f.pending = append(f.pending, f.held[ticket])
		delete(f.held, ticket)
		f.apply(t, f.isolator.Handle(f.now, isolator.Withdrawn{Ticket: ticket}))
		return
	}
	f.lastID++
	attempt := identifier.AttemptID(fmt.Sprint(f.lastID))
	r := run{f.held[ticket], identifier.UpstreamID(fmt.Sprintf("u%d", best)), ticket, alone}
	delete(f.held, ticket)
	f.running[attempt] = r
	f.apply(t, f.isolator.Handle(f.now, isolator.AttemptStarted{Attempt: attempt, Fingerprint: r.fingerprint, Upstream: r.upstream}))
}

func (f *fleet) request(t require.TestingT, fingerprint identifier.Fingerprint) {
	f.lastID++
	ticket := isolator.Ticket(f.lastID)
	f.held[ticket] = fingerprint
	f.apply(t, f.isolator.Handle(f.now, isolator.RunRequested{Ticket: ticket, Fingerprint: fingerprint}))
}

// finish ends one attempt. The crashing request crashes its upstream, and all requests on it are retried.
func (f *fleet) finish(t require.TestingT, id identifier.AttemptID) {
	r := f.running[id]
	if r.fingerprint != crashing {
		delete(f.running, id)
		f.responded[r.fingerprint]++
		f.end(t, id, r, isolator.EndResponded)
		return
	}
	f.crashes++
	f.crash(t, r.upstream)
}

// crash ends all attempts on an upstream; their requests are retried.
func (f *fleet) crash(t require.TestingT, upstream identifier.UpstreamID) {
	for _, id := range f.ids() {
		lost := f.running[id]
		if lost.upstream == upstream {
			delete(f.running, id)
			f.pending = append(f.pending, lost.fingerprint)
			defer f.end(t, id, lost, isolator.EndCrashed)
		}
	}
}

func (f *fleet) ids() []identifier.AttemptID {
	return slices.Sorted(maps.Keys(f.running))
}

// has reports whether a request with the fingerprint is pending, held or running.
func (f *fleet) has(fingerprint identifier.Fingerprint) bool {
	for _, r := range f.running {
		if r.fingerprint == fingerprint {
			return true
		}
	}
	return slices.Contains(f.pending, fingerprint) || slices.Contains(slices.Collect(maps.Values(f.held)), fingerprint)
}

func (f *fleet) end(t require.TestingT, id identifier.AttemptID, r run, end isolator.End) {
	f.apply(t, f.isolator.Handle(f.now, isolator.AttemptEnded{Attempt: id, End: end}))
	f.apply(t, f.isolator.Handle(f.now, isolator.Withdrawn{Ticket: r.ticket}))
}

func (f *fleet) anyRunning(t *rapid.T) (identifier.AttemptID, bool) {
	ids := f.ids()
	if len(ids) == 0 {
		return "", false
	}
	return rapid.SampledFrom(ids).Draw(t, "attempt"), true
}

// Guards against a request that crashes more than two upstreams when its caller retries it, against harmless requests that are
// refused or never get a response, and against two suspects that run at the same time.
func TestCrashingRequestCostsAtMostTwoUpstreams(t *testing.T) {
	failOnViolation(t)
	rapid.Check(t, func(t *rapid.T) {
		f := &fleet{
			isolator: isolator.New(isolator.Config{}), now: start,
			held: make(map[isolator.Ticket]identifier.Fingerprint), running: make(map[identifier.AttemptID]run),
			responded: make(map[identifier.Fingerprint]int),
		}
		sent := 0
		t.Repeat(map[string]func(*rapid.T){
			"send": func(t *rapid.T) {
				sent++
				f.request(t, identifier.Fingerprint(fmt.Sprintf("harmless%d", sent)))
			},
			"send crashing": func(t *rapid.T) {
				if !f.has(crashing) {
					f.request(t, crashing)
				}
			},
			"retry": func(t *rapid.T) {
				if len(f.pending) > 0 {
					next := f.pending[0]
					f.pending = f.pending[1:]
					f.request(t, next)
				}
			},
			"finish": func(t *rapid.T) {
				if id, ok := f.anyRunning(t); ok {
					f.finish(t, id)
				}
			},
			"": func(t *rapid.T) {
				require.LessOrEqual(t, f.crashes, 2)
				alone := 0
				for _, r := range f.running {
					if r.alone {
						alone++
					}
				}
				require.LessOrEqual(t, alone, 1)
			},
		})
		for step := 0; len(f.running)+len(f.held)+len(f.pending) > 0; step++ {
			require.Less(t, step, 10000, "requests are still pending, held or running after 10000 steps")
			if len(f.pending) > 0 {
				next := f.pending[0]
				f.pending = f.pending[1:]
				f.request(t, next)
			}
			if id, ok := f.anyRunning(t); ok {
				f.finish(t, id)
			}
		}
		require.LessOrEqual(t, f.crashes, 2)
		require.Len(t, f.responded, sent, "every harmless request gets a response")
	})
}

// Guards against a failed zone whose requests all become suspects, or of which one is proven, and against a crashing request
// that is exonerated because one other upstream crashed by chance.
func TestCrashesOfSeveralUpstreamsExonerateTheirRequests(t *testing.T) {
	failOnViolation(t)
	i := isolator.New(isolator.Config{})
	begin := func(id identifier.AttemptID, fingerprint identifier.Fingerprint, upstream identifier.UpstreamID) {
		i.Handle(start, isolator.AttemptStarted{Attempt: id, Fingerprint: fingerprint, Upstream: upstream})
	}
	begin("1", "a", "u1")
	begin("2", "b", "u1")
	begin("3", "c", "u2")
	begin("4", "b", "u2")
	begin("5", "d", "u3")
	i.Handle(start, isolator.AttemptEnded{Attempt: "1", End: isolator.EndCrashed})
	i.Handle(start.Add(time.Second), isolator.AttemptEnded{Attempt: "3", End: isolator.EndCrashed})
	require.InDelta(t, 0.5, i.Suspicion("a"), 1e-9, "one other crash does not show a common cause")
	require.InDelta(t, 0.5, i.Suspicion("c"), 1e-9, "one other crash does not show a common cause")
	i.Handle(start.Add(2*time.Second), isolator.AttemptEnded{Attempt: "5", End: isolator.EndCrashed})
	require.Zero(t, i.Suspicion("a"), "not in flight at two other crashes")
	require.Zero(t, i.Suspicion("c"), "not in flight at two other crashes")
	require.Zero(t, i.Suspicion("d"), "not in flight at two other crashes")
	require.InDelta(t, 1.0, i.Suspicion("b"), 1e-9, "in flight at two of three crashes")
	begin("6", "a", "u4")
	i.Handle(start.Add(2*time.Second), isolator.AttemptEnded{Attempt: "6", End: isolator.EndCrashed})
	require.InDelta(t, 1.0, i.Suspicion("a"), 1e-9, "a request is not exonerated twice")
}

// Guards against harmless requests that wait to run alone although the request that crashed their upstream has been proven,
// and against running copies of a proven request that crash further upstreams.
func TestProofClearsTheOthersAndStopsCopies(t *testing.T) {
	failOnViolation(t)
	i := isolator.New(isolator.Config{})
	begin := func(id identifier.AttemptID, fingerprint identifier.Fingerprint, upstream identifier.UpstreamID) {
		i.Handle(start, isolator.AttemptStarted{Attempt: id, Fingerprint: fingerprint, Upstream: upstream})
	}
	begin("1", "a", "u1")
	begin("2", crashing, "u1")
	begin("copy", crashing, "u2")
	i.Handle(start, isolator.AttemptEnded{Attempt: "1", End: isolator.EndCrashed})
	begin("3", crashing, "u3")
	at := start.Add(time.Minute)
	require.Equal(t, []isolator.Command{
		isolator.Proved{Proven: codec.FlaggedFingerprint{
			Fingerprint: crashing, ExpiresAt: at.Add(time.Hour),
		}},
		isolator.Stop{Attempt: "copy"},
	}, i.Handle(at, isolator.AttemptEnded{Attempt: "3", End: isolator.EndCrashed}))
	require.Zero(t, i.Suspicion("a"))
}

// Guards against a harmless request that is refused for an hour because it ran alone on an upstream that was killed: a
// training step has to wait for it. Its first proof is provisional when upstreams also crash without it; once that has
// expired, it runs alone again, and only another crash proves it for the full time.
func TestProofIsProvisionalWhileOtherUpstreamsCrash(t *testing.T) {
	failOnViolation(t)
	i := isolator.New(isolator.Config{CorrelationWindow: time.Millisecond})
	crashOf := func(at time.Time, id identifier.AttemptID, fingerprint identifier.Fingerprint, upstream identifier.UpstreamID) []isolator.Command {
		i.Handle(at, isolator.AttemptStarted{Attempt: id, Fingerprint: fingerprint, Upstream: upstream})
		return i.Handle(at, isolator.AttemptEnded{Attempt: id, End: isolator.EndCrashed})
	}
	crashOf(start, "1", "other", "u1")
	crashOf(start.Add(time.Second), "2", "x", "u2")
	at := start.Add(2 * time.Second)
	until := at.Add(isolator.DefaultProvisionalExpiry)
	proof := codec.FlaggedFingerprint{Fingerprint: "x", ExpiresAt: until, Provisional: true}
	require.Equal(t, []isolator.Command{isolator.Proved{Proven: proof}}, crashOf(at, "3", "x", "u3"))

	other := isolator.New(isolator.Config{})
	other.Handle(at, isolator.Imported{Proven: []codec.FlaggedFingerprint{proof}})
	for _, host := range []*isolator.Isolator{i, other} {
		require.IsType(t, isolator.Refuse{}, host.Handle(until.Add(-time.Second), isolator.RunRequested{Ticket: 1, Fingerprint: "x"})[0])
		host.Handle(until, isolator.Tick{})
		require.Equal(t, []isolator.Command{isolator.Isolate{Ticket: 2}}, host.Handle(until, isolator.RunRequested{Ticket: 2, Fingerprint: "x"}))
		host.Handle(until, isolator.Withdrawn{Ticket: 2})
	}
	at = until.Add(time.Second)
	require.Equal(t, []isolator.Command{
		isolator.Proved{Proven: codec.FlaggedFingerprint{
			Fingerprint: "x", ExpiresAt: at.Add(isolator.DefaultExpiry),
		}},
	}, crashOf(at, "4", "x", "u4"), "the second proof is not provisional")
}

// Guards against a request that crashes one upstream through each host, because a suspicion is not shared among the hosts.
func TestSuspicionOfOtherHostsIsolatesARequest(t *testing.T) {
	failOnViolation(t)
	first, second := isolator.New(isolator.Config{}), isolator.New(isolator.Config{})
	begin := func(i *isolator.Isolator, id identifier.AttemptID, fingerprint identifier.Fingerprint, upstream identifier.UpstreamID) {
		i.Handle(start, isolator.AttemptStarted{Attempt: id, Fingerprint: fingerprint, Upstream: upstream})
	}
	begin(first, "1", crashing, "u1")
	begin(first, "2", "beside", "u1")
	commands := first.Handle(start, isolator.AttemptEnded{Attempt: "1", End: isolator.EndCrashed})
	require.Len(t, commands, 1)
	require.IsType(t, isolator.Suspected{}, commands[0])
	second.Handle(start, isolator.Imported{Suspects: commands[0].(isolator.Suspected).Suspects})
	require.Equal(t, []isolator.Command{isolator.Isolate{Ticket: 1}}, second.Handle(start, isolator.RunRequested{Ticket: 1, Fingerprint: crashing}))
	begin(second, "3", crashing, "u2")
	commands = second.Handle(start, isolator.AttemptEnded{Attempt: "3", End: isolator.EndCrashed})
	require.IsType(t, isolator.Proved{}, commands[0], "the second crash proves the request")
	later := start.Add(isolator.DefaultSuspicionExpiry)
	require.Equal(t, []isolator.Command{isolator.Proceed{Ticket: 2}}, second.Handle(later, isolator.RunRequested{Ticket: 2, Fingerprint: "beside"}))
}

// Guards against a proof that is not provisional on a host that has just started and ignores the crashes that other hosts
// report: in a soak test, a harmless prompt held up a training step for an hour.
func TestCrashesOfOtherHostsMakeAProofProvisional(t *testing.T) {
	failOnViolation(t)
	i := isolator.New(isolator.Config{})
	i.Handle(start, isolator.Imported{Suspects: []codec.FlaggedFingerprint{
		{Fingerprint: "other", ExpiresAt: start.Add(time.Minute), Upstream: "u3"},
		{Fingerprint: "harmless", ExpiresAt: start.Add(time.Minute), Upstream: "u4"},
	}})
	i.Handle(start, isolator.AttemptStarted{Attempt: "1", Fingerprint: "harmless", Upstream: "u5"})
	commands := i.Handle(start, isolator.AttemptEnded{Attempt: "1", End: isolator.EndCrashed})
	require.IsType(t, isolator.Proved{}, commands[0])
	require.True(t, commands[0].(isolator.Proved).Proven.Provisional, "u3 crashed without the request")
}

// Guards against a crashing request whose suspicion is cleared by the wrong proof of another one that was on the same
// upstream. In soak tests, the crashing request crashed three upstreams before it was proven, and five when the wrong proof
// cleared it on all hosts.
func TestWrongProofsDoNotClearTheCrashingRequest(t *testing.T) {
	failOnViolation(t)
	for _, sameHost := range []bool{false, true} {
		i := isolator.New(isolator.Config{})
		i.Handle(start, isolator.AttemptStarted{Attempt: "1", Fingerprint: crashing, Upstream: "u1"})
		if sameHost {
			i.Handle(start, isolator.AttemptStarted{Attempt: "2", Fingerprint: "harmless", Upstream: "u1"})
		} else {
			i.Handle(start, isolator.Imported{Suspects: []codec.FlaggedFingerprint{
				{Fingerprint: "harmless", ExpiresAt: start.Add(time.Minute), Upstream: "u1"},
			}})
		}
		i.Handle(start, isolator.AttemptEnded{Attempt: "1", End: isolator.EndCrashed})
		i.Handle(start, isolator.AttemptStarted{Attempt: "3", Fingerprint: crashing, Upstream: "u2"})
		i.Handle(start, isolator.Imported{Proven: []codec.FlaggedFingerprint{{Fingerprint: "harmless", ExpiresAt: start.Add(time.Hour)}}})
		commands := i.Handle(start, isolator.AttemptEnded{Attempt: "3", End: isolator.EndCrashed})
		require.IsType(t, isolator.Proved{}, commands[0], "same host: %t", sameHost)
		require.Equal(t, crashing, commands[0].(isolator.Proved).Proven.Fingerprint)
	}
}

// Guards against requests of a failed zone that wait to run alone when their callers retry through another host.
func TestCommonCauseExoneratesRequestsOfOtherHosts(t *testing.T) {
	failOnViolation(t)
	i := isolator.New(isolator.Config{})
	report := func(fingerprint identifier.Fingerprint, upstream identifier.UpstreamID) {
		i.Handle(start, isolator.Imported{Suspects: []codec.FlaggedFingerprint{
			{Fingerprint: fingerprint, ExpiresAt: start.Add(time.Minute), Upstream: upstream},
		}})
	}
	report("a", "u1")
	report("b", "u2")
	require.Positive(t, i.Suspicion("a"))
	report("c", "u3")
	for _, fingerprint := range []identifier.Fingerprint{"a", "b", "c"} {
		require.Zero(t, i.Suspicion(fingerprint), fingerprint)
	}
	require.Equal(t, []isolator.Command{isolator.Proceed{Ticket: 1}}, i.Handle(start, isolator.RunRequested{Ticket: 1, Fingerprint: "a"}))
}

// Guards against a crashing request that is exonerated on a host that has just started, because the reports of the last minute
// that it receives count as crashes of the same moment. In a soak test, a crashing request twice crashed three engines that way.
func TestOldReportsAreNoCommonCause(t *testing.T) {
	failOnViolation(t)
	i := isolator.New(isolator.Config{})
	report := func(upstream identifier.UpstreamID, age time.Duration) codec.FlaggedFingerprint {
		return codec.FlaggedFingerprint{
			Fingerprint: identifier.Fingerprint("of " + upstream), ExpiresAt: start.Add(isolator.DefaultSuspicionExpiry - age), Upstream: upstream,
		}
	}
	i.Handle(start, isolator.Imported{Suspects: []codec.FlaggedFingerprint{report("u1", 20*time.Second), report("u2", 10*time.Second)}})
	i.Handle(start, isolator.AttemptStarted{Attempt: "1", Fingerprint: crashing, Upstream: "u3"})
	i.Handle(start, isolator.AttemptEnded{Attempt: "1", End: isolator.EndCrashed})
	require.Positive(t, i.Suspicion(crashing))
	require.Equal(t, []isolator.Command{isolator.Isolate{Ticket: 1}}, i.Handle(start, isolator.RunRequested{Ticket: 1, Fingerprint: crashing}))
}

// Guards against a suspect that waits for the suspects of another pool.
func TestPoolsIsolateIndependently(t *testing.T) {
	failOnViolation(t)
	i := isolator.New(isolator.Config{})
	for _, id := range []identifier.AttemptID{"a", "b", "c"} {
		i.Handle(start, isolator.AttemptStarted{Attempt: id, Fingerprint: identifier.Fingerprint(id), Upstream: "u"})
	}
	i.Handle(start, isolator.AttemptEnded{Attempt: "a", End: isolator.EndCrashed})
	require.Equal(t, []isolator.Command{isolator.Isolate{Ticket: 1}}, i.Handle(start, isolator.RunRequested{Ticket: 1, Fingerprint: "a", Pool: "p"}))
	require.Equal(t, []isolator.Command{isolator.Hold{Ticket: 2}}, i.Handle(start, isolator.RunRequested{Ticket: 2, Fingerprint: "b", Pool: "p"}))
	require.Equal(t, []isolator.Command{isolator.Isolate{Ticket: 3}}, i.Handle(start, isolator.RunRequested{Ticket: 3, Fingerprint: "c", Pool: "q"}))
	require.Equal(t, []isolator.Command{isolator.Isolate{Ticket: 2}}, i.Handle(start, isolator.Withdrawn{Ticket: 1}))
}

// Guards against a request that is proven by a single connection that an upstream closed without crashing.
func TestAbortProvesOnlyOnRepeat(t *testing.T) {
	failOnViolation(t)
	i := isolator.New(isolator.Config{})
	abort := func(id identifier.AttemptID) []isolator.Command {
		i.Handle(start, isolator.AttemptStarted{Attempt: id, Fingerprint: "x", Upstream: "u"})
		return i.Handle(start, isolator.AttemptEnded{Attempt: id, End: isolator.EndAborted})
	}
	require.Empty(t, abort("1"))
	require.InDelta(t, 1.0, i.Suspicion("x"), 1e-9)
	require.Empty(t, abort("2"))
	require.Equal(t, []isolator.Command{isolator.Proved{Proven: codec.FlaggedFingerprint{Fingerprint: "x", ExpiresAt: start.Add(time.Hour)}}}, abort("3"))
}

// Guards against suspicion that is not divided among the requests in flight, that remains after a complete response, or that
// proves a suspect which did not run alone.
func TestCrashDividesSuspicionAndResponseClearsIt(t *testing.T) {
	failOnViolation(t)
	i := isolator.New(isolator.Config{})
	for _, id := range []identifier.AttemptID{"a", "b", "c", "d"} {
		i.Handle(start, isolator.AttemptStarted{Attempt: id, Fingerprint: identifier.Fingerprint(id), Upstream: "u"})
	}
	i.Handle(start, isolator.AttemptStarted{Attempt: "e", Fingerprint: "e", Upstream: "other"})
	for _, id := range []identifier.AttemptID{"a", "b", "c", "d"} {
		i.Handle(start, isolator.AttemptEnded{Attempt: id, End: isolator.EndCrashed})
		require.InDelta(t, 0.25, i.Suspicion(identifier.Fingerprint(id)), 1e-9)
	}
	require.Zero(t, i.Suspicion("e"))
	i.Handle(start, isolator.AttemptStarted{Attempt: "b2", Fingerprint: "b", Upstream: "other"})
	at := start.Add(time.Minute)
	expires := at.Add(isolator.DefaultSuspicionExpiry)
	require.Equal(t, []isolator.Command{isolator.Suspected{Suspects: []codec.FlaggedFingerprint{
		{Fingerprint: "b", ExpiresAt: expires, Upstream: "other"},
		{Fingerprint: "e", ExpiresAt: expires, Upstream: "other"},
	}}}, i.Handle(at, isolator.AttemptEnded{Attempt: "b2", End: isolator.EndCrashed}), "a suspect that did not run alone is not proven")
	i.Handle(start, isolator.AttemptStarted{Attempt: "a2", Fingerprint: "a", Upstream: "u"})
	i.Handle(start, isolator.AttemptEnded{Attempt: "a2", End: isolator.EndResponded})
	require.Zero(t, i.Suspicion("a"))
}

// Guards against proofs of other hosts that are ignored, that never expire, or that last too long because the clock of a host
// is wrong.
func TestImportedProofsAreRefusedUntilTheyExpire(t *testing.T) {
	failOnViolation(t)
	i := isolator.New(isolator.Config{})
	i.Handle(start, isolator.Imported{Proven: []codec.FlaggedFingerprint{
		{Fingerprint: "x", ExpiresAt: start.Add(1000 * time.Hour)},
		{Fingerprint: "old", ExpiresAt: start.Add(-time.Second)},
	}})
	require.Equal(t, []codec.FlaggedFingerprint{{Fingerprint: "x", ExpiresAt: start.Add(time.Hour)}}, i.Proven())
	request := func(at time.Time, id isolator.Ticket) isolator.Command {
		return i.Handle(at, isolator.RunRequested{Ticket: id, Fingerprint: "x"})[0]
	}
	require.IsType(t, isolator.Refuse{}, request(start.Add(59*time.Minute), 1))
	require.IsType(t, isolator.Proceed{}, request(start.Add(time.Hour), 2))
	i.Handle(start.Add(time.Hour), isolator.Tick{})
	require.Empty(t, i.Proven())
}
