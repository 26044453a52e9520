package limiter

import (
	"time"

	"celerygap.example/lib/codec"
	"celerygap.example/lib/identifier"
	"celerygap.example/lib/refuser"
)

// RequestID identifies a request on this host.
type RequestID uint64

// Event is an input of the limiter.
type Event interface{ isEvent() }

// EntryLimits are the limits of one catalogue entry over all hosts.
type EntryLimits struct {
	Entry  identifier.EntryName
	Pool   identifier.PoolName
	Limits codec.Limits
}

// Configured replaces the limits of all entries.
type Configured struct{ Entries []EntryLimits }

// ShareSet sets the part of an entry's limits that this host may use, above zero and at most one.
type ShareSet struct {
	Entry identifier.EntryName
	Share float64
}

// PoolSized tells how many requests a pool can run at once and how many run there, those of other hosts included. Zero
// slots mean unknown. It is sent once a second.
type PoolSized struct {
	Pool  identifier.PoolName
	Slots int
	Load  int
}

// Arrived is a new request; the answer is Admitted, Queued or Refused.
type Arrived struct {
	ID       RequestID
	Entry    identifier.EntryName
	Class    codec.EntryClass
	Priority int
	Deadline time.Time
}

// CallerLeft removes a waiting request whose caller is gone.
type CallerLeft struct{ ID RequestID }

// Finished ends an admitted request.
type Finished struct{ ID RequestID }

// Tick advances the time of the state machine: tokens accrue and waiting requests expire.
type Tick struct{}

// RetryAsked asks to repeat an attempt; the answer is RetryAllowed or RetryDenied.
type RetryAsked struct{ Entry identifier.EntryName }

func (Configured) isEvent() {}
func (ShareSet) isEvent()   {}
func (PoolSized) isEvent()  {}
func (Arrived) isEvent()    {}
func (CallerLeft) isEvent() {}
func (Finished) isEvent()   {}
func (Tick) isEvent()       {}
func (RetryAsked) isEvent() {}

// Command is an output of the limiter.
type Command interface{ isCommand() }

// Admitted lets a request run.
type Admitted struct{ ID RequestID }

// Queued lets a request wait for Admitted or Refused.
type Queued struct{ ID RequestID }

// Refused ends a request of which nothing ran.
type Refused struct {
	ID         RequestID
	Reason     refuser.Reason
	RetryAfter time.Duration
}

// RetryAllowed allows one repeat.
type RetryAllowed struct{}

// RetryDenied denies a repeat; the budget has room again after RetryAfter.
type RetryDenied struct{ RetryAfter time.Duration }

func (Admitted) isCommand()     {}
func (Queued) isCommand()       {}
func (Refused) isCommand()      {}
func (RetryAllowed) isCommand() {}
func (RetryDenied) isCommand()  {}
