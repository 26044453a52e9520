package prober

import (
	"cmp"
	"fmt"
	"math/bits"
	"math/rand/v2"
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"

	"celerygap.example/lib/codec"
	"celerygap.example/lib/identifier"
)

// fingerprintSet holds fingerprints of requests that are proven, or suspected, to crash upstreams, until they expire.
type fingerprintSet struct {
	known map[identifier.Fingerprint]*flaggedItem
	// sum is the exclusive or of the hashes, so that two hosts with the same set have the same digest.
	sum uint64
}

type flaggedItem struct {
	codec.FlaggedFingerprint
	sent int
}

func newFingerprintSet() fingerprintSet {
	return fingerprintSet{known: make(map[identifier.Fingerprint]*flaggedItem)}
}

// add stores the fingerprints that are new and not expired, and returns them.
func (s *fingerprintSet) add(now time.Time, fingerprints []codec.FlaggedFingerprint) []codec.FlaggedFingerprint {
	var fresh []codec.FlaggedFingerprint
	for _, f := range fingerprints {
		if _, ok := s.known[f.Fingerprint]; ok || !f.ExpiresAt.After(now) {
			continue
		}
		s.known[f.Fingerprint] = &flaggedItem{FlaggedFingerprint: f}
		s.sum ^= xxhash.Sum64String(string(f.Fingerprint))
		fresh = append(fresh, f)
	}
	s.evict()
	return fresh
}

func (s *fingerprintSet) evict() {
	if len(s.known) <= maxFlaggedKept {
		return
	}
	items := s.sorted(func(a, b *flaggedItem) int { return a.ExpiresAt.Compare(b.ExpiresAt) })
	for _, item := range items[:len(items)-maxFlaggedKept] {
		s.remove(item.Fingerprint)
	}
}

func (s *fingerprintSet) sorted(compare func(a, b *flaggedItem) int) []*flaggedItem {
	items := make([]*flaggedItem, 0, len(s.known))
	for _, item := range s.known {
		items = append(items, item)
	}
	slices.SortFunc(items, func(a, b *flaggedItem) int {
		return cmp.Or(compare(a, b), cmp.Compare(a.Fingerprint, b.Fingerprint))
	})
	return items
}

func (s *fingerprintSet) remove(f identifier.Fingerprint) {
	delete(s.known, f)
	s.sum ^= xxhash.Sum64String(string(f))
}

func (s *fingerprintSet) expire(now time.Time) {
	for f, item := range s.known {
		if !item.ExpiresAt.After(now) {
			s.remove(f)
		}
	}
}

// digest identifies the content of two sets; it is empty if both sets are.
func digest(proven, suspects fingerprintSet) string {
	if len(proven.known)+len(suspects.known) == 0 {
		return ""
	}
	return fmt.Sprintf("%016x", proven.sum^bits.RotateLeft64(suspects.sum, 1))
}

// spreadFlagged sends new fingerprints to random hosts at once. A caller repeats a refused request at another host within
// milliseconds, and the request crashes an upstream of a host that does not know the fingerprint.
func (p *Prober) spreadFlagged(now time.Time) {
	if p.self.State != codec.MemberStateAlive {
		return
	}
	for _, to := range p.pick(bits.Len(uint(len(p.members)))+flaggedMargin, "", isLive) {
		p.send(now, to)
	}
}

// take returns up to maxFlagged fingerprints below the retransmission limit, those passed on least often first.
func (s *fingerprintSet) take(hosts int) []codec.FlaggedFingerprint {
	if len(s.known) == 0 {
		return nil
	}
	limit := retransmitFactor * bits.Len(uint(hosts))
	var taken []codec.FlaggedFingerprint
	for _, item := range s.sorted(func(a, b *flaggedItem) int { return a.sent - b.sent }) {
		if len(taken) == maxFlagged || item.sent >= limit {
			break
		}
		item.sent++
		taken = append(taken, item.FlaggedFingerprint)
	}
	return taken
}

// sample returns random fingerprints for a host whose set differs, such as after a partition.
func (s *fingerprintSet) sample(random *rand.Rand) []codec.FlaggedFingerprint {
	items := s.sorted(func(_, _ *flaggedItem) int { return 0 })
	random.Shuffle(len(items), func(i, j int) { items[i], items[j] = items[j], items[i] })
	var taken []codec.FlaggedFingerprint
	for _, item := range items[:min(maxFlagged, len(items))] {
		taken = append(taken, item.FlaggedFingerprint)
	}
	return taken
}
