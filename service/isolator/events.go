package isolator

import (
	"time"

	"celerygap.example/lib/codec"
	"celerygap.example/lib/identifier"
)

// Ticket identifies a request that asks to run.
type Ticket uint64

// End says how an attempt ended, as far as the upstream's health is concerned.
type End string

// The ends of attempts.
const (
	// EndResponded means a complete response; it clears the fingerprint.
	EndResponded End = "answered"
	// EndCrashed means that the connection was lost and the upstream no longer accepts connections.
	EndCrashed End = "crashed"
	// EndAborted means that the upstream closed the connection early but still accepts connections. Either it ended
	// this attempt only, or it crashed and restarted before it was probed.
	EndAborted End = "aborted"
	// EndOther says nothing about the request: refused, cancelled, stalled or mismatched.
	EndOther End = "other"
)

// Event is an input of the isolator.
type Event interface{ isEvent() }

// RunRequested requests permission to run a request now; the command returned is Proceed, Isolate, Hold or Refuse.
type RunRequested struct {
	Ticket      Ticket
	Fingerprint identifier.Fingerprint
	Class       codec.EntryClass
	// Pool has lanes of its own, so that suspects of one pool do not wait for those of another.
	Pool identifier.PoolName
}

// Withdrawn ends a ticket: its attempt is over, or the request no longer waits.
type Withdrawn struct{ Ticket Ticket }

// AttemptStarted reports an attempt that is about to be sent.
type AttemptStarted struct {
	Attempt     identifier.AttemptID
	Fingerprint identifier.Fingerprint
	Upstream    identifier.UpstreamID
}

// AttemptEnded reports the end of an attempt.
type AttemptEnded struct {
	Attempt identifier.AttemptID
	End     End
}

// Imported adds fingerprints that other hosts have proven or suspect.
type Imported struct{ Proven, Suspects []codec.FlaggedFingerprint }

// Tick advances the time of the state machine.
type Tick struct{}

func (RunRequested) isEvent()   {}
func (Withdrawn) isEvent()      {}
func (AttemptStarted) isEvent() {}
func (AttemptEnded) isEvent()   {}
func (Imported) isEvent()       {}
func (Tick) isEvent()           {}

// Command is an output of the isolator.
type Command interface{ isCommand() }

// Proceed lets a request run beside others.
type Proceed struct{ Ticket Ticket }

// Isolate lets a suspect run alone on an upstream; the place is taken until Withdrawn.
type Isolate struct{ Ticket Ticket }

// Hold makes a suspect wait for another command.
type Hold struct{ Ticket Ticket }

// Refuse ends a request whose fingerprint is proven.
type Refuse struct {
	Ticket Ticket
	Until  time.Time
}

// Stop ends a running attempt whose fingerprint has been proven meanwhile.
type Stop struct{ Attempt identifier.AttemptID }

// Proved announces a fingerprint that this host has proven.
type Proved struct{ Proven codec.FlaggedFingerprint }

// Suspected announces the fingerprints that were in flight at a crash, so that other hosts run them alone as well.
type Suspected struct{ Suspects []codec.FlaggedFingerprint }

func (Proceed) isCommand()   {}
func (Isolate) isCommand()   {}
func (Hold) isCommand()      {}
func (Refuse) isCommand()    {}
func (Stop) isCommand()      {}
func (Proved) isCommand()    {}
func (Suspected) isCommand() {}
