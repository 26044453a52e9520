package isolator

import (
	"slices"
	"time"

	"celerygap.example/lib/identifier"
)

const (
	maxCrashes = 64
	// sameCrashWindow bounds the difference between the times at which hosts notice and report the same crash.
	sameCrashWindow = 5 * time.Second
	// clockTolerance is the assumed difference between the clocks of two hosts, by which the reported time of a crash may be late.
	clockTolerance = 100 * time.Millisecond
	// commonCauseCrashes is the number of other upstreams whose crashes show a common cause, such as the loss of a rack.
	commonCauseCrashes = 2
	// shareTolerance absorbs the rounding errors of added and subtracted shares.
	shareTolerance = 1e-9
)

// crash records the crash of one upstream and the fingerprints that were in flight on it.
type crash struct {
	upstream identifier.UpstreamID
	at       time.Time
	// fingerprints holds the fingerprints and kinds of what this host had in flight on the upstream, requests only the
	// fingerprints.
	fingerprints map[identifier.Fingerprint]bool
	requests     map[identifier.Fingerprint]bool
	// remote holds what other hosts have reported to have had in flight on it.
	remote map[identifier.Fingerprint]bool
}

// ran reports whether any host is known to have had the fingerprint in flight on the upstream.
func (c crash) ran(fingerprint identifier.Fingerprint) bool {
	return c.fingerprints[fingerprint] || c.remote[fingerprint]
}

func (c crash) add(a *attempt) {
	c.requests[a.fingerprint] = true
	for _, fingerprint := range a.fingerprints() {
		c.fingerprints[fingerprint] = true
	}
}

// share returns the suspicion that a crash adds to each of this host's requests.
func (c crash) share() float64 { return 1 / float64(len(c.requests)) }

// crashedBefore reports whether an attempt began after a crash at which its request, or one of its kind, was in flight: the crash
// of another upstream, or an earlier one of the same.
func (i *Isolator) crashedBefore(a *attempt) bool {
	return slices.ContainsFunc(i.crashes, func(c crash) bool {
		if !c.ran(a.fingerprint) && !c.ran(a.kind) {
			return false
		}
		at := c.at
		if len(c.fingerprints) == 0 {
			at = at.Add(-clockTolerance)
		}
		return a.startedAt.After(at) && (c.upstream != a.upstream || a.startedAt.Sub(c.at) > sameCrashWindow)
	})
}

// correlate exonerates the fingerprints of recent crashes that have a common cause, and returns those that were not exonerated
// before. A request cannot have caused the crash of an upstream on which it was not in flight, so when a rack or a zone fails,
// a request that was on only one of its upstreams is not the cause. Without this, a failed zone would make hundreds of
// requests wait to run alone. One other crash is not enough: while single upstreams crash now and then, it would exonerate a
// crashing request, which would then crash a third upstream.
func (i *Isolator) correlate(now time.Time) map[identifier.Fingerprint]bool {
	recent := slices.DeleteFunc(slices.Clone(i.crashes), func(c crash) bool { return now.Sub(c.at) > i.config.CorrelationWindow })
	exonerated := make(map[identifier.Fingerprint]bool)
	for _, c := range recent {
		for _, set := range []map[identifier.Fingerprint]bool{c.fingerprints, c.remote} {
			for fingerprint := range set {
				if crashedWithout(recent, c.upstream, fingerprint) >= commonCauseCrashes && i.exonerate(now, fingerprint) {
					exonerated[fingerprint] = true
				}
			}
		}
	}
	return exonerated
}

// crashedWithout returns the number of other upstreams that crashed while the fingerprint was not in flight on them.
func crashedWithout(crashes []crash, upstream identifier.UpstreamID, fingerprint identifier.Fingerprint) int {
	others := make(map[identifier.UpstreamID]bool)
	for _, c := range crashes {
		if c.upstream != upstream && !c.ran(fingerprint) {
			others[c.upstream] = true
		}
	}
	return len(others)
}

// exonerate clears the suspicion of a fingerprint and reports whether it did; it does so only once for each.
func (i *Isolator) exonerate(now time.Time, fingerprint identifier.Fingerprint) bool {
	s := i.suspectFor(now, fingerprint)
	if s.exonerated {
		return false
	}
	s.exonerated, s.suspicion = true, 0
	return true
}

// clear removes the crashes in which this host had a proven fingerprint in flight, and subtracts their shares from the
// suspicion of the other fingerprints: the proven one was the cause. The suspicion of fingerprints that only other hosts had
// in flight stays. A proof can be wrong, and would then clear the crashing request on all hosts; a soak test lost five
// upstreams that way.
func (i *Isolator) clear(proven identifier.Fingerprint) {
	i.crashes = slices.DeleteFunc(i.crashes, func(c crash) bool {
		if !c.fingerprints[proven] {
			return false
		}
		for fingerprint := range c.fingerprints {
			if s, ok := i.suspects[fingerprint]; ok {
				s.suspicion = subtractShare(s.suspicion, c.share())
			}
		}
		return true
	})
}

// recentUnrelatedCrash reports whether an upstream crashed within unrelatedCrashWindow while the fingerprint was not in
// flight on it.
func (i *Isolator) recentUnrelatedCrash(now time.Time, fingerprint identifier.Fingerprint) bool {
	return slices.ContainsFunc(i.crashes, func(c crash) bool {
		return !c.ran(fingerprint) && now.Sub(c.at) <= unrelatedCrashWindow
	})
}

// recordRemote adds a fingerprint that another host had in flight at a crash to this host's record of that crash, or to a new
// one. Reports can be a minute old: a host that starts receives those that the others still hold.
func (i *Isolator) recordRemote(at time.Time, upstream identifier.UpstreamID, fingerprint identifier.Fingerprint) {
	index := slices.IndexFunc(i.crashes, func(c crash) bool { return c.upstream == upstream && at.Sub(c.at).Abs() <= sameCrashWindow })
	if index < 0 {
		i.addCrash(crash{upstream: upstream, at: at, remote: make(map[identifier.Fingerprint]bool)})
		index = len(i.crashes) - 1
	}
	if i.crashes[index].remote == nil {
		i.crashes[index].remote = make(map[identifier.Fingerprint]bool)
	}
	i.crashes[index].remote[fingerprint] = true
}

// mergeReports returns a crash that this host has noticed together with what other hosts have reported about it.
func (i *Isolator) mergeReports(now time.Time, c crash) crash {
	i.crashes = slices.DeleteFunc(i.crashes, func(reported crash) bool {
		same := reported.upstream == c.upstream && now.Sub(reported.at).Abs() <= sameCrashWindow && len(reported.fingerprints) == 0
		if same {
			c.remote = reported.remote
		}
		return same
	})
	return c
}

// addCrash appends a crash and discards the oldest one beyond maxCrashes.
func (i *Isolator) addCrash(c crash) {
	i.crashes = append(i.crashes, c)
	if len(i.crashes) > maxCrashes {
		i.crashes = slices.Delete(i.crashes, 0, 1)
	}
}

func subtractShare(suspicion, share float64) float64 {
	if rest := suspicion - share; rest > shareTolerance {
		return rest
	}
	return 0
}

func (i *Isolator) expireCrashes(now time.Time) {
	i.crashes = slices.DeleteFunc(i.crashes, func(c crash) bool { return now.Sub(c.at) > i.config.Expiry })
}
