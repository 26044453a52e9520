package accountant_test

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"celerygap.example/lib/codec"
	"celerygap.example/lib/identifier"
	"celerygap.example/service/accountant"
	"celerygap.example/service/chronometer"
	"celerygap.example/service/connector"
)

// forSeeds runs a play with several seeds.
func forSeeds(t *testing.T, play func(t *testing.T, s *simulation)) {
	for seed := range uint64(8) {
		play(t, newSimulation(t, seed, 9))
	}
}

// Guards against wrong counts without any failure, and against more store calls than one write a window.
func TestEachWindowIsReportedOnce(t *testing.T) {
	forSeeds(t, func(t *testing.T, s *simulation) {
		s.run(60*time.Second, nil)
		s.run(64*time.Second, nil)
		require.Zero(t, s.check(60*time.Second, 3*time.Second, 0, 0))
		for _, calls := range s.calls {
			require.Len(t, calls, 1)
		}
		require.Equal(t, int64(12), s.version)
	})
}

// Guards against a report of windows without requests that is left out, which the platform could not tell from a lost one.
func TestWindowsWithoutRequestsAreReported(t *testing.T) {
	s := newSimulation(t, 1, 2)
	s.random = nil
	for s.now = 0; s.now < 20*time.Second; s.now += step {
		for _, f := range s.later[s.now] {
			f()
		}
		s.tick(0, s.hosts[0])
	}
	require.Len(t, s.calls, 3)
	require.Zero(t, s.check(15*time.Second, due, 0, 0))
}

// Guards against counts that are lost with killed hosts, apart from those of their last second, when both collecting hosts are
// killed one after the other and another host takes over.
func TestKilledHosts(t *testing.T) {
	forSeeds(t, func(t *testing.T, s *simulation) {
		s.run(60*time.Second, func() {
			switch s.now {
			case 22300 * time.Millisecond:
				s.kill(0)
				s.holder = -1
			case 28 * time.Second:
				s.holder = 1
			case 36900 * time.Millisecond:
				s.kill(5)
			case 43 * time.Second:
				s.kill(1)
				s.holder = -1
			case 49 * time.Second:
				s.holder = 2
			}
		})
		// A host begins two requests a second, of which those since its last message are lost.
		missing := s.check(55*time.Second, due, 0.05, 8)
		t.Logf("%d requests are missing after 3 kills", missing)
		require.LessOrEqual(t, missing, int64(18))
	})
}

// Guards against a second content when the holder is frozen or dies between the write and the call, and resumes later.
func TestChangeOfHolderBetweenWriteAndCall(t *testing.T) {
	forSeeds(t, func(t *testing.T, s *simulation) {
		resumes := time.Duration(0)
		s.run(60*time.Second, func() {
			if resumes == 0 && s.version == 4 && s.now > 20*time.Second {
				// The write has just taken effect; its response is not read.
				resumes = s.now + 12*time.Second
				s.hosts[0].frozenUntil = resumes
				s.holder = -1
			}
			switch s.now {
			case resumes - 6*time.Second:
				s.holder = 1
			case resumes + 5*time.Second:
				s.holder = 0
			}
		})
		require.NotZero(t, resumes)
		s.check(55*time.Second, due, 0.05, 30)
	})
}

// Guards against a report that is computed again or left out when responses of the store and of the platform are lost or late.
func TestLostResponses(t *testing.T) {
	forSeeds(t, func(_ *testing.T, s *simulation) {
		some := func() bool { return s.random.Float64() < 0.4 }
		s.loseStoreResponse, s.loseCallResponse = some, some
		s.messageDelay = func() time.Duration { return time.Duration(s.random.Int64N(int64(700 * time.Millisecond))) }
		s.run(70*time.Second, func() {
			if s.now == 31*time.Second {
				s.holder = 1
			}
		})
		s.check(60*time.Second, due, 0.05, 3)
	})
}

// Guards against counts that are lost while the links of some hosts to the collecting host are cut: the substitute has them.
func TestCutLinks(t *testing.T) {
	forSeeds(t, func(t *testing.T, s *simulation) {
		s.cut = func(from, to int) bool { return to == 0 && from > 4 || to == 1 && from < 3 }
		s.run(40*time.Second, nil)
		require.Zero(t, s.check(35*time.Second, due, 0, 0))
	})
}

// Guards against windows that are lost or reported twice in an outage of the store, and against calls without a written report.
func TestStoreOutage(t *testing.T) {
	forSeeds(t, func(t *testing.T, s *simulation) {
		s.storeDown = func() bool { return s.now > 21*time.Second && s.now < 46*time.Second }
		s.run(70*time.Second, func() {
			if s.storeDown() {
				require.LessOrEqual(t, len(s.calls), 4)
			}
		})
		require.Zero(t, s.check(60*time.Second, 35*time.Second, 0, 0))
	})
}

// Guards against reports that a short outage of the platform's API makes late for good, and against a stored object that grows.
func TestAPIOutage(t *testing.T) {
	reporter := accountant.NewReporter(windows)
	first := windows.At(epoch)
	tick := accountant.Tick{Holding: true, Earliest: first}
	reported := make(map[identifier.UsageWindow]bool)
	ledger, version, gaveUp := codec.UsageLedger{}, int64(0), 0
	for at := time.Duration(0); at < 200*time.Second; at += 200 * time.Millisecond {
		now := epoch.Add(at)
		for _, command := range reporter.Handle(now, tick) {
			switch c := command.(type) {
			case accountant.ReadLedger:
				reporter.Handle(now, accountant.LedgerRead{Err: connector.ErrNotFound})
			case accountant.Collect:
				reporter.Handle(now, accountant.Collected{Window: c.Window, Counts: accountant.Counts{"c": 1}})
			case accountant.WriteLedger:
				require.LessOrEqual(t, len(c.Ledger.Open), 8)
				ledger = c.Ledger
				version++
				reporter.Handle(now, accountant.LedgerWritten{Result: accountant.WriteOK, Version: version})
			case accountant.Report:
				outcome := connector.DutyOutcomeUnknown
				if at < 30*time.Second || at > 60*time.Second {
					outcome = connector.DutyAccepted
					reported[c.Window.Window] = true
				}
				reporter.Handle(now, accountant.CallEnded{Window: c.Window.Window, Outcome: outcome})
			case accountant.GaveUp:
				gaveUp++
			}
		}
	}
	require.Zero(t, gaveUp)
	for window := first; window < first+39; window++ {
		require.True(t, reported[window], "window %d", window-first)
	}
	require.LessOrEqual(t, len(ledger.Open), 2, "confirmed reports leave the object")
}

// Guards against requests in a wrong window on a host whose wall clock is off by seconds for a while.
func TestClockThatJumpsAndComesBack(t *testing.T) {
	var anchor chronometer.Anchor
	counter := accountant.NewCounter(windows)
	truth := make(accountant.Counts)
	to := []accountant.Destination{{Host: "h"}}
	for at := time.Duration(0); at < 50*time.Second; at += 100 * time.Millisecond {
		jump := time.Duration(0)
		if at > 12*time.Second && at < 31*time.Second {
			jump = 7 * time.Second
		}
		counter.Started("c", anchor.Read(time.Hour+at, epoch.Add(at+jump)))
		truth[identifier.CustomerName(windows.End(windows.At(epoch.Add(at))).String())]++
	}
	sends := counter.Due(epoch.Add(50*time.Second), to, true)
	require.Len(t, sends, 1)
	for _, sent := range sends[0].Windows {
		require.Equal(t, truth[identifier.CustomerName(windows.End(sent.Window).String())], sent.Counts["c"])
	}
}

// Guards against messages that repeat what the receiver has confirmed, which cost money between zones, and against a receiver that
// counts repeated, late or reordered messages twice.
func TestMessagesCarryChangesAndMayBeRepeated(t *testing.T) {
	counter, collector := accountant.NewCounter(windows), accountant.NewCollector(windows)
	to := []accountant.Destination{{Host: "h0"}}
	var messages []codec.UsageCounts
	send := func(now time.Time, confirmed bool) int {
		sends := counter.Due(now, to, false)
		for _, send := range sends {
			messages = append(messages, codec.UsageCounts{From: "a", Process: 1, Windows: send.Windows})
			counter.Ended(send.To, confirmed)
		}
		return len(sends)
	}
	require.Equal(t, 1, send(epoch, true), "the first message shows whether the host knows the method")
	counter.Started("x", epoch)
	counter.Started("y", epoch)
	require.Zero(t, send(epoch.Add(100*time.Millisecond), true), "at most one message a second")
	require.Equal(t, 1, send(epoch.Add(time.Second), true))
	require.Zero(t, send(epoch.Add(3*time.Second), true), "nothing changed")
	counter.Started("x", epoch.Add(3*time.Second))
	require.Equal(t, 1, send(epoch.Add(4*time.Second), false))
	require.Equal(t, 1, send(epoch.Add(5*time.Second+600*time.Millisecond), true))
	require.Equal(t, []codec.WindowCounts{{Window: windows.At(epoch), Counts: accountant.Counts{"x": 2}}}, messages[3].Windows)
	for range 2 {
		for i := range messages {
			collector.Received(epoch.Add(6*time.Second), messages[len(messages)-1-i])
		}
	}
	counts, processes := collector.Sum(windows.At(epoch))
	require.Equal(t, accountant.Counts{"x": 2, "y": 1}, counts)
	require.Equal(t, 1, processes)
}

// Guards against a window that is computed again by a host whose write met a conflict, because the write of the former holder took
// effect in between, or took effect without a response.
func TestConflictTakesOverWhatIsWritten(t *testing.T) {
	first := windows.At(epoch)
	now := windows.End(first).Add(3 * time.Second)
	tick := accountant.Tick{Holding: true, Earliest: first}
	theirs := codec.UsageLedger{Through: first, Open: []codec.WindowCounts{{Window: first, Counts: accountant.Counts{"c": 7}}}}
	for _, written := range []accountant.LedgerWritten{
		{Result: accountant.WriteConflict, Version: 5, Ledger: theirs}, {Result: accountant.WriteUnknown},
	} {
		reporter := accountant.NewReporter(windows)
		require.Equal(t, []accountant.Command{accountant.ReadLedger{}}, reporter.Handle(now, tick))
		reporter.Handle(now, accountant.LedgerRead{Version: 4, Ledger: codec.UsageLedger{Through: first - 1}})
		require.Equal(t, []accountant.Command{accountant.Collect{Window: first}}, reporter.Handle(now, tick))
		reporter.Handle(now, accountant.Collected{Window: first, Counts: accountant.Counts{"c": 6}})
		commands := reporter.Handle(now, tick)
		require.Len(t, commands, 1)
		require.Equal(t, int64(4), commands[0].(accountant.WriteLedger).Expected)
		require.Empty(t, reporter.Handle(now, tick), "no report before the write is known")
		reporter.Handle(now, written)
		if written.Result == accountant.WriteUnknown {
			require.Equal(t, []accountant.Command{accountant.ReadLedger{}}, reporter.Handle(now, tick))
			reporter.Handle(now, accountant.LedgerRead{Version: 5, Ledger: theirs})
		}
		require.Equal(t, []accountant.Command{accountant.Report{Window: theirs.Open[0]}}, reporter.Handle(now, tick))
	}
}
