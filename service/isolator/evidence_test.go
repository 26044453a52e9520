package isolator_test

import (
	"fmt"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"celerygap.example/lib/codec"
	"celerygap.example/lib/identifier"
	"celerygap.example/service/isolator"
)

// evidence plays attempts of requests of one kind against an isolator.
type evidence struct {
	isolator *isolator.Isolator
	now      time.Time
	kind     identifier.Fingerprint
	last     int
}

func newEvidence(t *testing.T, kind identifier.Fingerprint) *evidence {
	failOnViolation(t)
	return &evidence{isolator: isolator.New(isolator.Config{}), now: start, kind: kind}
}

func (e *evidence) begin(fingerprint identifier.Fingerprint, upstream identifier.UpstreamID) identifier.AttemptID {
	e.last++
	e.now = e.now.Add(time.Second)
	id := identifier.AttemptID(fmt.Sprint(e.last))
	e.isolator.Handle(e.now, isolator.AttemptStarted{Attempt: id, Fingerprint: fingerprint, Kind: e.kind, Upstream: upstream})
	return id
}

// end ends an attempt and returns the fingerprints that this proves.
func (e *evidence) end(id identifier.AttemptID, end isolator.End) (proven []identifier.Fingerprint) {
	for _, command := range e.isolator.Handle(e.now, isolator.AttemptEnded{Attempt: id, End: end}) {
		if c, ok := command.(isolator.Proved); ok {
			proven = append(proven, c.Proven.Fingerprint)
		}
	}
	return proven
}

func (e *evidence) decide(fingerprint identifier.Fingerprint) isolator.Command {
	e.last++
	return e.isolator.Handle(e.now, isolator.RunRequested{Ticket: isolator.Ticket(e.last), Fingerprint: fingerprint, Kind: e.kind})[0]
}

// Guards against proving a request by attempts that were in flight together, on upstreams that fail together: after two upstreams
// went down, all requests to a path were refused for an hour.
func TestAttemptsInFlightTogetherProveNothing(t *testing.T) {
	for _, end := range []isolator.End{isolator.EndCrashed, isolator.EndAborted} {
		e := newEvidence(t, "")
		attempts := []identifier.AttemptID{e.begin("x", "u1"), e.begin("x", "u2"), e.begin("x", "u3")}
		for _, id := range attempts {
			require.Empty(t, e.end(id, end), end)
		}
		require.IsType(t, isolator.Isolate{}, e.decide("x"), "the next attempt runs alone")
	}
}

// Guards against proving a request by another host's report of the crash that ends its own attempt, too.
func TestReportOfTheSameCrashProvesNothing(t *testing.T) {
	e := newEvidence(t, "")
	id := e.begin("x", "u1")
	report := func(upstream identifier.UpstreamID) {
		e.isolator.Handle(e.now, isolator.Imported{Suspects: []codec.FlaggedFingerprint{
			{Fingerprint: "x", ExpiresAt: e.now.Add(isolator.DefaultSuspicionExpiry), Upstream: upstream},
		}})
	}
	e.now = e.now.Add(time.Second)
	report("u1")
	require.Empty(t, e.end(id, isolator.EndCrashed))

	e = newEvidence(t, "")
	id = e.begin("x", "u1")
	e.now = e.now.Add(time.Second)
	report("u2")
	require.Empty(t, e.end(id, isolator.EndCrashed), "it was in flight when the other upstream crashed")
	require.Equal(t, []identifier.Fingerprint{"x"}, e.end(e.begin("x", "u3"), isolator.EndCrashed))
}

// Guards against refusing a request that gets responses elsewhere, because one attempt that ran alone met a crash by chance, at this
// host or at another.
func TestCoincidenceDoesNotProveARequestThatGetsResponses(t *testing.T) {
	e := newEvidence(t, "")
	require.Empty(t, e.end(e.begin("x", "u1"), isolator.EndResponded))
	require.Empty(t, e.end(e.begin("x", "u2"), isolator.EndCrashed))
	require.Empty(t, e.end(e.begin("x", "u3"), isolator.EndCrashed))
	proof := codec.FlaggedFingerprint{Fingerprint: "x", ExpiresAt: e.now.Add(time.Hour)}
	e.isolator.Handle(e.now, isolator.Imported{Proven: []codec.FlaggedFingerprint{proof}})
	require.IsType(t, isolator.Isolate{}, e.decide("x"))
	require.Equal(t, []identifier.Fingerprint{"x"}, e.end(e.begin("x", "u4"), isolator.EndCrashed), "a second crash without a response")
}

// Guards against refusing sound requests because a crashing one differs from them only in a member id of its body, and against a
// crashing request that crashes a third upstream because they get responses.
func TestCrashingRequestAmongSoundOnesOfItsKind(t *testing.T) {
	e := newEvidence(t, "kind")
	require.Empty(t, e.end(e.begin("sound 1", "u1"), isolator.EndResponded))
	beside := e.begin("sound 2", "u2")
	require.Empty(t, e.end(e.begin(crashing, "u2"), isolator.EndCrashed))
	e.end(beside, isolator.EndCrashed)
	require.IsType(t, isolator.Proceed{}, e.decide("sound 3"))
	require.IsType(t, isolator.Isolate{}, e.decide(crashing))
	require.Equal(t, []identifier.Fingerprint{crashing}, e.end(e.begin(crashing, "u3"), isolator.EndCrashed))
	require.IsType(t, isolator.Refuse{}, e.decide(crashing))
	require.IsType(t, isolator.Proceed{}, e.decide("sound 3"))
	e.now = e.now.Add(10 * time.Minute)
	require.IsType(t, isolator.Proceed{}, e.decide("sound 4"), "also after a time without requests")
}

// Guards against a crashing request whose caller gives it another id each time that it sends it again.
func TestCrashingRequestWithNewIDsIsProvenByItsKind(t *testing.T) {
	e := newEvidence(t, "kind")
	require.Empty(t, e.end(e.begin("first", "u1"), isolator.EndCrashed))
	require.IsType(t, isolator.Isolate{}, e.decide("second"))
	require.Equal(t, []identifier.Fingerprint{"second", "kind"}, e.end(e.begin("second", "u2"), isolator.EndCrashed))
	require.IsType(t, isolator.Refuse{}, e.decide("third"))
}

// Guards against memory that grows with the number of requests.
func TestResponsesAreForgotten(t *testing.T) {
	e := newEvidence(t, "")
	require.Empty(t, e.end(e.begin("x", "u1"), isolator.EndResponded))
	for n := range 10_000 {
		id := identifier.AttemptID(fmt.Sprint("many ", n))
		e.isolator.Handle(e.now, isolator.AttemptStarted{Attempt: id, Fingerprint: identifier.Fingerprint(id), Upstream: "u1"})
		e.isolator.Handle(e.now, isolator.AttemptEnded{Attempt: id, End: isolator.EndResponded})
	}
	require.Empty(t, e.end(e.begin("x", "u2"), isolator.EndCrashed))
	require.Equal(t, []identifier.Fingerprint{"x"}, e.end(e.begin("x", "u3"), isolator.EndCrashed))
}
