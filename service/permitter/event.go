package permitter

import (
	"time"

	"celerygap.example/lib/codec"
	"celerygap.example/lib/identifier"
)

// Token identifies one call that waits for a Reply or a Confirm.
type Token uint64

// StoreResult is how a call to the store ended.
type StoreResult string

// The results of a call to the store.
const (
	StoreOK       StoreResult = "ok"
	StoreConflict StoreResult = "conflict"
	// StoreMissing means that the object does not exist.
	StoreMissing StoreResult = "missing"
	// StoreUnavailable means that the call certainly had no effect.
	StoreUnavailable StoreResult = "down"
	// StoreThrottled means that the call had no effect and may be repeated soon.
	StoreThrottled StoreResult = "throttled"
	// StoreOutcomeUnknown means that a write may have taken effect.
	StoreOutcomeUnknown StoreResult = "uncertain"
)

// Segment is one object of a shard's chain.
type Segment struct {
	Number int64
	// Version is the store's version; zero means that the object does not exist.
	Version int64
	Value   codec.PermitSegment
}

// recreated reports whether the segment was deleted after the retention and created again by an owner whose chain is
// outdated. Such an owner writes version 1, while the store continues to count the versions of the key.
func (s Segment) recreated() bool { return s.Version != s.Value.Version }

// Event is an input of a Shard.
type Event interface{ isEvent() }

// Requested is a request for a permit.
type Requested struct {
	Token   Token
	Request codec.PermitRequest
}

// Completed is a call that reports how a permitted request ended.
type Completed struct {
	Token      Token
	Completion codec.PermitCompletion
}

// Listed is the result of List, with the segments in ascending order.
type Listed struct {
	Result   StoreResult
	Segments []Segment
}

// Written is the result of Put: the written segment, or the current one after a conflict.
type Written struct {
	Result  StoreResult
	Segment Segment
}

// Fetched is the result of Get.
type Fetched struct {
	Result  StoreResult
	Segment Segment
}

// Deleted is the result of Delete.
type Deleted struct {
	Result StoreResult
	Number int64
}

// MembersChanged replaces the live members.
type MembersChanged struct{ Live map[identifier.HostID]bool }

// Released ends the ownership of the shard.
type Released struct{}

// TimerFired is the event that SetTimer requested.
type TimerFired struct{}

func (Requested) isEvent()      {}
func (Completed) isEvent()      {}
func (Listed) isEvent()         {}
func (Written) isEvent()        {}
func (Fetched) isEvent()        {}
func (Deleted) isEvent()        {}
func (MembersChanged) isEvent() {}
func (Released) isEvent()       {}
func (TimerFired) isEvent()     {}

// Command is an output of a Shard.
type Command interface{ isCommand() }

// List reads all segments of the shard.
type List struct{}

// Put writes a segment if its version is still Expected.
type Put struct {
	Number   int64
	Expected int64
	Value    codec.PermitSegment
}

// Get reads one segment.
type Get struct{ Number int64 }

// Delete removes an expired segment.
type Delete struct {
	Number   int64
	Expected int64
}

// Reply is the decision on a Requested.
type Reply struct {
	Token Token
	Reply codec.PermitReply
}

// Confirm is the result of a Completed; an empty reason means that the completion is recorded.
type Confirm struct {
	Token  Token
	Reason string
}

// SetTimer requests a TimerFired at a time; a later SetTimer replaces it.
type SetTimer struct{ At time.Time }

func (List) isCommand()     {}
func (Put) isCommand()      {}
func (Get) isCommand()      {}
func (Delete) isCommand()   {}
func (Reply) isCommand()    {}
func (Confirm) isCommand()  {}
func (SetTimer) isCommand() {}
