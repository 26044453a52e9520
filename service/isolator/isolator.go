package isolator

import (
	"cmp"
	"maps"
	"slices"
	"time"

	"celerygap.example/lib/asserter"
	"celerygap.example/lib/codec"
	"celerygap.example/lib/identifier"
)

// Defaults of Config.
const (
	DefaultExpiry = time.Hour
	// DefaultProvisionalExpiry is how long a proof lasts while upstreams also crash without the request. It is longer than
	// the retries of one caller take, and shorter than a training step, which an innocent request would hold up.
	DefaultProvisionalExpiry = 30 * time.Second
	// DefaultSuspicionExpiry is how long a suspicion of another host lasts: the time in which callers come back.
	DefaultSuspicionExpiry = time.Minute
	DefaultLanes           = 1
	DefaultMaxProven       = 1024
	DefaultMaxSuspects     = 8192
	// DefaultCorrelation is how close together crashes of different upstreams have a common cause: the connections of a
	// failed rack or zone are reset within a second or two.
	DefaultCorrelation = 3 * time.Second
	// unrestPeriod is how long a crash without a request makes a proof of that request doubtful.
	unrestPeriod = time.Minute
	// abortsForProof is how many aborted attempts prove a suspect that ran alone. One is not enough, because the
	// upstream still accepts connections and may have ended the attempt for a reason of its own.
	abortsForProof = 2
)

// Config configures an isolator; zero values mean the defaults.
type Config struct {
	// Expiry is how long suspicion and proof last.
	Expiry time.Duration
	// ProvisionalExpiry is how long a proof lasts that crashes of other upstreams make doubtful.
	ProvisionalExpiry time.Duration
	// SuspicionExpiry is how long the suspicion of another host lasts.
	SuspicionExpiry time.Duration
	// Lanes is how many suspects of a pool may run at once, each alone on an upstream.
	Lanes       int
	Correlation time.Duration
	MaxProven   int
	MaxSuspects int
}

// Isolator is a state machine and not safe for concurrent use.
type Isolator struct {
	config   Config
	attempts map[identifier.AttemptID]*attempt
	suspects map[identifier.Fingerprint]*suspect
	proven   map[identifier.Fingerprint]proof
	waiting  []*ticket
	isolated map[Ticket]identifier.PoolName
	crashes  []crash
}

type attempt struct {
	id          identifier.AttemptID
	fingerprint identifier.Fingerprint
	upstream    identifier.UpstreamID
	// suspect is set when the fingerprint was a suspect as the attempt began. A proof of another request, which may be
	// wrong, can take the suspicion back while the attempt runs; its crash is a proof nevertheless.
	suspect bool
	// shared is set when a request with another fingerprint was on the upstream at any time of the attempt.
	shared bool
	// accounted is set when a crash of the upstream has already been attributed to this attempt.
	accounted bool
}

// proof ends at its time; a provisional one leaves a suspect.
type proof struct {
	until       time.Time
	provisional bool
}

type suspect struct {
	suspicion float64
	// doubted is set once a provisional proof has ended; the next proof is not provisional.
	doubted bool
	aborts  int
	expires time.Time
	// excused is set once crashes elsewhere have explained one of its crashes; it is not excused a second time, so two
	// harmful requests at once cannot excuse each other for ever.
	excused bool
}

type ticket struct {
	id          Ticket
	fingerprint identifier.Fingerprint
	pool        identifier.PoolName
	training    bool
}

// New returns an isolator.
func New(config Config) *Isolator {
	config.Expiry = cmp.Or(config.Expiry, DefaultExpiry)
	config.ProvisionalExpiry = cmp.Or(config.ProvisionalExpiry, DefaultProvisionalExpiry)
	config.SuspicionExpiry = cmp.Or(config.SuspicionExpiry, DefaultSuspicionExpiry)
	config.Lanes = cmp.Or(config.Lanes, DefaultLanes)
	config.Correlation = cmp.Or(config.Correlation, DefaultCorrelation)
	config.MaxProven = cmp.Or(config.MaxProven, DefaultMaxProven)
	config.MaxSuspects = cmp.Or(config.MaxSuspects, DefaultMaxSuspects)
	return &Isolator{
		config:   config,
		attempts: make(map[identifier.AttemptID]*attempt),
		suspects: make(map[identifier.Fingerprint]*suspect),
		proven:   make(map[identifier.Fingerprint]proof),
		isolated: make(map[Ticket]identifier.PoolName),
	}
}

// Handle processes one event.
func (i *Isolator) Handle(now time.Time, event Event) []Command {
	switch e := event.(type) {
	case RunRequested:
		return i.ask(now, e)
	case Withdrawn:
		i.withdraw(e.Ticket)
	case AttemptStarted:
		i.begin(now, e)
	case AttemptEnded:
		return append(i.end(now, e), i.dispatch(now)...)
	case Imported:
		i.importSuspects(now, e.Suspects)
		return append(i.importProven(now, e.Proven), i.dispatch(now)...)
	case Tick:
		i.expire(now)
	}
	return i.dispatch(now)
}

// Proven returns the fingerprints that are refused, in order.
func (i *Isolator) Proven() []codec.FlaggedFingerprint {
	list := make([]codec.FlaggedFingerprint, 0, len(i.proven))
	for fingerprint, p := range i.proven {
		list = append(list, flagged(fingerprint, p))
	}
	slices.SortFunc(list, func(a, b codec.FlaggedFingerprint) int { return cmp.Compare(a.Fingerprint, b.Fingerprint) })
	return list
}

// ProvenUntil reports whether a fingerprint is refused, and until when.
func (i *Isolator) ProvenUntil(now time.Time, fingerprint identifier.Fingerprint) (until time.Time, proven bool) {
	p, ok := i.proven[fingerprint]
	return p.until, ok && now.Before(p.until)
}

// Suspicion returns the suspicion of a fingerprint; zero means none.
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

func (i *Isolator) ask(now time.Time, e RunRequested) []Command {
	t := &ticket{id: e.Ticket, fingerprint: e.Fingerprint, pool: e.Pool, training: e.Class == codec.EntryClassTraining}
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

// decide returns the answer to a ticket, or nil when it has to wait for a lane.
func (i *Isolator) decide(now time.Time, t *ticket) Command {
	if until, ok := i.ProvenUntil(now, t.fingerprint); ok {
		return Refuse{t.id, until}
	}
	if !i.isSuspect(now, t.fingerprint) {
		return Proceed{t.id}
	}
	if i.lanesInUse(t.pool) >= i.config.Lanes {
		return nil
	}
	i.isolated[t.id] = t.pool
	return Isolate{t.id}
}

func (i *Isolator) lanesInUse(pool identifier.PoolName) int {
	count := 0
	for _, used := range i.isolated {
		if used == pool {
			count++
		}
	}
	return count
}

// dispatch answers the waiting tickets whose state has changed.
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

func (i *Isolator) begin(now time.Time, e AttemptStarted) {
	_, proven := i.ProvenUntil(now, e.Fingerprint)
	asserter.Check(asserter.ProvenRequestNeverSent, !proven,
		"attempt %s on %s has the proven fingerprint %s", e.Attempt, e.Upstream, e.Fingerprint)
	started := &attempt{id: e.Attempt, fingerprint: e.Fingerprint, upstream: e.Upstream, suspect: i.isSuspect(now, e.Fingerprint)}
	for _, other := range i.on(e.Upstream) {
		if other.fingerprint != e.Fingerprint {
			other.shared = true
			started.shared = true
		}
	}
	i.attempts[e.Attempt] = started
}

func (i *Isolator) on(upstream identifier.UpstreamID) []*attempt {
	var found []*attempt
	for _, a := range i.attempts {
		if a.upstream == upstream && !a.accounted {
			found = append(found, a)
		}
	}
	return found
}

func (i *Isolator) end(now time.Time, e AttemptEnded) []Command {
	a, ok := i.attempts[e.Attempt]
	if !ok {
		return nil
	}
	defer delete(i.attempts, e.Attempt)
	switch e.End {
	case EndResponded:
		delete(i.suspects, a.fingerprint)
	case EndCrashed:
		return i.crash(now, a)
	case EndAborted:
		return i.abort(now, a)
	case EndOther:
	}
	return nil
}

// abort counts against the attempt alone; a suspect that is aborted repeatedly while it runs alone is proven.
func (i *Isolator) abort(now time.Time, ended *attempt) []Command {
	if ended.accounted {
		return nil
	}
	ended.accounted = true
	if i.isSuspect(now, ended.fingerprint) && !ended.shared {
		known := i.suspects[ended.fingerprint]
		known.aborts++
		if known.aborts >= abortsForProof {
			return i.prove(now, ended.fingerprint)
		}
	}
	i.suspect(now, ended.fingerprint, 1)
	return nil
}

// crash proves a suspect that ran alone, and otherwise shares the suspicion among the fingerprints that were in flight.
func (i *Isolator) crash(now time.Time, ended *attempt) []Command {
	if ended.accounted {
		return nil
	}
	c := crash{upstream: ended.upstream, at: now, fingerprints: make(map[identifier.Fingerprint]bool)}
	for _, a := range i.on(ended.upstream) {
		a.accounted = true
		c.fingerprints[a.fingerprint] = true
	}
	i.keepCrash(i.withReports(now, c))
	explained := i.correlate(now)
	if (ended.suspect || i.isSuspect(now, ended.fingerprint)) && !ended.shared && !explained[ended.fingerprint] {
		return i.prove(now, ended.fingerprint)
	}
	var suspects []codec.FlaggedFingerprint
	for _, fingerprint := range slices.Sorted(maps.Keys(c.fingerprints)) {
		if !explained[fingerprint] {
			i.suspect(now, fingerprint, c.share())
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

func (i *Isolator) suspect(now time.Time, fingerprint identifier.Fingerprint, share float64) {
	s := i.record(now, fingerprint)
	s.suspicion += share
}

// record returns what is kept of a fingerprint that was part of a crash.
func (i *Isolator) record(now time.Time, fingerprint identifier.Fingerprint) *suspect {
	s, ok := i.suspects[fingerprint]
	if !ok {
		if len(i.suspects) >= i.config.MaxSuspects {
			i.forgetOldestSuspect()
		}
		s = &suspect{}
		i.suspects[fingerprint] = s
	}
	s.expires = now.Add(i.config.Expiry)
	return s
}

// prove refuses a fingerprint everywhere. While upstreams crash for other reasons, an innocent suspect is easily on one of
// them, so the first proof is provisional then: the request is tried alone once more after a short time.
func (i *Isolator) prove(now time.Time, fingerprint identifier.Fingerprint) []Command {
	p := proof{until: now.Add(i.config.Expiry)}
	if s := i.suspects[fingerprint]; (s == nil || !s.doubted) && i.unrest(now, fingerprint) {
		p = proof{until: now.Add(i.config.ProvisionalExpiry), provisional: true}
	}
	return append([]Command{Proved{flagged(fingerprint, p)}}, i.keepProven(fingerprint, p)...)
}

func flagged(fingerprint identifier.Fingerprint, p proof) codec.FlaggedFingerprint {
	return codec.FlaggedFingerprint{Fingerprint: fingerprint, ExpiresAt: p.until, Provisional: p.provisional}
}

// importSuspects takes over the suspicion of other hosts, so that a request that crashed an upstream of one host runs
// alone when its caller comes back through another.
func (i *Isolator) importSuspects(now time.Time, list []codec.FlaggedFingerprint) {
	latest := now.Add(i.config.SuspicionExpiry)
	for _, f := range list {
		if f.Upstream != "" {
			// The sender's clock may be ahead, so a crash is not taken for later than its report.
			at := f.ExpiresAt.Add(-i.config.SuspicionExpiry)
			if at.After(now) {
				at = now
			}
			i.noteElsewhere(at, f.Upstream, f.Fingerprint)
		}
		if _, proven := i.ProvenUntil(now, f.Fingerprint); proven || i.isSuspect(now, f.Fingerprint) {
			continue
		}
		s := i.record(now, f.Fingerprint)
		s.suspicion, s.expires = 1, f.ExpiresAt
		if s.expires.After(latest) {
			s.expires = latest
		}
	}
	i.correlate(now)
}

// importProven takes over proofs of other hosts; their expiry is bounded, because the clock of a host may be wrong.
func (i *Isolator) importProven(now time.Time, list []codec.FlaggedFingerprint) []Command {
	var commands []Command
	latest := now.Add(i.config.Expiry)
	for _, p := range list {
		until := p.ExpiresAt
		if until.After(latest) {
			until = latest
		}
		if now.Before(until) && until.After(i.proven[p.Fingerprint].until) {
			imported := proof{until: until, provisional: p.Provisional}
			commands = append(commands, i.keepProven(p.Fingerprint, imported)...)
		}
	}
	return commands
}

// keepProven refuses a fingerprint from now on and stops its running attempts before they crash more upstreams.
func (i *Isolator) keepProven(fingerprint identifier.Fingerprint, p proof) []Command {
	delete(i.suspects, fingerprint)
	i.clear(fingerprint)
	i.proven[fingerprint] = p
	if len(i.proven) > i.config.MaxProven {
		oldest := slices.MinFunc(i.Proven(), func(a, b codec.FlaggedFingerprint) int { return a.ExpiresAt.Compare(b.ExpiresAt) })
		delete(i.proven, oldest.Fingerprint)
	}
	var commands []Command
	for _, a := range i.attempts {
		if a.fingerprint == fingerprint && !a.accounted {
			commands = append(commands, Stop{a.id})
		}
	}
	return commands
}

func (i *Isolator) forgetOldestSuspect() {
	var oldest identifier.Fingerprint
	for fingerprint, s := range i.suspects {
		if oldest == "" || s.expires.Before(i.suspects[oldest].expires) {
			oldest = fingerprint
		}
	}
	delete(i.suspects, oldest)
}

func (i *Isolator) expire(now time.Time) {
	i.forgetCrashes(now)
	for fingerprint, p := range i.proven {
		if now.Before(p.until) {
			continue
		}
		delete(i.proven, fingerprint)
		if p.provisional {
			s := i.record(now, fingerprint)
			s.suspicion, s.doubted = 1, true
		}
	}
	for fingerprint, s := range i.suspects {
		if !now.Before(s.expires) {
			delete(i.suspects, fingerprint)
		}
	}
}
