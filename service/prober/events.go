package prober

import (
	"celerygap.example/lib/codec"
	"celerygap.example/lib/identifier"
)

// Event is an input of the state machine.
type Event interface{ isEvent() }

// ProbeID numbers the probes that this host starts.
type ProbeID int64

type (
	// Tick advances the time of the state machine.
	Tick struct{}
	// Listed is the platform's list of celerygap hosts.
	Listed struct{ Hosts []ListedMember }
	// Received is a probe by another host; the state machine responds with Reply.
	Received struct{ Message codec.ProbeMessage }
	// RelayRequested is a request to probe a third host; the state machine responds with Relay, or with Reply if the target
	// is unknown.
	RelayRequested struct{ Message codec.ProbeMessage }
	// Responded is the response to a probe.
	Responded struct {
		ID       ProbeID
		Response codec.ProbeMessage
	}
	// Failed is a direct probe that got no response.
	Failed struct{ ID ProbeID }
	// Relayed is the result of a probe that another host made on request.
	Relayed struct {
		ID       ProbeID
		Reached  bool
		Response codec.ProbeMessage
	}
	// Flagged adds fingerprints that this host proved or suspects to crash upstreams.
	Flagged struct{ Proven, Suspects []codec.FlaggedFingerprint }
	// Leave announces the planned stop of this host.
	Leave struct{}
)

// ListedMember is a host of the platform's list.
type ListedMember struct {
	Member  codec.Member
	Leaving bool
}

func (Tick) isEvent()           {}
func (Listed) isEvent()         {}
func (Received) isEvent()       {}
func (RelayRequested) isEvent() {}
func (Responded) isEvent()      {}
func (Failed) isEvent()         {}
func (Relayed) isEvent()        {}
func (Flagged) isEvent()        {}
func (Leave) isEvent()          {}

// Command is an output of the state machine.
type Command interface{ isCommand() }

type (
	// Send probes a host; the result arrives as Responded or Failed.
	Send struct {
		ID      ProbeID
		To      codec.Member
		Message codec.ProbeMessage
	}
	// SendIndirect requests a probe of a third host from Via; the result arrives as Relayed.
	SendIndirect struct {
		ID      ProbeID
		Via     codec.Member
		Message codec.ProbeMessage
	}
	// Reply responds to the event that is being handled.
	Reply struct{ Message codec.ProbeMessage }
	// Relay probes a third host for the sender of the event that is being handled.
	Relay struct {
		To      codec.Member
		Message codec.ProbeMessage
	}
	// Publish replaces the list of live hosts and this host's own entry.
	Publish struct {
		Self codec.Member
		Live []codec.Member
		// Joined is set once another host has sent a complete member list.
		Joined bool
	}
	// Changed reports a change of state of one member, for the log.
	Changed struct {
		Member codec.Member
		From   codec.MemberState
	}
	// Learned reports fingerprints that other hosts proved or suspect.
	Learned struct{ Proven, Suspects []codec.FlaggedFingerprint }
	// RevisionReported reports the catalogue revision that another host holds.
	RevisionReported struct {
		Host     codec.Member
		Revision identifier.Revision
	}
)

func (Send) isCommand()             {}
func (SendIndirect) isCommand()     {}
func (Reply) isCommand()            {}
func (Relay) isCommand()            {}
func (Publish) isCommand()          {}
func (Changed) isCommand()          {}
func (Learned) isCommand()          {}
func (RevisionReported) isCommand() {}
