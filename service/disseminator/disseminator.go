package disseminator

import (
	"encoding/json"
	"fmt"
	"math/rand/v2"
	"time"

	"celerygap.example/lib/asserter"
	"celerygap.example/lib/codec"
	"celerygap.example/lib/identifier"
)

// The keys of the catalogue in the store.
const (
	// Prefix is the key prefix of the store's watch.
	Prefix = "catalogue/"
	// Key is the object that holds the catalogue.
	Key = "catalogue/current"
)

// The timing and fan-out of section 5.1 of docs/design.md.
const (
	// CompareInterval is the time between two comparisons with a random peer.
	CompareInterval = 3 * time.Second
	// Fanout is how many peers a host pushes a new revision to, and how many it queries in a confirmation round.
	Fanout = 4
	// WatchersPerZone is how many hosts of an availability zone hold the store's watch.
	WatchersPerZone = 2
	// confirmInterval is the time between two confirmation rounds, which check whether this host holds the highest known
	// revision.
	confirmInterval = 3 * time.Second
	// confirmTimeout is how long a confirmation round waits for peers; a peer without a response by then counts as
	// unreachable.
	confirmTimeout = 1500 * time.Millisecond
	// pullTimeout is how long a pull in progress prevents further ones.
	pullTimeout = time.Second
	// behindLimit is how long a ready host may know of a higher revision without holding it before it stops being ready.
	behindLimit = 5 * time.Second
	// freezeGap is the time between two events, ticks included, above which a host must confirm its revision again.
	freezeGap = 6 * time.Second
	// repairInterval is the least time between two reads of the store because of a different digest at the same revision.
	repairInterval = 10 * time.Second
)

// Config configures a Disseminator.
type Config struct {
	Self codec.Member
	Rand *rand.Rand
}

// Disseminator is the state machine that keeps the catalogue of one host current.
type Disseminator struct {
	config   Config
	self     codec.Member
	copy     *catalogueCopy
	live     []codec.Member
	inEffect map[identifier.HostID]identifier.Revision
	// highest is the highest revision of a live host; it is computed again when inEffectChanged is set.
	highest         identifier.Revision
	inEffectChanged bool

	// known is set once the store, or a host whose known is set, has reported the catalogue's state. Until then a revision
	// of 0 does not mean that the catalogue is empty.
	known     bool
	watching  bool
	storeUp   bool
	storeSeen bool

	confirm     confirmation
	ready       bool
	behindSince time.Time
	lastEvent   time.Time
	nextCompare time.Time
	nextRepair  time.Time
	pullUntil   time.Time
	out         []Command
}

// confirmation is one round of queries to the store and to peers that checks whether this host holds the highest known
// revision.
type confirmation struct {
	started        time.Time
	storeQueried   bool
	storeDone      bool
	storeResponded bool
	waiting        map[identifier.HostID]bool
	responses      int
}

// New returns a disseminator that knows of no catalogue yet.
func New(config Config) *Disseminator {
	return &Disseminator{
		config:   config,
		self:     config.Self,
		copy:     newCopy(),
		inEffect: make(map[identifier.HostID]identifier.Revision),
		storeUp:  true,
	}
}

// Handle takes one event and returns the commands that follow from it.
func (d *Disseminator) Handle(now time.Time, event Event) []Command {
	d.out = nil
	d.detectFreeze(now)
	switch e := event.(type) {
	case Tick:
		d.tick(now)
	case MembersChanged:
		d.setMembers(e.Self, e.Live)
	case StoreListed:
		d.storeListed(now, e)
	case StoreFailed:
		d.storeFailed()
	case Pushed:
		d.recordRevision(e.Delta.From, e.Delta.Revision)
		d.applyDelta(now, d.member(e.Delta.From), e.Delta)
		d.emit(Reply{Response: d.response(e.Delta.Revision)})
	case Compared:
		d.recordRevision(e.Digest.From, e.Digest.Revision)
		d.compared(now, e.Digest)
	case Responded:
		d.responded(now, e.From, e.Response)
	case Failed:
		d.pullUntil = time.Time{}
		delete(d.confirm.waiting, e.To.ID)
	case RevisionReported:
		d.recordRevision(e.Host.ID, e.Revision)
		if e.Revision > d.revision() {
			d.pull(now, e.Host)
		}
	}
	d.updateReady(now)
	return d.out
}

func (d *Disseminator) emit(command Command) { d.out = append(d.out, command) }

func (d *Disseminator) revision() identifier.Revision { return d.copy.catalogue.Revision }

func (d *Disseminator) recordRevision(host identifier.HostID, revision identifier.Revision) {
	if host == "" || host == d.self.ID {
		return
	}
	if former, ok := d.inEffect[host]; ok && former == revision {
		return
	}
	d.inEffect[host] = revision
	d.inEffectChanged = true
	d.emit(RevisionSeen{Host: host, Revision: revision})
}

func (d *Disseminator) member(id identifier.HostID) codec.Member {
	for _, m := range d.live {
		if m.ID == id {
			return m
		}
	}
	return codec.Member{ID: id}
}

func (d *Disseminator) digest() codec.CatalogueDigest {
	return codec.CatalogueDigest{From: d.self.ID, Revision: d.revision(), Digest: d.copy.digest, Known: d.known}
}

// response returns the digest of this host, and the changes if the other host's revision is lower.
func (d *Disseminator) response(theirs identifier.Revision) codec.CatalogueAnswer {
	response := codec.CatalogueAnswer{Digest: d.digest()}
	if theirs < d.revision() {
		delta := d.copy.delta(d.self.ID, theirs)
		response.Delta = &delta
	}
	return response
}

func (d *Disseminator) compared(now time.Time, theirs codec.CatalogueDigest) {
	d.checkDigest(now, theirs)
	d.emit(Reply{Response: d.response(theirs.Revision)})
	if theirs.Revision > d.revision() {
		d.pull(now, d.member(theirs.From))
	}
}

func (d *Disseminator) responded(now time.Time, from codec.Member, response codec.CatalogueAnswer) {
	d.pullUntil = time.Time{}
	d.recordRevision(from.ID, response.Digest.Revision)
	d.checkDigest(now, response.Digest)
	if response.Digest.Known {
		d.known = true
	}
	if d.confirm.waiting[from.ID] {
		delete(d.confirm.waiting, from.ID)
		d.confirm.responses++
	}
	switch {
	case response.Delta != nil:
		d.applyDelta(now, from, *response.Delta)
	case response.Digest.Revision < d.revision():
		d.emit(Push{To: from, Delta: d.copy.delta(d.self.ID, response.Digest.Revision)})
	}
}

// checkDigest reads the store if another host holds other content at the same revision: one of the two is damaged.
func (d *Disseminator) checkDigest(now time.Time, theirs codec.CatalogueDigest) {
	if theirs.Revision != d.revision() || theirs.Digest == d.copy.digest || theirs.Digest == "" {
		return
	}
	d.emit(Rejected{From: string(theirs.From), Reason: "other content at the same revision"})
	if now.Before(d.nextRepair) {
		return
	}
	d.nextRepair = now.Add(repairInterval)
	d.emit(ReadStore{})
}

// applyDelta applies a delta or queries its sender for what is missing.
func (d *Disseminator) applyDelta(now time.Time, from codec.Member, delta codec.CatalogueDelta) {
	if delta.Revision <= d.revision() {
		return
	}
	if delta.BaseRevision > d.revision() {
		d.pull(now, from)
		return
	}
	next := d.copy.patched(delta)
	digest := digestOf(next)
	if digest == delta.Digest {
		d.known = true
		d.apply(next, digest)
		return
	}
	if delta.BaseRevision == 0 || delta.BaseRevision == d.revision() {
		reason := fmt.Sprintf("digest mismatch of revision %d from base %d", delta.Revision, delta.BaseRevision)
		d.emit(Rejected{From: string(from.ID), Reason: reason})
	}
	if delta.BaseRevision > 0 {
		d.emit(Compare{To: from, Digest: codec.CatalogueDigest{From: d.self.ID, Known: d.known}})
	}
}

// apply puts a higher revision in effect and pushes it once. A host that is not ready does not push, because the others
// have the revision already.
func (d *Disseminator) apply(next *codec.Catalogue, digest string) {
	former := d.revision()
	asserter.Check(asserter.RevisionNeverReverts, next.Revision > former, "host %s: revision %d after %d", d.self.ID, next.Revision, former)
	d.copy.replace(next, digest)
	d.emit(Apply{Catalogue: next})
	if !d.ready {
		return
	}
	delta := d.copy.delta(d.self.ID, former)
	for _, to := range d.randomPeers(Fanout) {
		d.emit(Push{To: to, Delta: delta})
	}
}

// pull queries a host for its higher revision, unless another pull is in progress.
func (d *Disseminator) pull(now time.Time, from codec.Member) {
	if now.Before(d.pullUntil) || from.Address == "" {
		return
	}
	d.pullUntil = now.Add(pullTimeout)
	d.emit(Compare{To: from, Digest: d.digest()})
}

func (d *Disseminator) storeListed(now time.Time, e StoreListed) {
	d.setStoreUp(true)
	d.confirm.storeDone = true
	d.confirm.storeResponded = true
	found := false
	for _, object := range e.List.Objects {
		if object.Key == Key && !object.Deleted {
			found = true
			d.applyObject(now, object)
		}
	}
	if !found && e.Full {
		d.known = true
	}
}

func (d *Disseminator) applyObject(now time.Time, object codec.Object) {
	var stored codec.Catalogue
	if err := json.Unmarshal(object.Value, &stored); err != nil {
		d.emit(Rejected{From: "store", Reason: err.Error()})
		return
	}
	d.known = true
	next := normalised(stored)
	digest := digestOf(next)
	switch {
	case next.Revision > d.revision():
		d.apply(next, digest)
	case next.Revision < d.revision():
		d.emit(Rejected{From: "store", Reason: fmt.Sprintf("revision %d is lower than %d", next.Revision, d.revision())})
	case digest != d.copy.digest:
		// The store is authoritative for the catalogue, so its content replaces a damaged copy of the same revision.
		d.nextRepair = now.Add(repairInterval)
		d.copy.replace(next, digest)
		d.emit(Apply{Catalogue: next})
	}
}

func (d *Disseminator) storeFailed() {
	d.setStoreUp(false)
	d.confirm.storeDone = true
}

func (d *Disseminator) setStoreUp(up bool) {
	if d.storeUp != up {
		d.storeUp = up
		d.emit(StoreState{Up: up})
	}
}
