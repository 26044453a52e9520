package presenter

import (
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"
	"github.com/dgryski/go-rendezvous"

	"celerygap.example/lib/asserter"
	"celerygap.example/lib/codec"
	"celerygap.example/lib/identifier"
)

const (
	// statusLifetime is how many periods a host's status stays in the snapshots after its last report.
	statusLifetime = 5
	// showDelay is how many periods ahead of its moment a snapshot is sent, so that every host has it in time.
	showDelay = 1
	// maxSchedule bounds the snapshots that wait for their moment.
	maxSchedule = 8
	// builderKey is the rendezvous key of the builder.
	builderKey = "screens"
)

// Event is an input of the board.
type Event interface{ isEvent() }

// Tick tells the board the time, the live hosts and this host's own status.
type Tick struct {
	Live []codec.Member
	Own  codec.HostStatus
	// Edits are the last catalogue edits that this host knows.
	Edits []codec.Edit
}

// StatusReceived is a report of another host.
type StatusReceived struct{ Status codec.HostStatus }

// SnapshotReceived is a snapshot of the builder.
type SnapshotReceived struct{ Snapshot codec.Snapshot }

// EpochClaimed tells that the store gave this host an epoch.
type EpochClaimed struct{ Epoch int64 }

// EpochRefused tells that the claim had no effect or that its effect is unknown.
type EpochRefused struct{}

func (Tick) isEvent()             {}
func (StatusReceived) isEvent()   {}
func (SnapshotReceived) isEvent() {}
func (EpochClaimed) isEvent()     {}
func (EpochRefused) isEvent()     {}

// Command is an output of the board.
type Command interface{ isCommand() }

// ClaimEpoch asks the store for an epoch above the given one.
type ClaimEpoch struct{ Above int64 }

// SendStatus reports this host's status to the builder.
type SendStatus struct {
	To     codec.Member
	Status codec.HostStatus
}

// SendSnapshot sends a snapshot to another host.
type SendSnapshot struct {
	To       codec.Member
	Snapshot codec.Snapshot
}

// Schedule replaces the snapshots that this host shows, in ascending order.
type Schedule struct{ Snapshots []codec.Snapshot }

func (ClaimEpoch) isCommand()   {}
func (SendStatus) isCommand()   {}
func (SendSnapshot) isCommand() {}
func (Schedule) isCommand()     {}

// BoardConfig configures a board.
type BoardConfig struct {
	Self   identifier.HostID
	Period time.Duration
}

// Board decides who builds snapshots, what they hold and which ones this host may show.
type Board struct {
	config   BoardConfig
	epoch    int64 // epoch that this host holds as a builder; 0 for none
	claiming bool
	sequence int64
	highest  int64 // highest epoch seen
	statuses map[identifier.HostID]received
	schedule []codec.Snapshot
}

type received struct {
	status codec.HostStatus
	at     time.Time
}

// NewBoard returns a board.
func NewBoard(config BoardConfig) *Board {
	return &Board{config: config, statuses: make(map[identifier.HostID]received)}
}

// Handle takes one event and returns what must be done.
func (b *Board) Handle(now time.Time, event Event) []Command {
	switch e := event.(type) {
	case Tick:
		return b.tick(now, e)
	case StatusReceived:
		b.statuses[e.Status.Member.ID] = received{status: e.Status, at: now}
	case SnapshotReceived:
		return b.receive(now, e.Snapshot)
	case EpochClaimed:
		b.claiming = false
		b.epoch = e.Epoch
		b.highest = max(b.highest, e.Epoch)
		b.sequence = 0
	case EpochRefused:
		b.claiming = false
	}
	return nil
}

func (b *Board) tick(now time.Time, tick Tick) []Command {
	builder, ok := chooseBuilder(tick.Live)
	if !ok {
		return nil
	}
	if builder.ID != b.config.Self {
		b.epoch = 0
		return []Command{SendStatus{To: builder, Status: tick.Own}}
	}
	b.statuses[b.config.Self] = received{status: tick.Own, at: now}
	if b.epoch == 0 || b.epoch < b.highest {
		return b.claim()
	}
	return b.publish(now, tick)
}

func (b *Board) claim() []Command {
	b.epoch = 0
	if b.claiming {
		return nil
	}
	b.claiming = true
	return []Command{ClaimEpoch{Above: b.highest}}
}

func (b *Board) publish(now time.Time, tick Tick) []Command {
	b.sequence++
	snapshot := codec.Snapshot{
		Epoch: b.epoch, Sequence: b.sequence, BuiltAt: now, ShowAt: now.Add(showDelay * b.config.Period),
		Builder: b.config.Self, Hosts: b.freshStatuses(now), Edits: tick.Edits,
	}
	commands := b.receive(now, snapshot)
	for _, member := range tick.Live {
		if member.ID != b.config.Self {
			commands = append(commands, SendSnapshot{To: member, Snapshot: snapshot})
		}
	}
	return commands
}

func (b *Board) freshStatuses(now time.Time) []codec.HostStatus {
	fresh := []codec.HostStatus{}
	for id, entry := range b.statuses {
		if now.Sub(entry.at) > statusLifetime*b.config.Period {
			delete(b.statuses, id)
			continue
		}
		fresh = append(fresh, entry.status)
	}
	slices.SortFunc(fresh, func(x, y codec.HostStatus) int {
		if x.Member.ID < y.Member.ID {
			return -1
		}
		return 1
	})
	return fresh
}

func (b *Board) receive(now time.Time, snapshot codec.Snapshot) []Command {
	b.highest = max(b.highest, snapshot.Epoch)
	if last := len(b.schedule); last > 0 && !after(snapshot, b.schedule[last-1]) {
		return nil
	}
	b.schedule = append(b.schedule, snapshot)
	b.trim(now)
	return []Command{Schedule{Snapshots: slices.Clone(b.schedule)}}
}

// trim drops snapshots whose successor is due already, and keeps the schedule bounded.
func (b *Board) trim(now time.Time) {
	for len(b.schedule) > 1 && !b.schedule[1].ShowAt.After(now) {
		b.schedule = b.schedule[1:]
	}
	if extra := len(b.schedule) - maxSchedule; extra > 0 {
		b.schedule = b.schedule[extra:]
	}
}

// after reports whether a has a higher (epoch, sequence) pair than b.
func after(a, b codec.Snapshot) bool {
	if a.Epoch != b.Epoch {
		return a.Epoch > b.Epoch
	}
	return a.Sequence > b.Sequence
}

func chooseBuilder(live []codec.Member) (codec.Member, bool) {
	ids := make([]string, 0, len(live))
	byID := make(map[string]codec.Member, len(live))
	for _, member := range live {
		ids = append(ids, string(member.ID))
		byID[string(member.ID)] = member
	}
	if len(ids) == 0 {
		return codec.Member{}, false
	}
	return byID[rendezvous.New(ids, xxhash.Sum64String).Lookup(builderKey)], true
}

// showing returns the newest snapshot whose moment has come and the one that follows it.
func showing(schedule []codec.Snapshot, now time.Time) (shown, pending *codec.Snapshot) {
	for i := range schedule {
		if schedule[i].ShowAt.After(now) {
			return shown, &schedule[i]
		}
		shown = &schedule[i]
	}
	return shown, nil
}

func checkOrder(last, next *codec.Snapshot) bool {
	if last == nil || next == nil {
		return true
	}
	return asserter.Check(asserter.SnapshotNeverGoesBack, !after(*last, *next),
		"snapshot (%d, %d) would follow (%d, %d)", next.Epoch, next.Sequence, last.Epoch, last.Sequence)
}
