package isolator

import (
	"time"

	"celerygap.example/lib/codec"
	"celerygap.example/lib/identifier"
)

// Ticket identifies a request for permission to run.
type Ticket uint64

// End is how an attempt ended, as far as it shows whether the upstream crashed.
type End string

// The ends of attempts.
const (
	// EndResponded means a complete response; it clears the suspicion of the fingerprint.
	EndResponded End = "answered"
	// EndCrashed means that the connection was lost and the upstream no longer accepts connections.
	EndCrashed End = "crashed"
	// EndAborted means that the upstream closed the connection early but still accepts connections. Either it ended
	// this attempt only, or it crashed and restarted before it was probed.
	EndAborted End = "aborted"
	// EndOther means any other end, such as a refusal, a cancellation, a stall or a mismatch, which shows nothing about the
	// request.
	EndOther End = "other"
)

// Event is an input of the isolator.
type Event interface{ isEvent() }

// RunRequested requests permission to run a request now. The command for it is Proceed, Isolate, Hold or Refuse; after
// Hold, another one follows later.
type RunRequested struct {
	Ticket      Ticket
	Fingerprint identifier.Fingerprint
	// Kind is shared by the requests that differ only in what callers change when they send a request again. Empty means
	// Fingerprint.
	Kind  identifier.Fingerprint
	Class codec.EntryClass
	// Pool is the request's pool; suspects wait only for suspects of the same pool.
	Pool identifier.PoolName
}

// Withdrawn ends a ticket: its attempt is over, or the request no longer waits.
type Withdrawn struct{ Ticket Ticket }

// AttemptStarted reports an attempt that is about to be sent to an upstream.
type AttemptStarted struct {
	Attempt     identifier.AttemptID
	Fingerprint identifier.Fingerprint
	// Kind is that of RunRequested.
	Kind     identifier.Fingerprint
	Upstream identifier.UpstreamID
	// Sound is set for a request that never crashes upstreams by itself. It needs no permission to run.
	Sound bool
}

// AttemptEnded reports how an attempt ended.
type AttemptEnded struct {
	Attempt identifier.AttemptID
	End     End
}

// Imported adds the proven fingerprints and the suspects of other hosts.
type Imported struct{ Proven, Suspects []codec.FlaggedFingerprint }

// Tick advances the time of the state machine: suspicion and proofs expire.
type Tick struct{}

func (RunRequested) isEvent()   {}
func (Withdrawn) isEvent()      {}
func (AttemptStarted) isEvent() {}
func (AttemptEnded) isEvent()   {}
func (Imported) isEvent()       {}
func (Tick) isEvent()           {}

// Command is an output of the isolator.
type Command interface{ isCommand() }

// Proceed lets a request run on an upstream together with others.
type Proceed struct{ Ticket Ticket }

// Isolate lets a suspect run alone on an upstream. It counts against Config.MaxIsolated until Withdrawn.
type Isolate struct{ Ticket Ticket }

// Hold makes a suspect wait until another command for its ticket follows.
type Hold struct{ Ticket Ticket }

// Refuse refuses a request whose fingerprint is proven until the given time.
type Refuse struct {
	Ticket Ticket
	Until  time.Time
}

// Stop ends a running attempt whose fingerprint has been proven since its start.
type Stop struct{ Attempt identifier.AttemptID }

// Proved announces to other hosts a fingerprint that this host has proven.
type Proved struct{ Proven codec.FlaggedFingerprint }

// Suspected announces to other hosts the fingerprints that this host had in flight at a crash, so that they run them alone
// as well.
type Suspected struct{ Suspects []codec.FlaggedFingerprint }

func (Proceed) isCommand()   {}
func (Isolate) isCommand()   {}
func (Hold) isCommand()      {}
func (Refuse) isCommand()    {}
func (Stop) isCommand()      {}
func (Proved) isCommand()    {}
func (Suspected) isCommand() {}
