package isolator

import (
	"cmp"
	"slices"
	"time"

	"celerygap.example/lib/asserter"
	"celerygap.example/lib/codec"
	"celerygap.example/lib/identifier"
)

// Defaults of Config and constants of the isolator.
const (
	DefaultExpiry = time.Hour
	// DefaultProvisionalExpiry is how long a proof lasts while upstreams also crash without the request. It is longer than
	// the retries of one caller take, and shorter than a training step, which has to wait if the refused request is harmless.
	DefaultProvisionalExpiry = 30 * time.Second
	// DefaultSuspicionExpiry is how long a suspicion imported from another host lasts: the time within which callers retry.
	DefaultSuspicionExpiry = time.Minute
	DefaultMaxIsolated     = 1
	DefaultMaxProven       = 1024
	DefaultMaxSuspects     = 8192
	// DefaultCorrelationWindow is the time within which crashes of different upstreams count as having a common cause: the
	// connections of a failed rack or zone are reset within a second or two.
	DefaultCorrelationWindow = 3 * time.Second
	// unrelatedCrashWindow is the time after the crash of an upstream during which new proofs are provisional for requests
	// that were not in flight on it.
	unrelatedCrashWindow = time.Minute
	// abortsForProof is the number of aborted attempts that prove a suspect that ran alone. One is not enough, because the
	// upstream still accepts connections and may have ended the attempt for another reason.
	abortsForProof = 2
)

// Config configures an isolator; zero values mean the defaults.
type Config struct {
	// Expiry is how long suspicion and proofs last.
	Expiry time.Duration
	// ProvisionalExpiry is how long a provisional proof lasts.
	ProvisionalExpiry time.Duration
	// SuspicionExpiry is how long a suspicion imported from another host lasts.
	SuspicionExpiry time.Duration
	// MaxIsolated is the number of suspects of a pool that may run at the same time, each alone on an upstream.
	MaxIsolated int
	// CorrelationWindow is the time within which crashes of different upstreams count as having a common cause.
	CorrelationWindow time.Duration
	// MaxProven and MaxSuspects bound the fingerprints kept; beyond them, those that expire first are evicted.
	MaxProven   int
	MaxSuspects int
}

// Isolator is the state machine; it is not safe for concurrent use.
type Isolator struct {
	config   Config
	attempts map[identifier.AttemptID]*attempt
	suspects map[identifier.Fingerprint]*suspect
	proven   map[identifier.Fingerprint]proof
	waiting  []*ticket
	isolated map[Ticket]identifier.PoolName
	crashes  []crash
	// responded holds the fingerprints and kinds of complete responses.
	responded recentSet
}

type attempt struct {
	id          identifier.AttemptID
	fingerprint identifier.Fingerprint
	kind        identifier.Fingerprint
	upstream    identifier.UpstreamID
	startedAt   time.Time
	// wasSuspect is set when the fingerprint was a suspect at the start of the attempt. A proof of another request, which may
	// be wrong, can clear the suspicion while the attempt runs; a crash proves the fingerprint nevertheless.
	wasSuspect bool
	// shared is set when a request with another fingerprint ran on the upstream at any time during the attempt.
	shared bool
	// sound is set for a request that is never the cause of a crash.
	sound bool
	// attributed is set when a crash or abort has already been attributed to this attempt.
	attributed bool
}

// proof makes the isolator refuse a fingerprint until its end. When a provisional one ends, the fingerprint is a suspect
// again.
type proof struct {
	until       time.Time
	provisional bool
}

type suspect struct {
	suspicion float64
	// hadProvisional is set once a provisional proof has ended; the next proof is not provisional.
	hadProvisional bool
	aborts         int
	// crashesAlone counts the crashes while the request ran alone, since its last response.
	crashesAlone int
	expires      time.Time
	// exonerated is set once its suspicion was cleared because of crashes of other upstreams. This happens only once, so that
	// several crashing requests at the same time cannot exonerate each other for ever.
	exonerated bool
}

// ticket is a request for permission to run.
type ticket struct {
	id          Ticket
	fingerprint identifier.Fingerprint
	kind        identifier.Fingerprint
	pool        identifier.PoolName
	training    bool
}

// New returns an isolator that knows no fingerprints.
func New(config Config) *Isolator {
	config.Expiry = cmp.Or(config.Expiry, DefaultExpiry)
	config.ProvisionalExpiry = cmp.Or(config.ProvisionalExpiry, DefaultProvisionalExpiry)
	config.SuspicionExpiry = cmp.Or(config.SuspicionExpiry, DefaultSuspicionExpiry)
	config.MaxIsolated = cmp.Or(config.MaxIsolated, DefaultMaxIsolated)
	config.CorrelationWindow = cmp.Or(config.CorrelationWindow, DefaultCorrelationWindow)
	config.MaxProven = cmp.Or(config.MaxProven, DefaultMaxProven)
	config.MaxSuspects = cmp.Or(config.MaxSuspects, DefaultMaxSuspects)
	return &Isolator{
		config:    config,
		attempts:  make(map[identifier.AttemptID]*attempt),
		suspects:  make(map[identifier.Fingerprint]*suspect),
		proven:    make(map[identifier.Fingerprint]proof),
		isolated:  make(map[Ticket]identifier.PoolName),
		responded: newRecentSet(responseMemory, maxResponded),
	}
}

// Handle applies one event and returns the commands that follow from it, those for other waiting tickets included.
func (i *Isolator) Handle(now time.Time, event Event) []Command {
	switch e := event.(type) {
	case RunRequested:
		return i.requestRun(now, e)
	case Withdrawn:
		i.withdraw(e.Ticket)
	case AttemptStarted:
		i.startAttempt(now, e)
	case AttemptEnded:
		return append(i.endAttempt(now, e), i.dispatch(now)...)
	case Imported:
		i.importSuspects(now, e.Suspects)
		return append(i.importProven(now, e.Proven), i.dispatch(now)...)
	case Tick:
		i.expire(now)
	}
	return i.dispatch(now)
}

// Proven returns the proven fingerprints in ascending order, with the end of each proof.
func (i *Isolator) Proven() []codec.FlaggedFingerprint {
	list := make([]codec.FlaggedFingerprint, 0, len(i.proven))
	for fingerprint, p := range i.proven {
		list = append(list, flagged(fingerprint, p))
	}
	slices.SortFunc(list, func(a, b codec.FlaggedFingerprint) int { return cmp.Compare(a.Fingerprint, b.Fingerprint) })
	return list
}

// ProvenUntil reports whether a fingerprint is proven, and until when it is refused.
func (i *Isolator) ProvenUntil(now time.Time, fingerprint identifier.Fingerprint) (until time.Time, proven bool) {
	p, ok := i.proven[fingerprint]
	return p.until, ok && now.Before(p.until)
}

// Refused reports whether requests with a fingerprint and a kind are refused, and until when. The proof of a kind does not count
// while other requests of that kind get responses.
func (i *Isolator) Refused(now time.Time, fingerprint, kind identifier.Fingerprint) (until time.Time, refused bool) {
	if until, refused = i.ProvenUntil(now, fingerprint); refused || i.responded.has(now, kind) {
		return until, refused
	}
	return i.ProvenUntil(now, kind)
}

// mustRunAlone reports whether a request or its kind is a suspect. The suspicion of a kind does not count while other requests of
// that kind get responses.
func (i *Isolator) mustRunAlone(now time.Time, fingerprint, kind identifier.Fingerprint) bool {
	return i.isSuspect(now, fingerprint) || !i.responded.has(now, kind) && i.isSuspect(now, kind)
}

// Suspicion returns the sum of the shares that crashes, aborts and reports of other hosts have added for a fingerprint. Zero
// means that it is not a suspect.
func (i *Isolator) Suspicion(fingerprint identifier.Fingerprint) float64 {
	if s, ok := i.suspects[fingerprint]; ok {
		return s.suspicion
	}
	return 0
}

// isSuspect reports whether a fingerprint must run alone.
func (i *Isolator) isSuspect(now time.Time, fingerprint identifier.Fingerprint) bool {
	s, ok := i.suspects[fingerprint]
	return ok && s.suspicion > 0 && now.Before(s.expires)
}

// requestRun decides a new ticket or queues it: live requests in order of arrival, then training requests.
func (i *Isolator) requestRun(now time.Time, e RunRequested) []Command {
	t := &ticket{
		id: e.Ticket, fingerprint: e.Fingerprint, kind: cmp.Or(e.Kind, e.Fingerprint), pool: e.Pool, training: e.Class == codec.EntryClassTraining,
	}
	if command := i.decide(now, t); command != nil {
		return []Command{command}
	}
	at := len(i.waiting)
	if !t.training {
		if first := slices.IndexFunc(i.waiting, func(w *ticket) bool { return w.training }); first >= 0 {
			at = first
		}
	}
	i.waiting = slices.Insert(i.waiting, at, t)
	return []Command{Hold{e.Ticket}}
}

// decide returns the command for a ticket, or nil if it is a suspect's and has to wait until fewer suspects of its pool run.
func (i *Isolator) decide(now time.Time, t *ticket) Command {
	if until, ok := i.Refused(now, t.fingerprint, t.kind); ok {
		return Refuse{t.id, until}
	}
	if !i.mustRunAlone(now, t.fingerprint, t.kind) {
		return Proceed{t.id}
	}
	if i.isolatedIn(t.pool) >= i.config.MaxIsolated {
		return nil
	}
	i.isolated[t.id] = t.pool
	return Isolate{t.id}
}

// isolatedIn returns the number of suspects of a pool that run now.
func (i *Isolator) isolatedIn(pool identifier.PoolName) int {
	count := 0
	for _, used := range i.isolated {
		if used == pool {
			count++
		}
	}
	return count
}

// dispatch decides the waiting tickets that no longer have to wait.
func (i *Isolator) dispatch(now time.Time) []Command {
	var commands []Command
	i.waiting = slices.DeleteFunc(i.waiting, func(t *ticket) bool {
		command := i.decide(now, t)
		if command != nil {
			commands = append(commands, command)
		}
		return command != nil
	})
	return commands
}

func (i *Isolator) withdraw(id Ticket) {
	delete(i.isolated, id)
	i.waiting = slices.DeleteFunc(i.waiting, func(t *ticket) bool { return t.id == id })
}

func (i *Isolator) startAttempt(now time.Time, e AttemptStarted) {
	kind := cmp.Or(e.Kind, e.Fingerprint)
	_, proven := i.Refused(now, e.Fingerprint, kind)
	asserter.Check(asserter.ProvenRequestNeverSent, !proven || e.Sound,
		"attempt %s on %s has the proven fingerprint %s", e.Attempt, e.Upstream, e.Fingerprint)
	started := &attempt{
		id: e.Attempt, fingerprint: e.Fingerprint, kind: kind, upstream: e.Upstream, startedAt: now,
		wasSuspect: i.mustRunAlone(now, e.Fingerprint, kind), sound: e.Sound,
	}
	for _, other := range i.attemptsOn(e.Upstream) {
		// A sound request beside another one leaves no doubt about the cause of a crash.
		if other.fingerprint != e.Fingerprint && !other.sound && !started.sound {
			other.shared = true
			started.shared = true
		}
	}
	i.attempts[e.Attempt] = started
}

// attemptsOn returns the running attempts on an upstream to which no crash or abort has been attributed.
func (i *Isolator) attemptsOn(upstream identifier.UpstreamID) []*attempt {
	var found []*attempt
	for _, a := range i.attempts {
		if a.upstream == upstream && !a.attributed {
			found = append(found, a)
		}
	}
	return found
}

func (i *Isolator) endAttempt(now time.Time, e AttemptEnded) []Command {
	a, ok := i.attempts[e.Attempt]
	if !ok {
		return nil
	}
	defer delete(i.attempts, e.Attempt)
	switch e.End {
	case EndResponded:
		delete(i.suspects, a.fingerprint)
		delete(i.suspects, a.kind)
		i.responded.add(now, a.fingerprint)
		i.responded.add(now, a.kind)
	case EndCrashed:
		return i.recordCrash(now, a)
	case EndAborted:
		return i.recordAbort(now, a)
	case EndOther:
	}
	return nil
}

func (i *Isolator) addSuspicion(now time.Time, fingerprint identifier.Fingerprint, share float64) {
	s := i.suspectFor(now, fingerprint)
	s.suspicion += share
}

// suspectFor returns the suspect with a fingerprint, which it creates if there is none, and renews its expiry.
func (i *Isolator) suspectFor(now time.Time, fingerprint identifier.Fingerprint) *suspect {
	s, ok := i.suspects[fingerprint]
	if !ok {
		if len(i.suspects) >= i.config.MaxSuspects {
			i.evictSuspect()
		}
		s = &suspect{}
		i.suspects[fingerprint] = s
	}
	s.expires = now.Add(i.config.Expiry)
	return s
}

func flagged(fingerprint identifier.Fingerprint, p proof) codec.FlaggedFingerprint {
	return codec.FlaggedFingerprint{Fingerprint: fingerprint, ExpiresAt: p.until, Provisional: p.provisional}
}

// importSuspects adds the suspects of other hosts, so that a request that crashed an upstream of one host runs alone when its
// caller retries through another.
func (i *Isolator) importSuspects(now time.Time, list []codec.FlaggedFingerprint) {
	latest := now.Add(i.config.SuspicionExpiry)
	for _, f := range list {
		if f.Upstream != "" {
			// The sender's clock may be ahead; a crash cannot be later than its report.
			at := f.ExpiresAt.Add(-i.config.SuspicionExpiry)
			if at.After(now) {
				at = now
			}
			i.recordRemote(at, f.Upstream, f.Fingerprint)
		}
		if _, proven := i.ProvenUntil(now, f.Fingerprint); proven || i.isSuspect(now, f.Fingerprint) {
			continue
		}
		s := i.suspectFor(now, f.Fingerprint)
		s.suspicion, s.expires = 1, f.ExpiresAt
		if s.expires.After(latest) {
			s.expires = latest
		}
	}
	i.correlate(now)
}

// importProven adds the proofs of other hosts. Their expiry is bounded, because the clock of a host may be wrong.
func (i *Isolator) importProven(now time.Time, list []codec.FlaggedFingerprint) []Command {
	var commands []Command
	latest := now.Add(i.config.Expiry)
	for _, p := range list {
		until := p.ExpiresAt
		if until.After(latest) {
			until = latest
		}
		if i.responded.has(now, p.Fingerprint) {
			// Requests that get responses here crash no upstream; the host that reported the proof saw a coincidence.
			continue
		}
		if now.Before(until) && until.After(i.proven[p.Fingerprint].until) {
			imported := proof{until: until, provisional: p.Provisional}
			commands = append(commands, i.addProven(p.Fingerprint, imported)...)
		}
	}
	return commands
}

// addProven makes this host refuse a fingerprint from now on and stops its running attempts before they crash more
// upstreams.
func (i *Isolator) addProven(fingerprint identifier.Fingerprint, p proof) []Command {
	delete(i.suspects, fingerprint)
	i.clear(fingerprint)
	i.proven[fingerprint] = p
	if len(i.proven) > i.config.MaxProven {
		oldest := slices.MinFunc(i.Proven(), func(a, b codec.FlaggedFingerprint) int { return a.ExpiresAt.Compare(b.ExpiresAt) })
		delete(i.proven, oldest.Fingerprint)
	}
	var commands []Command
	for _, a := range i.attempts {
		if (a.fingerprint == fingerprint || a.kind == fingerprint) && !a.attributed && !a.sound {
			commands = append(commands, Stop{a.id})
		}
	}
	return commands
}

// evictSuspect removes the suspect that expires first.
func (i *Isolator) evictSuspect() {
	var first identifier.Fingerprint
	for fingerprint, s := range i.suspects {
		if first == "" || s.expires.Before(i.suspects[first].expires) {
			first = fingerprint
		}
	}
	delete(i.suspects, first)
}

func (i *Isolator) expire(now time.Time) {
	i.expireCrashes(now)
	for fingerprint, p := range i.proven {
		if now.Before(p.until) {
			continue
		}
		delete(i.proven, fingerprint)
		if p.provisional {
			s := i.suspectFor(now, fingerprint)
			s.suspicion, s.hadProvisional = 1, true
		}
	}
	for fingerprint, s := range i.suspects {
		if !now.Before(s.expires) {
			delete(i.suspects, fingerprint)
		}
	}
}
