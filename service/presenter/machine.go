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
	// statusLifetimePeriods is how many periods a host's status stays in the snapshots after its last report.
	statusLifetimePeriods = 5
	// showDelayPeriods is how many periods before its display time a snapshot is sent, so that every host has it in time.
	showDelayPeriods = 1
	// maxScheduled bounds the snapshots of the schedule: the shown one and those whose display time has not come.
	maxScheduled = 8
	// builderKey is the rendezvous key by which the builder is chosen among the live hosts.
	builderKey = "screens"
)

// Event is an input of the state machine.
type Event interface{ isEvent() }

// Tick is the periodic event; it carries the live hosts and this host's own status.
type Tick struct {
	Live []codec.Member
	Own  codec.HostStatus
	// Edits are the latest catalogue edits known to this host.
	Edits []codec.Edit
}

// StatusReceived carries the status that another host reported.
type StatusReceived struct{ Status codec.HostStatus }

// SnapshotReceived carries a snapshot from a builder.
type SnapshotReceived struct{ Snapshot codec.Snapshot }

// EpochClaimed means that this host claimed an epoch in the store.
type EpochClaimed struct{ Epoch int64 }

// EpochClaimFailed means that the claim had no effect or that its outcome is unknown.
type EpochClaimFailed struct{}

func (Tick) isEvent()             {}
func (StatusReceived) isEvent()   {}
func (SnapshotReceived) isEvent() {}
func (EpochClaimed) isEvent()     {}
func (EpochClaimFailed) isEvent() {}

// Command is an output of the state machine.
type Command interface{ isCommand() }

// ClaimEpoch claims an epoch above the given one in the store.
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

// SetSchedule replaces the snapshots that this host shows, each at its display time; they are in ascending order.
type SetSchedule struct{ Snapshots []codec.Snapshot }

func (ClaimEpoch) isCommand()   {}
func (SendStatus) isCommand()   {}
func (SendSnapshot) isCommand() {}
func (SetSchedule) isCommand()  {}

// MachineConfig configures a state machine.
type MachineConfig struct {
	Self   identifier.HostID
	Period time.Duration
}

// Machine is the state machine that decides which host builds snapshots, what the snapshots contain and which of them this
// host shows.
type Machine struct {
	config   MachineConfig
	epoch    int64 // epoch that this host claimed as the builder; 0 for none
	claiming bool  // whether a ClaimEpoch is being executed
	sequence int64 // sequence number of the last snapshot built in epoch
	highest  int64 // highest epoch known
	statuses map[identifier.HostID]receivedStatus
	schedule []codec.Snapshot
}

type receivedStatus struct {
	status codec.HostStatus
	at     time.Time
}

// NewMachine returns a state machine without an epoch and without snapshots.
func NewMachine(config MachineConfig) *Machine {
	return &Machine{config: config, statuses: make(map[identifier.HostID]receivedStatus)}
}

// Handle applies one event and returns the commands to execute.
func (m *Machine) Handle(now time.Time, event Event) []Command {
	switch e := event.(type) {
	case Tick:
		return m.tick(now, e)
	case StatusReceived:
		m.statuses[e.Status.Member.ID] = receivedStatus{status: e.Status, at: now}
	case SnapshotReceived:
		return m.receive(now, e.Snapshot)
	case EpochClaimed:
		m.claiming = false
		m.epoch = e.Epoch
		m.highest = max(m.highest, e.Epoch)
		m.sequence = 0
	case EpochClaimFailed:
		m.claiming = false
	}
	return nil
}

func (m *Machine) tick(now time.Time, tick Tick) []Command {
	builder, ok := chooseBuilder(tick.Live)
	if !ok {
		return nil
	}
	if builder.ID != m.config.Self {
		m.epoch = 0
		return []Command{SendStatus{To: builder, Status: tick.Own}}
	}
	m.statuses[m.config.Self] = receivedStatus{status: tick.Own, at: now}
	if m.epoch == 0 || m.epoch < m.highest {
		return m.claim()
	}
	return m.publish(now, tick)
}

// claim claims an epoch unless a claim is being executed already.
func (m *Machine) claim() []Command {
	m.epoch = 0
	if m.claiming {
		return nil
	}
	m.claiming = true
	return []Command{ClaimEpoch{Above: m.highest}}
}

// publish builds the next snapshot, schedules it on this host and sends it to the other live hosts.
func (m *Machine) publish(now time.Time, tick Tick) []Command {
	m.sequence++
	snapshot := codec.Snapshot{
		Epoch: m.epoch, Sequence: m.sequence, BuiltAt: now, ShowAt: now.Add(showDelayPeriods * m.config.Period),
		Builder: m.config.Self, Hosts: m.freshStatuses(now), Edits: tick.Edits,
	}
	commands := m.receive(now, snapshot)
	for _, member := range tick.Live {
		if member.ID != m.config.Self {
			commands = append(commands, SendSnapshot{To: member, Snapshot: snapshot})
		}
	}
	return commands
}

// freshStatuses returns the statuses that have not expired, ordered by host id, and deletes the others.
func (m *Machine) freshStatuses(now time.Time) []codec.HostStatus {
	fresh := []codec.HostStatus{}
	for id, entry := range m.statuses {
		if now.Sub(entry.at) > statusLifetimePeriods*m.config.Period {
			delete(m.statuses, id)
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

// receive schedules a snapshot unless it is not newer than the last scheduled one.
func (m *Machine) receive(now time.Time, snapshot codec.Snapshot) []Command {
	m.highest = max(m.highest, snapshot.Epoch)
	if last := len(m.schedule); last > 0 && !isNewer(snapshot, m.schedule[last-1]) {
		return nil
	}
	m.schedule = append(m.schedule, snapshot)
	m.trim(now)
	return []Command{SetSchedule{Snapshots: slices.Clone(m.schedule)}}
}

// trim drops the snapshots whose successor is already due, and the oldest ones beyond maxScheduled.
func (m *Machine) trim(now time.Time) {
	for len(m.schedule) > 1 && !m.schedule[1].ShowAt.After(now) {
		m.schedule = m.schedule[1:]
	}
	if extra := len(m.schedule) - maxScheduled; extra > 0 {
		m.schedule = m.schedule[extra:]
	}
}

// isNewer reports whether a has a higher (epoch, sequence) pair than b.
func isNewer(a, b codec.Snapshot) bool {
	if a.Epoch != b.Epoch {
		return a.Epoch > b.Epoch
	}
	return a.Sequence > b.Sequence
}

// chooseBuilder returns the live host that builds snapshots; hosts with the same live hosts choose the same one.
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

// selectShown returns the newest snapshot whose display time has come, and the one after it; each may be nil.
func selectShown(schedule []codec.Snapshot, now time.Time) (shown, pending *codec.Snapshot) {
	for i := range schedule {
		if schedule[i].ShowAt.After(now) {
			return shown, &schedule[i]
		}
		shown = &schedule[i]
	}
	return shown, nil
}

// checkOrder reports whether next may be shown after last; an older snapshot violates an invariant.
func checkOrder(last, next *codec.Snapshot) bool {
	if last == nil || next == nil {
		return true
	}
	return asserter.Check(asserter.SnapshotNeverGoesBack, !isNewer(*last, *next),
		"snapshot (epoch %d, sequence %d) would be shown after (epoch %d, sequence %d)", next.Epoch, next.Sequence, last.Epoch, last.Sequence)
}
