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
	// StoreListed holds objects under the catalogue prefix, from a read or a watch of the store.
	StoreListed struct {
		List codec.ObjectList
		// Full is set if the list holds all objects under the prefix, so that a missing object does not exist.
		Full bool
	}
	// StoreFailed means that a read or a watch of the store failed.
	StoreFailed struct{}
	// Pushed is a delta from another host; the state machine responds with Reply.
	Pushed struct{ Delta codec.CatalogueDelta }
	// Compared is another host's digest; the state machine responds with Reply.
	Compared struct{ Digest codec.CatalogueDigest }
	// Responded is the response to a Push or a Compare.
	Responded struct {
		From     codec.Member
		Response codec.CatalogueAnswer
	}
	// Failed is a Push or a Compare that got no response.
	Failed struct{ To codec.Member }
	// RevisionReported is a hint that a host holds a revision.
	RevisionReported struct {
		Host     codec.Member
		Revision identifier.Revision
	}
)

func (Tick) isEvent()             {}
func (MembersChanged) isEvent()   {}
func (StoreListed) isEvent()      {}
func (StoreFailed) isEvent()      {}
func (Pushed) isEvent()           {}
func (Compared) isEvent()         {}
func (Responded) isEvent()        {}
func (Failed) isEvent()           {}
func (RevisionReported) isEvent() {}

// Command is an output of the state machine.
type Command interface{ isCommand() }

type (
	// ReadStore reads the catalogue once; the result arrives as StoreListed or StoreFailed.
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
	// Reply responds to the event that is being handled.
	Reply struct{ Response codec.CatalogueAnswer }
	// Apply puts a catalogue in effect on this host.
	Apply struct{ Catalogue *codec.Catalogue }
	// SetReady changes the readiness of this host.
	SetReady struct{ Ready bool }
	// RevisionSeen reports the revision that another host holds.
	RevisionSeen struct {
		Host     identifier.HostID
		Revision identifier.Revision
	}
	// Rejected reports a catalogue that was not applied.
	Rejected struct {
		From   string
		Reason string
	}
	// StoreState reports that the store became available or unavailable.
	StoreState struct{ Up bool }
)

func (ReadStore) isCommand()    {}
func (Watch) isCommand()        {}
func (Push) isCommand()         {}
func (Compare) isCommand()      {}
func (Reply) isCommand()        {}
func (Apply) isCommand()        {}
func (SetReady) isCommand()     {}
func (RevisionSeen) isCommand() {}
func (Rejected) isCommand()     {}
func (StoreState) isCommand()   {}
