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
	poison    = identifier.Fingerprint("poison")
)

func failOnViolation(t *testing.T) {
	t.Cleanup(asserter.SetHandler(func(name asserter.Invariant, detail string) { t.Errorf("invariant %s: %s", name, detail) }))
}

// fleet simulates upstreams that crash when they run the poison.
type fleet struct {
	isolator *isolator.Isolator
	now      time.Time
	lastID   int
	// pending are requests that wait to ask; held wait for the isolator; running are on an upstream.
	pending  []identifier.Fingerprint
	held     map[isolator.Ticket]identifier.Fingerprint
	running  map[identifier.AttemptID]run
	crashes  int
	answered map[identifier.Fingerprint]int
	refused  int
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
			require.Equal(t, poison, f.held[c.Ticket], "an innocent request was refused")
			delete(f.held, c.Ticket)
			f.refused++
		case isolator.Stop:
			require.Equal(t, poison, f.running[c.Attempt].fingerprint, "an innocent request was stopped")
		case isolator.Proved:
			require.Equal(t, poison, c.Proven.Fingerprint, "an innocent request was proven")
		}
	}
}

// begin starts an attempt on the least used upstream that is not kept for a suspect.
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
		// No idle upstream: the request asks again later.
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

func (f *fleet) ask(t require.TestingT, fingerprint identifier.Fingerprint) {
	f.lastID++
	ticket := isolator.Ticket(f.lastID)
	f.held[ticket] = fingerprint
	f.apply(t, f.isolator.Handle(f.now, isolator.RunRequested{Ticket: ticket, Fingerprint: fingerprint}))
}

// finish ends one attempt: the poison takes its upstream and everything on it along, and the innocent ask again.
func (f *fleet) finish(t require.TestingT, id identifier.AttemptID) {
	r := f.running[id]
	if r.fingerprint != poison {
		delete(f.running, id)
		f.answered[r.fingerprint]++
		f.end(t, id, r, isolator.EndResponded)
		return
	}
	f.crashes++
	f.crash(t, r.upstream)
}

// crash ends everything on an upstream, and its callers ask again.
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

// has reports whether a request with the fingerprint is anywhere on its way.
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

// Guards against a request that takes more than two upstreams with it, however often it is sent again, against innocent
// requests that are refused or never answered, and against two suspects that run at once.
func TestOnePoisonCostsAtMostTwoUpstreams(t *testing.T) {
	failOnViolation(t)
	rapid.Check(t, func(t *rapid.T) {
		f := &fleet{
			isolator: isolator.New(isolator.Config{}), now: start,
			held: make(map[isolator.Ticket]identifier.Fingerprint), running: make(map[identifier.AttemptID]run),
			answered: make(map[identifier.Fingerprint]int),
		}
		sent := 0
		t.Repeat(map[string]func(*rapid.T){
			"send": func(t *rapid.T) {
				sent++
				f.ask(t, identifier.Fingerprint(fmt.Sprintf("innocent%d", sent)))
			},
			"send poison": func(t *rapid.T) {
				if !f.has(poison) {
					f.ask(t, poison)
				}
			},
			"ask again": func(t *rapid.T) {
				if len(f.pending) > 0 {
					next := f.pending[0]
					f.pending = f.pending[1:]
					f.ask(t, next)
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
			require.Less(t, step, 10000, "requests are stuck")
			if len(f.pending) > 0 {
				next := f.pending[0]
				f.pending = f.pending[1:]
				f.ask(t, next)
			}
			if id, ok := f.anyRunning(t); ok {
				f.finish(t, id)
			}
		}
		require.LessOrEqual(t, f.crashes, 2)
		require.Len(t, f.answered, sent, "every innocent request is answered")
	})
}

// Guards against a failed zone whose requests all become suspects, or of which one is proven, and against a harmful request
// that is excused since one other upstream died by chance.
func TestCrashesOfSeveralUpstreamsExcuseTheirRequests(t *testing.T) {
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
	require.InDelta(t, 0.5, i.Suspicion("a"), 1e-9, "one other crash is no common cause")
	require.InDelta(t, 0.5, i.Suspicion("c"), 1e-9, "one other crash is no common cause")
	i.Handle(start.Add(2*time.Second), isolator.AttemptEnded{Attempt: "5", End: isolator.EndCrashed})
	require.Zero(t, i.Suspicion("a"), "not part of two other crashes")
	require.Zero(t, i.Suspicion("c"), "not part of two other crashes")
	require.Zero(t, i.Suspicion("d"), "not part of two other crashes")
	require.InDelta(t, 1.0, i.Suspicion("b"), 1e-9, "part of two of three")
	begin("6", "a", "u4")
	i.Handle(start.Add(2*time.Second), isolator.AttemptEnded{Attempt: "6", End: isolator.EndCrashed})
	require.InDelta(t, 1.0, i.Suspicion("a"), 1e-9, "nobody is excused twice")
}

// Guards against innocent requests that wait to run alone although the culprit is known, and against running copies of
// a proven request that crash further upstreams.
func TestProofClearsTheOthersAndStopsCopies(t *testing.T) {
	failOnViolation(t)
	i := isolator.New(isolator.Config{})
	begin := func(id identifier.AttemptID, fingerprint identifier.Fingerprint, upstream identifier.UpstreamID) {
		i.Handle(start, isolator.AttemptStarted{Attempt: id, Fingerprint: fingerprint, Upstream: upstream})
	}
	begin("1", "a", "u1")
	begin("2", poison, "u1")
	begin("copy", poison, "u2")
	i.Handle(start, isolator.AttemptEnded{Attempt: "1", End: isolator.EndCrashed})
	begin("3", poison, "u3")
	at := start.Add(time.Minute)
	require.Equal(t, []isolator.Command{
		isolator.Proved{Proven: codec.FlaggedFingerprint{
			Fingerprint: poison, ExpiresAt: at.Add(time.Hour),
		}},
		isolator.Stop{Attempt: "copy"},
	}, i.Handle(at, isolator.AttemptEnded{Attempt: "3", End: isolator.EndCrashed}))
	require.Zero(t, i.Suspicion("a"))
}

// Guards against an innocent request that is refused for an hour since it was alone on an upstream that was killed: a
// training step waits for it. Its first proof is short when upstreams crash without it, and one more run decides.
func TestProofIsProvisionalWhileOtherUpstreamsCrash(t *testing.T) {
	failOnViolation(t)
	i := isolator.New(isolator.Config{Correlation: time.Millisecond})
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
	}, crashOf(at, "4", "x", "u4"), "the second proof stays")
}

// Guards against a request that crashes an upstream of each host before one of them has proven it.
func TestSuspicionOfOtherHostsIsolatesARequest(t *testing.T) {
	failOnViolation(t)
	first, second := isolator.New(isolator.Config{}), isolator.New(isolator.Config{})
	begin := func(i *isolator.Isolator, id identifier.AttemptID, fingerprint identifier.Fingerprint, upstream identifier.UpstreamID) {
		i.Handle(start, isolator.AttemptStarted{Attempt: id, Fingerprint: fingerprint, Upstream: upstream})
	}
	begin(first, "1", poison, "u1")
	begin(first, "2", "beside", "u1")
	commands := first.Handle(start, isolator.AttemptEnded{Attempt: "1", End: isolator.EndCrashed})
	require.Len(t, commands, 1)
	require.IsType(t, isolator.Suspected{}, commands[0])
	second.Handle(start, isolator.Imported{Suspects: commands[0].(isolator.Suspected).Suspects})
	require.Equal(t, []isolator.Command{isolator.Isolate{Ticket: 1}}, second.Handle(start, isolator.RunRequested{Ticket: 1, Fingerprint: poison}))
	begin(second, "3", poison, "u2")
	commands = second.Handle(start, isolator.AttemptEnded{Attempt: "3", End: isolator.EndCrashed})
	require.IsType(t, isolator.Proved{}, commands[0], "the second upstream is the last one")
	later := start.Add(isolator.DefaultSuspicionExpiry)
	require.Equal(t, []isolator.Command{isolator.Proceed{Ticket: 2}}, second.Handle(later, isolator.RunRequested{Ticket: 2, Fingerprint: "beside"}))
}

// Guards against a lasting proof by a host that has just started and knows no crash but the one it sees: an innocent prompt held
// up a training step for an hour (soak, seed 20260712, 06:25 on 2026-12-04).
func TestCrashesOfOtherHostsMakeAProofProvisional(t *testing.T) {
	failOnViolation(t)
	i := isolator.New(isolator.Config{})
	i.Handle(start, isolator.Imported{Suspects: []codec.FlaggedFingerprint{
		{Fingerprint: "other", ExpiresAt: start.Add(time.Minute), Upstream: "u3"},
		{Fingerprint: "innocent", ExpiresAt: start.Add(time.Minute), Upstream: "u4"},
	}})
	i.Handle(start, isolator.AttemptStarted{Attempt: "1", Fingerprint: "innocent", Upstream: "u5"})
	commands := i.Handle(start, isolator.AttemptEnded{Attempt: "1", End: isolator.EndCrashed})
	require.IsType(t, isolator.Proved{}, commands[0])
	require.True(t, commands[0].(isolator.Proved).Proven.Provisional, "u3 crashed without the request")
}

// Guards against a harmful request that loses its suspicion by the wrong proof of another: an innocent suspect of another
// host was on the same upstream, and the third upstream (with the proof clearing all hosts: the fifth) was lost before
// the harmful one was proven (soak, seed 77, 06:53, and seed 20260712, 06:55 on 2026-12-04).
func TestWrongProofsDoNotClearTheHarmfulRequest(t *testing.T) {
	failOnViolation(t)
	for _, sameHost := range []bool{false, true} {
		i := isolator.New(isolator.Config{})
		i.Handle(start, isolator.AttemptStarted{Attempt: "1", Fingerprint: poison, Upstream: "u1"})
		if sameHost {
			i.Handle(start, isolator.AttemptStarted{Attempt: "2", Fingerprint: "innocent", Upstream: "u1"})
		} else {
			i.Handle(start, isolator.Imported{Suspects: []codec.FlaggedFingerprint{
				{Fingerprint: "innocent", ExpiresAt: start.Add(time.Minute), Upstream: "u1"},
			}})
		}
		i.Handle(start, isolator.AttemptEnded{Attempt: "1", End: isolator.EndCrashed})
		i.Handle(start, isolator.AttemptStarted{Attempt: "3", Fingerprint: poison, Upstream: "u2"})
		i.Handle(start, isolator.Imported{Proven: []codec.FlaggedFingerprint{{Fingerprint: "innocent", ExpiresAt: start.Add(time.Hour)}}})
		commands := i.Handle(start, isolator.AttemptEnded{Attempt: "3", End: isolator.EndCrashed})
		require.IsType(t, isolator.Proved{}, commands[0], "same host: %t", sameHost)
		require.Equal(t, poison, commands[0].(isolator.Proved).Proven.Fingerprint)
	}
}

// Guards against requests of a failed zone that wait to run alone when their callers come back through another host.
func TestCommonCauseExcusesRequestsOfOtherHosts(t *testing.T) {
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

// Guards against a harmful request that is excused on a host that has just started: the reports of the last minute that it gets
// from the others are no crashes of this moment (soak, seed 77, 07:03 on 2026-12-04: three engines lost twice).
func TestOldReportsAreNoCommonCause(t *testing.T) {
	failOnViolation(t)
	i := isolator.New(isolator.Config{})
	report := func(upstream identifier.UpstreamID, age time.Duration) codec.FlaggedFingerprint {
		return codec.FlaggedFingerprint{
			Fingerprint: identifier.Fingerprint("of " + upstream), ExpiresAt: start.Add(isolator.DefaultSuspicionExpiry - age), Upstream: upstream,
		}
	}
	i.Handle(start, isolator.Imported{Suspects: []codec.FlaggedFingerprint{report("u1", 20*time.Second), report("u2", 10*time.Second)}})
	i.Handle(start, isolator.AttemptStarted{Attempt: "1", Fingerprint: poison, Upstream: "u3"})
	i.Handle(start, isolator.AttemptEnded{Attempt: "1", End: isolator.EndCrashed})
	require.Positive(t, i.Suspicion(poison))
	require.Equal(t, []isolator.Command{isolator.Isolate{Ticket: 1}}, i.Handle(start, isolator.RunRequested{Ticket: 1, Fingerprint: poison}))
}

// Guards against a suspect that waits for those of another pool.
func TestPoolsHaveLanesOfTheirOwn(t *testing.T) {
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

// Guards against a proof from a connection that an upstream closed while it went on: one abort is not enough.
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

// Guards against suspicion that is not divided among the requests in flight, or that stays after a complete response.
func TestCrashSharesSuspicionAndAnswerClearsIt(t *testing.T) {
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
	}}}, i.Handle(at, isolator.AttemptEnded{Attempt: "b2", End: isolator.EndCrashed}), "a suspect beside others is not proven")
	i.Handle(start, isolator.AttemptStarted{Attempt: "a2", Fingerprint: "a", Upstream: "u"})
	i.Handle(start, isolator.AttemptEnded{Attempt: "a2", End: isolator.EndResponded})
	require.Zero(t, i.Suspicion("a"))
}

// Guards against proofs that do not spread, that a wrong clock makes permanent, or that never end.
func TestImportedProofsAreRefusedUntilTheyExpire(t *testing.T) {
	failOnViolation(t)
	i := isolator.New(isolator.Config{})
	i.Handle(start, isolator.Imported{Proven: []codec.FlaggedFingerprint{
		{Fingerprint: "x", ExpiresAt: start.Add(1000 * time.Hour)},
		{Fingerprint: "old", ExpiresAt: start.Add(-time.Second)},
	}})
	require.Equal(t, []codec.FlaggedFingerprint{{Fingerprint: "x", ExpiresAt: start.Add(time.Hour)}}, i.Proven())
	ask := func(at time.Time, id isolator.Ticket) isolator.Command {
		return i.Handle(at, isolator.RunRequested{Ticket: id, Fingerprint: "x"})[0]
	}
	require.IsType(t, isolator.Refuse{}, ask(start.Add(59*time.Minute), 1))
	require.IsType(t, isolator.Proceed{}, ask(start.Add(time.Hour), 2))
	i.Handle(start.Add(time.Hour), isolator.Tick{})
	require.Empty(t, i.Proven())
}
