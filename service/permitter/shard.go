package permitter

import (
	"math/rand/v2"
	"time"

	"celerygap.example/lib/codec"
	"celerygap.example/lib/identifier"
	"celerygap.example/lib/refuser"
)

// The default settings of a Shard.
const (
	// DefaultBatchWindow is how long a grant may wait to be written together with other records.
	DefaultBatchWindow = 50 * time.Millisecond
	// DefaultCompletionWindow is how long a completion may wait to be written together with other records. No caller's
	// first request waits for a completion, so a longer window saves writes at low rates.
	DefaultCompletionWindow = 200 * time.Millisecond
	// DefaultRetention is how long after its grant the record of a key decides on repeats.
	DefaultRetention = 30 * time.Minute
	// DefaultPollWait bounds how long the owner holds a request whose key is running; the requester then repeats the call.
	DefaultPollWait = time.Second
	// DefaultRunningLimit is how long a permit counts as running without a completion. Its host may have restarted
	// under the same id, in which case no completion will come.
	DefaultRunningLimit = 10 * time.Minute
	// DefaultStoreWait is how long requests wait for a store that throttles, or for the listing of segments at a takeover.
	DefaultStoreWait = time.Second
)

const (
	// storeRetryPause is the pause before a throttled write or a failed read of the tail is repeated.
	storeRetryPause = 100 * time.Millisecond
	// deleteMargin is added to the retention before a segment is deleted, for differences between the clocks of hosts.
	deleteMargin = 5 * time.Minute
	// housekeepingInterval is how often expired permits and segments are removed.
	housekeepingInterval = 10 * time.Second
	// maxBatch is the most records in one batch.
	maxBatch = DefaultFullRecords
)

// ShardConfig configures a Shard; zero durations mean the defaults.
type ShardConfig struct {
	Host             identifier.HostID
	BatchWindow      time.Duration
	CompletionWindow time.Duration
	Retention        time.Duration
	PollWait         time.Duration
	RunningLimit     time.Duration
	StoreWait        time.Duration
	// FullRecords is the number of records at which a segment is full; all hosts must use the same number.
	FullRecords int
	Rand        *rand.Rand
}

type phase string

// The phases of a shard; at most one call for the chain's tail is outstanding at a time.
const (
	phaseIdle    phase = "idle"
	phaseListing phase = "listing"
	phaseReady   phase = "ready"
	phaseWriting phase = "writing"
	// phaseReading follows a write whose outcome is unknown, and a segment that another owner filled.
	phaseReading phase = "reading"
)

// item is a waiting request or completion.
type item struct {
	token      Token
	request    *codec.PermitRequest
	completion *codec.PermitCompletion
	at         time.Time
	// inBatch is set while the item's record is part of a write that is outstanding or whose outcome is unknown.
	inBatch bool
	// written is set once the item's record is stored.
	written bool
	// recorded is set once the item's record was part of a write whose outcome is unknown.
	recorded bool
}

// Shard is the state machine that decides on the permits of one shard while this host acts as its owner.
type Shard struct {
	config   ShardConfig
	phase    phase
	chain    chain
	queue    []*item
	batchID  string
	expected int64
	// resolving is set while the outstanding read follows a write whose outcome is unknown.
	resolving bool
	// knownAt is not used.
	knownAt        time.Time
	flushAt        time.Time
	throttledUntil time.Time
	readAt         time.Time
	pollAt         time.Time
	housekeepAt    time.Time
	deleting       bool
	released       bool
	live           map[identifier.HostID]bool
	commands       []Command
}

// NewShard returns an idle shard; the first request makes it list the shard's segments.
func NewShard(config ShardConfig) *Shard {
	setDefault(&config.BatchWindow, DefaultBatchWindow)
	setDefault(&config.CompletionWindow, DefaultCompletionWindow)
	setDefault(&config.Retention, DefaultRetention)
	setDefault(&config.PollWait, DefaultPollWait)
	setDefault(&config.RunningLimit, DefaultRunningLimit)
	setDefault(&config.StoreWait, DefaultStoreWait)
	if config.FullRecords <= 0 {
		config.FullRecords = DefaultFullRecords
	}
	s := &Shard{config: config, phase: phaseIdle}
	s.chain = newChain(&s.config)
	return s
}

func setDefault(duration *time.Duration, value time.Duration) {
	if *duration <= 0 {
		*duration = value
	}
}

// Idle reports whether the shard holds no state.
func (s *Shard) Idle() bool { return s.phase == phaseIdle }

// Handle applies an event and returns the commands to execute.
func (s *Shard) Handle(now time.Time, event Event) []Command {
	s.commands = nil
	switch e := event.(type) {
	case Requested:
		s.enqueue(now, &item{token: e.Token, request: &e.Request, at: now})
	case Completed:
		s.enqueue(now, &item{token: e.Token, completion: &e.Completion, at: now})
	case Listed:
		s.listed(e)
	case Written:
		s.written(now, e)
	case Fetched:
		s.fetched(now, e)
	case Deleted:
		s.deleted(e)
	case MembersChanged:
		s.live = e.Live
	case Released:
		s.released = s.phase != phaseIdle
	case TimerFired:
	}
	if !isArrival(event) {
		s.resolveQueue(now)
	}
	s.progress(now)
	return s.commands
}

// isArrival reports whether an event only adds an item, so that the other queued items need not be decided again.
func isArrival(event Event) bool {
	switch event.(type) {
	case Requested, Completed:
		return true
	default:
		return false
	}
}

func (s *Shard) emit(command Command) { s.commands = append(s.commands, command) }

func (s *Shard) enqueue(now time.Time, added *item) {
	if s.phase == phaseReady && s.tryReply(now, added) {
		return
	}
	s.queue = append(s.queue, added)
	s.pollAt = earlier(s.pollAt, now.Add(s.config.PollWait))
	switch s.phase {
	case phaseIdle:
		s.list()
	case phaseReady:
		s.schedule(now, added)
	case phaseListing, phaseWriting, phaseReading:
	}
}

func (s *Shard) list() {
	s.phase = phaseListing
	s.emit(List{})
}

// progress starts the next call to the store if it is due, and sets the next timer.
func (s *Shard) progress(now time.Time) {
	switch s.phase {
	case phaseReady:
		s.flush(now)
		s.housekeep(now)
	case phaseReading:
		s.sendRead(now)
	case phaseListing:
		// A long listing continues for later requests; those that have waited for StoreWait are refused.
		s.refuseOlder(now.Add(-s.config.StoreWait))
	case phaseIdle, phaseWriting:
	}
	if s.released && s.phase == phaseReady {
		s.release()
	}
	s.setTimer(now)
}

// resolveQueue ends the queued items on which the known records decide, and the requests that have waited for PollWait for
// a running request of the same key.
func (s *Shard) resolveQueue(now time.Time) {
	if s.phase != phaseReady {
		return
	}
	s.pollAt, s.flushAt = time.Time{}, time.Time{}
	kept := s.queue[:0]
	for _, waiting := range s.queue {
		if s.tryReply(now, waiting) || s.expirePoll(now, waiting) {
			continue
		}
		kept = append(kept, waiting)
		s.schedule(now, waiting)
		s.pollAt = earlier(s.pollAt, waiting.at.Add(s.config.PollWait))
	}
	clear(s.queue[len(kept):])
	s.queue = kept
}

// expirePoll refuses a request that has waited for PollWait for a running request of the same key, and reports whether it
// did.
func (s *Shard) expirePoll(now time.Time, waiting *item) bool {
	if s.needsRecord(now, waiting) || now.Sub(waiting.at) < s.config.PollWait {
		return false
	}
	s.emit(Reply{Token: waiting.token, Reply: refused(refuser.KeyInProgress, waiting.recorded)})
	return true
}

func refused(reason refuser.Reason, recorded bool) codec.PermitReply {
	return codec.PermitReply{Decision: codec.PermitDecisionRefused, Reason: string(reason), Recorded: recorded}
}

// earlier returns the earlier of two times; the zero time means never.
func earlier(a, b time.Time) time.Time {
	if a.IsZero() || (!b.IsZero() && b.Before(a)) {
		return b
	}
	return a
}

// tryReply ends an item if the known records decide on it, and reports whether they do.
func (s *Shard) tryReply(now time.Time, waiting *item) bool {
	if waiting.completion != nil {
		return s.tryConfirm(waiting)
	}
	reply, decided := s.decide(now, waiting.request)
	if decided {
		s.emit(Reply{Token: waiting.token, Reply: reply})
	}
	return decided
}

func (s *Shard) tryConfirm(waiting *item) bool {
	completion := waiting.completion
	record := s.chain.index[identity{entry: completion.Entry, key: completion.Key}]
	known := record != nil && record.PermitID == completion.PermitID && record.Completed
	if known || waiting.written {
		s.emit(Confirm{Token: waiting.token})
		return true
	}
	return false
}

// decide returns the decision of the stored records on a request; it returns false while the key is free or running.
func (s *Shard) decide(now time.Time, request *codec.PermitRequest) (codec.PermitReply, bool) {
	id := identity{entry: request.Entry, key: request.Key}
	record := s.chain.lookup(id, now)
	switch {
	case record == nil && s.chain.expired(id, request.PermitID):
		return codec.PermitReply{Decision: codec.PermitDecisionOutcomeUnknown, Reason: string(refuser.OutcomeUnknown)}, true
	case record == nil:
		return codec.PermitReply{}, false
	case record.PermitID == request.PermitID && !record.Completed:
		return codec.PermitReply{Decision: codec.PermitDecisionGranted, PermitID: record.PermitID}, true
	case record.PermitID == request.PermitID:
		return codec.PermitReply{Decision: codec.PermitDecisionOutcomeUnknown, Reason: string(refuser.OutcomeUnknown)}, true
	case record.NotRun:
		return codec.PermitReply{}, false
	case record.Fingerprint != request.Fingerprint:
		return codec.PermitReply{Decision: codec.PermitDecisionKeyReused, Reason: string(refuser.KeyReused)}, true
	case record.Answer != nil:
		return codec.PermitReply{Decision: codec.PermitDecisionAnswered, Answer: record.Answer}, true
	case record.Completed, s.abandoned(now, record):
		return codec.PermitReply{Decision: codec.PermitDecisionOutcomeUnknown, Reason: string(refuser.OutcomeUnknown)}, true
	default:
		return codec.PermitReply{}, false
	}
}

// abandoned reports whether no completion of a running permit can be expected, because its host is gone or it is older
// than RunningLimit.
func (s *Shard) abandoned(now time.Time, record *codec.PermitRecord) bool {
	hostGone := s.live != nil && !s.live[record.Host]
	return hostGone || now.Sub(record.GrantedAt) > s.config.RunningLimit
}
