package accountant

import (
	"errors"
	"maps"
	"slices"
	"time"

	"celerygap.example/lib/codec"
	"celerygap.example/lib/identifier"
	"celerygap.example/service/connector"
)

const (
	// collectDelay is how long after the end of a window its report is written; late messages arrive before.
	collectDelay = 2 * time.Second
	// retryDelay is the pause after a failed call. It keeps the calls far below the platform's limit.
	retryDelay = time.Second
	// maxOpen bounds the reports in the stored object.
	maxOpen = 8
)

// Event is an input of Reporter.
type Event interface{ isEvent() }

// Tick advances the time. Holding reports whether this host holds the lease, Earliest is the first window that is reported if no
// report was ever written.
type Tick struct {
	Holding  bool
	Earliest identifier.UsageWindow
}

// LedgerRead is the result of ReadLedger; Err is nil or connector.ErrNotFound if the object could be read.
type LedgerRead struct {
	Version int64
	Ledger  codec.UsageLedger
	Err     error
}

// LedgerWritten is the result of WriteLedger. After a conflict it carries the stored object.
type LedgerWritten struct {
	Result  WriteResult
	Version int64
	Ledger  codec.UsageLedger
}

// Collected is the result of Collect: the requests of a window, of which each host's last message should have arrived.
type Collected struct {
	Window identifier.UsageWindow
	Counts Counts
}

// CallEnded is the result of Report.
type CallEnded struct {
	Window  identifier.UsageWindow
	Outcome connector.DutyOutcome
}

func (Tick) isEvent()          {}
func (LedgerRead) isEvent()    {}
func (LedgerWritten) isEvent() {}
func (Collected) isEvent()     {}
func (CallEnded) isEvent()     {}

// WriteResult is how a write of the ledger ended.
type WriteResult string

// The results of a write.
const (
	WriteOK       WriteResult = "ok"
	WriteConflict WriteResult = "conflict"
	// WriteFailed means that the write certainly had no effect, WriteUnknown that it may have one or get one.
	WriteFailed  WriteResult = "failed"
	WriteUnknown WriteResult = "unknown"
)

// Command is an output of Reporter.
type Command interface{ isCommand() }

// ReadLedger reads the stored object.
type ReadLedger struct{}

// Collect gets the counts of a window that other hosts hold.
type Collect struct{ Window identifier.UsageWindow }

// WriteLedger writes the stored object if its version is still Expected.
type WriteLedger struct {
	Expected int64
	Ledger   codec.UsageLedger
}

// Report reports a window.
type Report struct{ Window codec.WindowCounts }

// GaveUp says that a window was not reported in time. Counts is nil if its report was not written either.
type GaveUp struct{ Window codec.WindowCounts }

func (ReadLedger) isCommand()  {}
func (Collect) isCommand()     {}
func (WriteLedger) isCommand() {}
func (Report) isCommand()      {}
func (GaveUp) isCommand()      {}

// Reporter is the state machine that decides what the holder of the lease writes and reports. A report is made only after it was
// written, and a written one is never computed again: a host that takes over repeats what is written.
type Reporter struct {
	windows Windows
	// known is set while ledger is the stored object of a version, as far as this host knows.
	known   bool
	ledger  codec.UsageLedger
	version int64
	// through is the last window that any ledger held.
	through identifier.UsageWindow
	// busy is set while a read, a write or a collection is outstanding; written is the object of the outstanding write.
	busy    bool
	written codec.UsageLedger
	storeAt time.Time
	// reporting is set while a report is outstanding; done holds the windows that were confirmed or given up since ledger was
	// written.
	reporting bool
	reportAt  time.Time
	done      map[identifier.UsageWindow]bool
	// collected is what was collected for the next window; nil before that.
	collected *Collected
}

// NewReporter returns a Reporter that knows nothing of the store.
func NewReporter(windows Windows) *Reporter {
	return &Reporter{windows: windows, done: make(map[identifier.UsageWindow]bool)}
}

// Handle applies an event and returns the commands to execute.
func (r *Reporter) Handle(now time.Time, event Event) []Command {
	switch e := event.(type) {
	case Tick:
		return r.tick(now, e)
	case LedgerRead:
		r.busy = false
		r.known = e.Err == nil || errors.Is(e.Err, connector.ErrNotFound)
		r.ledger, r.version = e.Ledger, e.Version
		if !r.known {
			r.storeAt = now.Add(retryDelay)
		}
		r.forgetDone()
	case Collected:
		r.busy = false
		r.collected = &e
	case LedgerWritten:
		r.busy = false
		r.handleWritten(now, e)
	case CallEnded:
		r.reporting = false
		if e.Outcome == connector.DutyAccepted {
			r.done[e.Window] = true
		} else {
			r.reportAt = now.Add(retryDelay)
		}
	}
	return nil
}

func (r *Reporter) handleWritten(now time.Time, event LedgerWritten) {
	switch event.Result {
	case WriteOK:
		r.ledger, r.version = r.written, event.Version
	case WriteConflict:
		r.ledger, r.version = event.Ledger, event.Version
		r.collected = nil
	case WriteFailed:
		r.storeAt = now.Add(retryDelay)
	case WriteUnknown:
		// The object may hold this report or get it later, so the next step starts from what it holds.
		r.known, r.collected = false, nil
	}
	r.forgetDone()
}

// forgetDone forgets the windows that the stored object does not hold any more.
func (r *Reporter) forgetDone() {
	maps.DeleteFunc(r.done, func(done identifier.UsageWindow, _ bool) bool {
		return !slices.ContainsFunc(r.ledger.Open, func(open codec.WindowCounts) bool { return open.Window == done })
	})
}

func (r *Reporter) tick(now time.Time, event Tick) []Command {
	if !event.Holding {
		r.known, r.collected = false, nil
		return nil
	}
	if !r.known {
		if r.busy || now.Before(r.storeAt) {
			return nil
		}
		r.busy = true
		return []Command{ReadLedger{}}
	}
	if r.version == 0 && r.ledger.Through == 0 {
		// An object that was removed must not make a reported window be computed again.
		r.ledger.Through = max(event.Earliest-1, r.through)
	}
	r.through = max(r.through, r.ledger.Through)
	commands := r.skipOld(now)
	if report, ok := r.nextReport(now); ok {
		commands = append(commands, report)
	}
	return append(commands, r.nextWindow(now)...)
}

// skipOld gives up the windows that are too old to be reported.
func (r *Reporter) skipOld(now time.Time) []Command {
	var commands []Command
	oldest := r.windows.oldest(now)
	for _, window := range r.ledger.Open {
		if window.Window < oldest && !r.done[window.Window] && !r.reporting {
			r.done[window.Window] = true
			commands = append(commands, GaveUp{window})
		}
	}
	if r.ledger.Through < oldest-1 && !r.busy {
		// Windows of a time in which no host held the lease or reached the store.
		commands = append(commands, GaveUp{codec.WindowCounts{Window: oldest - 1}})
		r.ledger.Through = oldest - 1
		r.collected = nil
	}
	return commands
}

// nextReport returns the report of the oldest written window that is not confirmed.
func (r *Reporter) nextReport(now time.Time) (Report, bool) {
	if r.reporting || now.Before(r.reportAt) {
		return Report{}, false
	}
	for _, window := range r.ledger.Open {
		if !r.done[window.Window] {
			r.reporting = true
			return Report{window}, true
		}
	}
	return Report{}, false
}

// nextWindow collects and writes the next window once it has ended long enough ago.
func (r *Reporter) nextWindow(now time.Time) []Command {
	next := r.ledger.Through + 1
	if r.busy || now.Before(r.storeAt) || now.Before(r.windows.End(next).Add(collectDelay)) {
		return nil
	}
	r.busy = true
	if r.collected == nil || r.collected.Window != next {
		return []Command{Collect{next}}
	}
	open := make([]codec.WindowCounts, 0, maxOpen)
	for _, window := range r.ledger.Open {
		if !r.done[window.Window] {
			open = append(open, window)
		}
	}
	open = append(open, codec.WindowCounts{Window: next, Counts: r.collected.Counts})
	r.written = codec.UsageLedger{Through: next, Open: slices.Clone(open[max(0, len(open)-maxOpen):])}
	return []Command{WriteLedger{Expected: r.version, Ledger: r.written}}
}
