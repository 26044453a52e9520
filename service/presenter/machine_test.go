package presenter

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"

	"celerygap.example/lib/asserter"
	"celerygap.example/lib/codec"
	"celerygap.example/lib/identifier"
)

func failOnViolation(t require.TestingT) func() {
	return asserter.SetHandler(func(name asserter.Invariant, detail string) {
		require.FailNow(t, "invariant failed", "%s: %s", name, detail)
	})
}

// Guards against a host that shows an older snapshot after a newer one when the builder changes, when messages are late,
// duplicated or lost, or when the store refuses an epoch.
func TestScreensNeverGoBack(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		defer failOnViolation(t)()
		now := time.Unix(1000, 0)
		ids := []identifier.HostID{"a", "b", "c"}
		machines := map[identifier.HostID]*Machine{}
		last := map[identifier.HostID]*codec.Snapshot{}
		for _, id := range ids {
			machines[id] = NewMachine(MachineConfig{Self: id, Period: time.Second})
		}
		var epoch int64
		var inFlight []SendSnapshot
		for range rapid.IntRange(20, 120).Draw(t, "steps") {
			now = now.Add(time.Duration(rapid.IntRange(0, 1500).Draw(t, "ms")) * time.Millisecond)
			id := rapid.SampledFrom(ids).Draw(t, "host")
			live := rapid.SliceOfNDistinct(rapid.SampledFrom(ids), 1, 3, rapid.ID[identifier.HostID]).Draw(t, "live")
			var members []codec.Member
			for _, m := range live {
				members = append(members, codec.Member{ID: m})
			}
			commands := machines[id].Handle(now, Tick{Live: members, Own: codec.HostStatus{Member: codec.Member{ID: id}}})
			if len(inFlight) > 0 && rapid.Bool().Draw(t, "deliver") {
				message := rapid.SampledFrom(inFlight).Draw(t, "message")
				machines[message.To.ID].Handle(now, SnapshotReceived{message.Snapshot})
			}
			for _, command := range commands {
				switch c := command.(type) {
				case SendSnapshot:
					inFlight = append(inFlight, c)
				case ClaimEpoch:
					if rapid.Bool().Draw(t, "store up") {
						epoch = max(epoch, c.Above) + 1
						machines[id].Handle(now, EpochClaimed{Epoch: epoch})
					} else {
						machines[id].Handle(now, EpochClaimFailed{})
					}
				}
			}
			for host, machine := range machines {
				shown, _ := selectShown(machine.schedule, now)
				if shown == nil {
					continue
				}
				require.True(t, checkOrder(last[host], shown))
				last[host] = shown
			}
		}
	})
}

// Guards against hosts that received the same snapshots but show different ones at the same time.
func TestHostsShowTheSameSnapshotAtItsDisplayTime(t *testing.T) {
	now := time.Unix(1000, 0)
	builder := NewMachine(MachineConfig{Self: "a", Period: time.Second})
	other := NewMachine(MachineConfig{Self: "b", Period: time.Second})
	builder.Handle(now, EpochClaimed{Epoch: 3})
	live := []codec.Member{{ID: "a"}}
	for range 5 {
		for _, command := range builder.publish(now, Tick{Live: append(live, codec.Member{ID: "b"})}) {
			if send, ok := command.(SendSnapshot); ok {
				other.Handle(now.Add(300*time.Millisecond), SnapshotReceived{send.Snapshot})
			}
		}
		now = now.Add(time.Second)
		x, _ := selectShown(builder.schedule, now)
		y, _ := selectShown(other.schedule, now)
		require.NotNil(t, x)
		require.Equal(t, *x, *y)
	}
}

// Guards against a view that shows an older snapshot after a newer one. A tick that was sent before a pause of the process
// carries an older time than the last request; with that time, sequence 5 was shown after sequence 6 and the invariant failed.
func TestViewsDoNotFollowAnOlderClock(t *testing.T) {
	defer failOnViolation(t)()
	start := time.Unix(1000, 0)
	p := &Presenter{}
	p.schedule.Store(&[]codec.Snapshot{
		{Epoch: 6, Sequence: 5, ShowAt: start}, {Epoch: 6, Sequence: 6, ShowAt: start.Add(time.Second)},
	})
	require.EqualValues(t, 6, p.View(start.Add(2*time.Second)).Shown.Sequence)
	require.EqualValues(t, 6, p.View(start.Add(500*time.Millisecond)).Shown.Sequence)
}
