package disseminator

import (
	"time"

	"github.com/cespare/xxhash/v2"
	"github.com/dgryski/go-rendezvous"

	"celerygap.example/lib/codec"
	"celerygap.example/lib/identifier"
)

func (d *Disseminator) tick(now time.Time) {
	if !d.ready && now.Sub(d.confirm.started) >= confirmInterval {
		d.startConfirmation(now)
	}
	if now.Before(d.nextCompare) {
		return
	}
	jitter := time.Duration(d.config.Rand.Int64N(int64(CompareInterval / 5)))
	d.nextCompare = now.Add(CompareInterval*9/10 + jitter)
	for _, to := range d.randomPeers(1) {
		d.emit(Compare{To: to, Digest: d.digest()})
	}
}

// detectFreeze makes a host that was frozen confirm its revision again before it counts as ready. It runs on each event,
// because a message may be handled before the first tick after the freeze.
func (d *Disseminator) detectFreeze(now time.Time) {
	if !d.lastEvent.IsZero() && now.Sub(d.lastEvent) > freezeGap {
		d.setReady(false)
		d.confirm = confirmation{}
	}
	d.lastEvent = now
}

// startConfirmation reads the store and compares digests with a few peers, to learn the highest revision.
func (d *Disseminator) startConfirmation(now time.Time) {
	d.confirm = confirmation{started: now, waiting: make(map[identifier.HostID]bool)}
	d.emit(ReadStore{})
	for _, to := range d.randomPeers(Fanout) {
		d.confirm.waiting[to.ID] = true
		d.emit(Compare{To: to, Digest: d.digest()})
	}
}

// updateReady applies the rule of section 5.1 of docs/design.md: a host is ready when it holds the highest revision known
// to its reachable peers and, if the store responds, to the store.
func (d *Disseminator) updateReady(now time.Time) {
	behind := d.highestSeen() > d.revision()
	switch {
	case !behind:
		d.behindSince = time.Time{}
	case d.behindSince.IsZero():
		d.behindSince = now
	}
	if d.ready {
		if behind && now.Sub(d.behindSince) >= behindLimit {
			d.setReady(false)
		}
		return
	}
	c := d.confirm
	peersDone := len(c.waiting) == 0 || now.Sub(c.started) >= confirmTimeout
	// Responses from before a pause of this process do not show the revisions accepted since.
	current := now.Sub(c.started) <= confirmInterval
	confirmed := current && c.storeDone && peersDone && (c.storeResponded || c.responses > 0)
	if d.known && confirmed && !behind {
		d.setReady(true)
	}
}

func (d *Disseminator) setReady(ready bool) {
	if d.ready != ready {
		d.ready = ready
		d.emit(SetReady{Ready: ready})
	}
}

// highestSeen returns the highest revision that a live host was seen to hold.
func (d *Disseminator) highestSeen() identifier.Revision {
	if !d.inEffectChanged {
		return d.highest
	}
	d.inEffectChanged = false
	d.highest = 0
	for _, m := range d.live {
		d.highest = max(d.highest, d.inEffect[m.ID])
	}
	return d.highest
}

func (d *Disseminator) setMembers(self codec.Member, live []codec.Member) {
	d.self = self
	d.live = live
	d.inEffectChanged = true
	known := make(map[identifier.HostID]bool, len(live))
	for _, m := range live {
		known[m.ID] = true
	}
	for id := range d.inEffect {
		if !known[id] {
			delete(d.inEffect, id)
		}
	}
	watching := isWatcher(self, live)
	if watching != d.watching {
		d.watching = watching
		d.emit(Watch{Enabled: watching})
	}
}

// isWatcher reports whether a host is one of its zone's watchers by rendezvous hashing.
func isWatcher(self codec.Member, live []codec.Member) bool {
	var hosts []string
	for _, m := range live {
		if m.Zone == self.Zone {
			hosts = append(hosts, string(m.ID))
		}
	}
	for range WatchersPerZone {
		winner := rendezvous.New(hosts, xxhash.Sum64String).Lookup(Prefix + string(self.Zone))
		if winner == string(self.ID) {
			return winner != ""
		}
		hosts = without(hosts, winner)
	}
	return false
}

func without(hosts []string, host string) []string {
	var rest []string
	for _, h := range hosts {
		if h != host {
			rest = append(rest, h)
		}
	}
	return rest
}

// randomPeers returns up to n random live hosts other than this one.
func (d *Disseminator) randomPeers(n int) []codec.Member {
	var picked []codec.Member
	for _, i := range d.config.Rand.Perm(len(d.live)) {
		if len(picked) == n {
			break
		}
		if m := d.live[i]; m.ID != d.self.ID {
			picked = append(picked, m)
		}
	}
	return picked
}
