package prober

import (
	"celerygap.example/lib/codec"
	"celerygap.example/lib/identifier"
)

// Event is an input of the decision.
type Event interface{ event() }

// ProbeID numbers the probes that this host starts.
type ProbeID int64

type (
	// Tick lets time pass.
	Tick struct{}
	// Listed is the platform's list of celerygap hosts.
	Listed struct{ Hosts []ListedMember }
	// Received is a probe by another host; it is answered by Reply.
	Received struct{ Message codec.ProbeMessage }
	// RelayRequested is a request to probe a third host; it is answered by Relay, or by Reply for an unknown target.
	RelayRequested struct{ Message codec.ProbeMessage }
	// Answered is the reply to a probe.
	Answered struct {
		ID    ProbeID
		Reply codec.ProbeMessage
	}
	// Failed is a probe that got no reply.
	Failed struct{ ID ProbeID }
	// Relayed is the result of a probe that another host made on request.
	Relayed struct {
		ID      ProbeID
		Reached bool
		Reply   codec.ProbeMessage
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

func (Tick) event()           {}
func (Listed) event()         {}
func (Received) event()       {}
func (RelayRequested) event() {}
func (Answered) event()       {}
func (Failed) event()         {}
func (Relayed) event()        {}
func (Flagged) event()        {}
func (Leave) event()          {}

// Command is an output of the decision.
type Command interface{ command() }

type (
	// Send probes a host; the result comes back as Answered or Failed.
	Send struct {
		ID      ProbeID
		To      codec.Member
		Message codec.ProbeMessage
	}
	// SendIndirect asks a host to probe a third one; the result comes back as Relayed.
	SendIndirect struct {
		ID      ProbeID
		Via     codec.Member
		Message codec.ProbeMessage
	}
	// Reply answers the event that is being handled.
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
	}
	// Changed reports a change of one member for the log.
	Changed struct {
		Member codec.Member
		From   codec.MemberState
	}
	// Learned reports fingerprints that other hosts proved or suspect.
	Learned struct{ Proven, Suspects []codec.FlaggedFingerprint }
	// RevisionSeen reports the catalogue revision that another host holds.
	RevisionSeen struct {
		Host     codec.Member
		Revision identifier.Revision
	}
)

func (Send) command()         {}
func (SendIndirect) command() {}
func (Reply) command()        {}
func (Relay) command()        {}
func (Publish) command()      {}
func (Changed) command()      {}
func (Learned) command()      {}
func (RevisionSeen) command() {}
