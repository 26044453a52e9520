package isolator

import (
	"slices"
	"time"

	"celerygap.example/lib/identifier"
)

const (
	maxCrashes = 64
	// sameCrash is how far apart hosts notice one crash, and tell each other of it.
	sameCrash = 5 * time.Second
	// commonCause is how many other upstreams have to crash for a common cause, such as the loss of a rack.
	commonCause    = 2
	shareTolerance = 1e-9
)

// crash is the loss of one upstream with the fingerprints that this host had in flight on it.
type crash struct {
	upstream     identifier.UpstreamID
	at           time.Time
	fingerprints map[identifier.Fingerprint]bool
	// elsewhere holds what other hosts had in flight there.
	elsewhere map[identifier.Fingerprint]bool
}

// ran reports whether any host had the fingerprint in flight there.
func (c crash) ran(fingerprint identifier.Fingerprint) bool {
	return c.fingerprints[fingerprint] || c.elsewhere[fingerprint]
}

// share is the suspicion that a crash adds to each of its fingerprints.
func (c crash) share() float64 { return 1 / float64(len(c.fingerprints)) }

// correlate compares the recent crashes with each other and excuses fingerprints; it returns those of them that were not
// excused before. One request cannot explain crashes that it was no part of, so when a rack or a zone fails, what was in
// flight on only one of its upstreams is not to blame. Without this, a failed zone would make hundreds of requests wait to
// run alone. One other crash is not enough: while single upstreams die now and then, it would excuse a harmful request and
// cost a third upstream.
func (i *Isolator) correlate(now time.Time) map[identifier.Fingerprint]bool {
	recent := slices.DeleteFunc(slices.Clone(i.crashes), func(c crash) bool { return now.Sub(c.at) > i.config.Correlation })
	excused := make(map[identifier.Fingerprint]bool)
	for _, c := range recent {
		for _, set := range []map[identifier.Fingerprint]bool{c.fingerprints, c.elsewhere} {
			for fingerprint := range set {
				if crashedWithout(recent, c.upstream, fingerprint) >= commonCause && i.excuse(now, fingerprint) {
					excused[fingerprint] = true
				}
			}
		}
	}
	return excused
}

// crashedWithout counts the other upstreams that crashed while the fingerprint was not on them.
func crashedWithout(crashes []crash, upstream identifier.UpstreamID, fingerprint identifier.Fingerprint) int {
	others := make(map[identifier.UpstreamID]bool)
	for _, c := range crashes {
		if c.upstream != upstream && !c.ran(fingerprint) {
			others[c.upstream] = true
		}
	}
	return len(others)
}

// excuse takes back the suspicion of a fingerprint, once.
func (i *Isolator) excuse(now time.Time, fingerprint identifier.Fingerprint) bool {
	s := i.record(now, fingerprint)
	if s.excused {
		return false
	}
	s.excused, s.suspicion = true, 0
	return true
}

// clear takes back the suspicion of those that this host had in flight with a proven fingerprint: it explains their
// crashes. What other hosts had in flight is not cleared: a proof can be wrong, and would then clear the harmful request
// on all of them (soak, seed 20260712, 06:55 on 2026-12-04: five upstreams lost).
func (i *Isolator) clear(proven identifier.Fingerprint) {
	i.crashes = slices.DeleteFunc(i.crashes, func(c crash) bool {
		if !c.fingerprints[proven] {
			return false
		}
		for fingerprint := range c.fingerprints {
			if s, ok := i.suspects[fingerprint]; ok {
				s.suspicion = withoutShare(s.suspicion, c.share())
			}
		}
		return true
	})
}

// unrest reports whether an upstream crashed lately while the fingerprint was not on it.
func (i *Isolator) unrest(now time.Time, fingerprint identifier.Fingerprint) bool {
	return slices.ContainsFunc(i.crashes, func(c crash) bool {
		return !c.ran(fingerprint) && now.Sub(c.at) <= unrestPeriod
	})
}

// noteElsewhere remembers what another host had in flight at a crash, together with the own record of the same crash.
// Reports can be a minute old: a host that starts gets those that the others still hold.
func (i *Isolator) noteElsewhere(at time.Time, upstream identifier.UpstreamID, fingerprint identifier.Fingerprint) {
	index := slices.IndexFunc(i.crashes, func(c crash) bool { return c.upstream == upstream && at.Sub(c.at).Abs() <= sameCrash })
	if index < 0 {
		i.keepCrash(crash{upstream: upstream, at: at, elsewhere: make(map[identifier.Fingerprint]bool)})
		index = len(i.crashes) - 1
	}
	if i.crashes[index].elsewhere == nil {
		i.crashes[index].elsewhere = make(map[identifier.Fingerprint]bool)
	}
	i.crashes[index].elsewhere[fingerprint] = true
}

// withReports adds to a crash of this host what others have reported of it.
func (i *Isolator) withReports(now time.Time, c crash) crash {
	i.crashes = slices.DeleteFunc(i.crashes, func(reported crash) bool {
		same := reported.upstream == c.upstream && now.Sub(reported.at).Abs() <= sameCrash && len(reported.fingerprints) == 0
		if same {
			c.elsewhere = reported.elsewhere
		}
		return same
	})
	return c
}

func (i *Isolator) keepCrash(c crash) {
	i.crashes = append(i.crashes, c)
	if len(i.crashes) > maxCrashes {
		i.crashes = slices.Delete(i.crashes, 0, 1)
	}
}

func withoutShare(suspicion, share float64) float64 {
	if rest := suspicion - share; rest > shareTolerance {
		return rest
	}
	return 0
}

func (i *Isolator) forgetCrashes(now time.Time) {
	i.crashes = slices.DeleteFunc(i.crashes, func(c crash) bool { return now.Sub(c.at) > i.config.Expiry })
}
