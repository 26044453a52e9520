package isolator

import (
	"maps"
	"slices"
	"time"

	"celerygap.example/lib/codec"
	"celerygap.example/lib/identifier"
)

// recordAbort attributes an abort only to the aborted attempt. A suspect whose attempts are aborted repeatedly while it runs
// alone is proven.
func (i *Isolator) recordAbort(now time.Time, ended *attempt) []Command {
	if ended.attributed || ended.sound {
		return nil
	}
	ended.attributed = true
	if i.ranAlone(now, ended) {
		known := i.suspectFor(now, ended.fingerprint)
		known.aborts++
		if known.aborts >= abortsForProof && !i.responded.has(now, ended.fingerprint) {
			return i.prove(now, ended)
		}
	}
	for _, fingerprint := range ended.fingerprints() {
		i.addSuspicion(now, fingerprint, 1)
	}
	return nil
}

// recordCrash proves a suspect that ran alone, unless requests with its fingerprint have got responses lately: then one crash may
// be a coincidence, and it takes a second one without a response in between. Otherwise it divides the suspicion equally among the
// requests that were in flight on the upstream.
func (i *Isolator) recordCrash(now time.Time, ended *attempt) []Command {
	if ended.attributed {
		return nil
	}
	alone := !ended.sound && i.ranAlone(now, ended)
	c := crash{upstream: ended.upstream, at: now, fingerprints: make(map[identifier.Fingerprint]bool), requests: make(map[identifier.Fingerprint]bool)}
	for _, a := range i.attemptsOn(ended.upstream) {
		a.attributed = true
		if !a.sound {
			c.add(a)
		}
	}
	i.addCrash(i.mergeReports(now, c))
	exonerated := i.correlate(now)
	if alone && !exonerated[ended.fingerprint] {
		known := i.suspectFor(now, ended.fingerprint)
		known.crashesAlone++
		if !i.responded.has(now, ended.fingerprint) || known.crashesAlone > 1 {
			return i.prove(now, ended)
		}
	}
	var suspects []codec.FlaggedFingerprint
	for _, fingerprint := range slices.Sorted(maps.Keys(c.fingerprints)) {
		if !exonerated[fingerprint] {
			i.addSuspicion(now, fingerprint, c.share())
			suspects = append(suspects, codec.FlaggedFingerprint{
				Fingerprint: fingerprint, ExpiresAt: now.Add(i.config.SuspicionExpiry), Upstream: ended.upstream,
			})
		}
	}
	if len(suspects) == 0 {
		return nil
	}
	return []Command{Suspected{suspects}}
}

// ranAlone reports whether an attempt is evidence against its own request: it ran without other requests on its upstream, and it
// began after an earlier crash had made it a suspect. An attempt that was in flight at that crash, as those of equal requests on
// several upstreams that fail together, shows nothing.
func (i *Isolator) ranAlone(now time.Time, a *attempt) bool {
	if a.shared {
		return false
	}
	return a.wasSuspect || i.mustRunAlone(now, a.fingerprint, a.kind) && i.crashedBefore(a)
}

// prove makes all hosts refuse the fingerprint of an attempt, and its kind unless requests of that kind get responses. While
// upstreams also crash for other reasons, a harmless suspect may well run on one of them. The first proof is provisional then: after
// a short time the request may run alone once more.
func (i *Isolator) prove(now time.Time, a *attempt) []Command {
	var commands []Command
	for _, fingerprint := range a.fingerprints() {
		if fingerprint != a.fingerprint && i.responded.has(now, fingerprint) {
			continue
		}
		p := proof{until: now.Add(i.config.Expiry)}
		if s := i.suspects[fingerprint]; (s == nil || !s.hadProvisional) && i.recentUnrelatedCrash(now, fingerprint) {
			p = proof{until: now.Add(i.config.ProvisionalExpiry), provisional: true}
		}
		commands = append(commands, Proved{flagged(fingerprint, p)})
		commands = append(commands, i.addProven(fingerprint, p)...)
	}
	return commands
}

// fingerprints returns the fingerprint and the kind of an attempt, without repetition.
func (a *attempt) fingerprints() []identifier.Fingerprint {
	if a.kind == a.fingerprint {
		return []identifier.Fingerprint{a.fingerprint}
	}
	return []identifier.Fingerprint{a.fingerprint, a.kind}
}
