package disseminator

import (
	"celerygap.example/lib/codec"
	"celerygap.example/lib/identifier"
)

// Event is an input of the state machine.
type Event interface{ isEvent() }

type (
	// Tick advances the time of the state machine.
	Tick struct{}
	// MembersChanged replaces the live hosts; Live holds this host too, unless it is leaving.
	MembersChanged struct {
		Self codec.Member
		Live []codec.Member
	}
	// StoreSeen holds objects under the catalogue prefix.
	StoreSeen struct {
		List codec.ObjectList
		// Full tells that the list holds all objects under the prefix, so that a missing object does not exist.
		Full bool
	}
	// StoreFailed means that the store did not answer.
	StoreFailed struct{}
	// Pushed is a delta from another host; it is answered by Reply.
	Pushed struct{ Delta codec.CatalogueDelta }
	// Compared is another host's digest; it is answered by Reply.
	Compared struct{ Digest codec.CatalogueDigest }
	// Answered is the reply to a Push or a Compare.
	Answered struct {
		From   codec.Member
		Answer codec.CatalogueAnswer
	}
	// Failed is a Push or a Compare that got no reply.
	Failed struct{ To codec.Member }
	// RevisionReported is a hint that a host holds a revision.
	RevisionReported struct {
		Host     codec.Member
		Revision identifier.Revision
	}
)

func (Tick) isEvent()             {}
func (MembersChanged) isEvent()   {}
func (StoreSeen) isEvent()        {}
func (StoreFailed) isEvent()      {}
func (Pushed) isEvent()           {}
func (Compared) isEvent()         {}
func (Answered) isEvent()         {}
func (Failed) isEvent()           {}
func (RevisionReported) isEvent() {}

// Command is an output of the state machine.
type Command interface{ isCommand() }

type (
	// ReadStore reads the catalogue once; the result comes back as StoreSeen or StoreFailed.
	ReadStore struct{}
	// Watch starts or ends the store's watch.
	Watch struct{ Enabled bool }
	// Push sends a delta.
	Push struct {
		To    codec.Member
		Delta codec.CatalogueDelta
	}
	// Compare sends a digest.
	Compare struct {
		To     codec.Member
		Digest codec.CatalogueDigest
	}
	// Reply answers the event that is being handled.
	Reply struct{ Answer codec.CatalogueAnswer }
	// Apply puts a catalogue in effect on this host.
	Apply struct{ Catalogue *codec.Catalogue }
	// SetReady changes the readiness of this host.
	SetReady struct{ Ready bool }
	// Seen reports the revision that a host holds.
	Seen struct {
		Host     identifier.HostID
		Revision identifier.Revision
	}
	// Rejected reports a catalogue that was not applied.
	Rejected struct {
		From   string
		Reason string
	}
	// StoreState reports that the store stopped or began to answer.
	StoreState struct{ Up bool }
)

func (ReadStore) isCommand()  {}
func (Watch) isCommand()      {}
func (Push) isCommand()       {}
func (Compare) isCommand()    {}
func (Reply) isCommand()      {}
func (Apply) isCommand()      {}
func (SetReady) isCommand()   {}
func (Seen) isCommand()       {}
func (Rejected) isCommand()   {}
func (StoreState) isCommand() {}
