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
	// Prefix is the prefix that the watchers watch.
	Prefix = "catalogue/"
	// Key is the object that holds the catalogue.
	Key = "catalogue/current"
)

// The timing and fan-out of section 5.1 of docs/design.md.
const (
	// CompareInterval is the time between two comparisons with a random peer.
	CompareInterval = 3 * time.Second
	// Fanout is how many peers a host pushes a new revision to.
	Fanout = 4
	// WatchersPerZone is how many hosts of an availability zone hold the store's watch.
	WatchersPerZone = 2
	// confirmInterval is the time between two attempts to confirm that the own revision is the highest known.
	confirmInterval = 3 * time.Second
	// confirmPatience is how long a round of confirmation waits for peers; one that is silent for longer is not reachable.
	confirmPatience = 1500 * time.Millisecond
	// pullTimeout is how long a pull in progress keeps further ones from being started.
	pullTimeout = time.Second
	// behindLimit is how long a ready host may know of a higher revision without holding it.
	behindLimit = 5 * time.Second
	// freezeGap is the time between two events, ticks included, from which a host must confirm its revision again.
	freezeGap = 6 * time.Second
	// repairInterval bounds the reads of the store after a digest of the same revision differed.
	repairInterval = 10 * time.Second
)

// Config configures a Disseminator.
type Config struct {
	Self codec.Member
	Rand *rand.Rand
}

// Disseminator decides about the catalogue of one host.
type Disseminator struct {
	config   Config
	self     codec.Member
	copy     *catalogueCopy
	live     []codec.Member
	inEffect map[identifier.HostID]identifier.Revision
	// highest is the highest revision of a live host; it is worked out again when seenChanged is set.
	highest     identifier.Revision
	seenChanged bool

	// known tells that the catalogue was heard of from the store or from a host for which that is true. Until then a
	// revision of 0 does not mean that the catalogue is empty.
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

// confirmation is one round of questions whether the own revision is the highest known.
type confirmation struct {
	started     time.Time
	storeAsked  bool
	storeDone   bool
	storeAnswer bool
	waiting     map[identifier.HostID]bool
	answers     int
}

// New returns a disseminator that has not heard of any catalogue.
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
	d.noticeFreeze(now)
	switch e := event.(type) {
	case Tick:
		d.tick(now)
	case MembersChanged:
		d.setMembers(e.Self, e.Live)
	case StoreSeen:
		d.storeAnswered(now, e)
	case StoreFailed:
		d.storeFailed()
	case Pushed:
		d.note(e.Delta.From, e.Delta.Revision)
		d.take(now, d.member(e.Delta.From), e.Delta)
		d.emit(Reply{Answer: d.answer(e.Delta.Revision)})
	case Compared:
		d.note(e.Digest.From, e.Digest.Revision)
		d.compared(now, e.Digest)
	case Answered:
		d.answered(now, e.From, e.Answer)
	case Failed:
		d.pullUntil = time.Time{}
		delete(d.confirm.waiting, e.To.ID)
	case RevisionReported:
		d.note(e.Host.ID, e.Revision)
		if e.Revision > d.revision() {
			d.pull(now, e.Host)
		}
	}
	d.updateReady(now)
	return d.out
}

func (d *Disseminator) emit(command Command) { d.out = append(d.out, command) }

func (d *Disseminator) revision() identifier.Revision { return d.copy.catalogue.Revision }

func (d *Disseminator) note(host identifier.HostID, revision identifier.Revision) {
	if host == "" || host == d.self.ID {
		return
	}
	if former, ok := d.inEffect[host]; ok && former == revision {
		return
	}
	d.inEffect[host] = revision
	d.seenChanged = true
	d.emit(Seen{Host: host, Revision: revision})
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

// answer returns the own digest, and the changes if the other host's revision is lower.
func (d *Disseminator) answer(theirs identifier.Revision) codec.CatalogueAnswer {
	answer := codec.CatalogueAnswer{Digest: d.digest()}
	if theirs < d.revision() {
		delta := d.copy.delta(d.self.ID, theirs)
		answer.Delta = &delta
	}
	return answer
}

func (d *Disseminator) compared(now time.Time, theirs codec.CatalogueDigest) {
	d.checkSame(now, theirs)
	d.emit(Reply{Answer: d.answer(theirs.Revision)})
	if theirs.Revision > d.revision() {
		d.pull(now, d.member(theirs.From))
	}
}

func (d *Disseminator) answered(now time.Time, from codec.Member, answer codec.CatalogueAnswer) {
	d.pullUntil = time.Time{}
	d.note(from.ID, answer.Digest.Revision)
	d.checkSame(now, answer.Digest)
	if answer.Digest.Known {
		d.known = true
	}
	if d.confirm.waiting[from.ID] {
		delete(d.confirm.waiting, from.ID)
		d.confirm.answers++
	}
	switch {
	case answer.Delta != nil:
		d.take(now, from, *answer.Delta)
	case answer.Digest.Revision < d.revision():
		d.emit(Push{To: from, Delta: d.copy.delta(d.self.ID, answer.Digest.Revision)})
	}
}

// checkSame reads the store if another host holds other content at the same revision: one of the two is damaged.
func (d *Disseminator) checkSame(now time.Time, theirs codec.CatalogueDigest) {
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

// take applies a delta or asks its sender for what is missing.
func (d *Disseminator) take(now time.Time, from codec.Member, delta codec.CatalogueDelta) {
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

// apply puts a higher revision in effect and pushes it once. A starting host does not push what the others had before.
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

// pull asks a host for its higher revision, unless such a question is under way.
func (d *Disseminator) pull(now time.Time, from codec.Member) {
	if now.Before(d.pullUntil) || from.Address == "" {
		return
	}
	d.pullUntil = now.Add(pullTimeout)
	d.emit(Compare{To: from, Digest: d.digest()})
}

func (d *Disseminator) storeAnswered(now time.Time, e StoreSeen) {
	d.setStoreUp(true)
	d.confirm.storeDone = true
	d.confirm.storeAnswer = true
	found := false
	for _, object := range e.List.Objects {
		if object.Key == Key && !object.Deleted {
			found = true
			d.takeObject(now, object)
		}
	}
	if !found && e.Full {
		d.known = true
	}
}

func (d *Disseminator) takeObject(now time.Time, object codec.Object) {
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
		// The store is the owner of the catalogue, so its content of the same revision replaces a damaged one.
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
