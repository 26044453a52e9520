package lister_test

import (
	"context"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"celerygap.example/lib/codec"
	"celerygap.example/lib/grouper"
	"celerygap.example/lib/identifier"
	"celerygap.example/lib/timer"
	"celerygap.example/service/connector"
	"celerygap.example/service/lister"
	"celerygap.example/service/storekeeper"
)

const (
	live    = codec.HostStateLive
	leaving = codec.HostStateLeaving
)

// harness drives a state machine with simulated time and keeps what it published last.
type harness struct {
	t       *testing.T
	machine *lister.Lister
	now     time.Time
	last    lister.Publish
	// loggedLeaving counts the LogLeaving commands.
	loggedLeaving int
}

func newHarness(t *testing.T) *harness {
	return &harness{t: t, machine: lister.New(lister.Config{}), now: time.Unix(1000, 0)}
}

func (h *harness) handle(event lister.Event) {
	for _, command := range h.machine.Handle(h.now, event) {
		switch c := command.(type) {
		case lister.Publish:
			h.last = c
		case lister.LogLeaving:
			h.loggedLeaving++
		}
	}
}

func (h *harness) list(revision int64, hosts ...codec.ListedHost) {
	h.handle(lister.ListReceived{List: codec.HostList{Revision: revision, Hosts: hosts}})
}

func (h *harness) report(evidence ...connector.Evidence) {
	for _, e := range evidence {
		h.handle(lister.EvidenceReported{ID: "u", Evidence: e})
	}
}

func (h *harness) advance(d time.Duration) {
	h.now = h.now.Add(d)
	h.handle(lister.Tick{})
}

// state returns "out", "leaving" or "live" for the upstream u.
func (h *harness) state() string {
	for _, upstream := range h.last.Pools["pool"] {
		if upstream.ID != "u" {
			continue
		}
		if upstream.Leaving {
			return "leaving"
		}
		return "live"
	}
	return "out"
}

func listed(id identifier.UpstreamID, state codec.HostState) codec.ListedHost {
	return codec.ListedHost{ID: id, Address: "a:1", Pool: "pool", State: state}
}

// Guards against work for an upstream after the list named it as leaving, because a response or a lagging list
// reverts it (promise P7 in docs/design.md).
func TestLeavingIsFinalForAnEntry(t *testing.T) {
	h := newHarness(t)
	h.list(1, listed("u", live))
	require.Equal(t, "live", h.state())
	h.list(2, listed("u", leaving))
	require.Equal(t, "leaving", h.state())
	h.report(connector.EvidenceResponded)
	h.list(3, listed("u", live))
	require.Equal(t, "leaving", h.state(), "neither a response nor a lagging entry reverts it")
	h.list(4)
	h.list(5, listed("u", live))
	require.Equal(t, "live", h.state(), "a new entry after a removal")
	require.Equal(t, 1, h.loggedLeaving)
}

// Guards against requests to a dead upstream that the lagging list still names, and against an upstream that is never used
// again after failures.
func TestFailuresTakeOutOfUse(t *testing.T) {
	h := newHarness(t)
	h.list(1, listed("u", live))
	for _, outage := range []time.Duration{1, 2, 4, 8, 10, 10} {
		h.report(connector.EvidenceConnectFailed, connector.EvidenceConnectionLost)
		require.Equal(t, "out", h.state())
		h.advance(outage*time.Second - time.Millisecond)
		require.Equal(t, "out", h.state(), "outage of %d s", outage)
		h.advance(time.Millisecond)
		require.Equal(t, "live", h.state(), "outage of %d s", outage)
	}
	h.report(connector.EvidenceResponded, connector.EvidenceConnectionLost)
	h.advance(time.Second)
	require.Equal(t, "live", h.state(), "a response resets the length of outages")
	h.report(connector.EvidenceConnectFailed)
	h.list(2, listed("u", live))
	require.Equal(t, "live", h.state(), "a newer list ends the outage")
	h.report(connector.EvidenceConnectFailed)
	h.list(2, listed("u", live))
	require.Equal(t, "out", h.state(), "the same list does not")
}

// Guards against a full engine that counts as leaving, and against an upstream that counts as leaving after a single refusal
// or for ever.
func TestRefusals(t *testing.T) {
	h := newHarness(t)
	h.list(1, listed("u", live))
	h.report(connector.EvidenceRefused, connector.EvidenceRefused, connector.EvidenceLeaving)
	require.Equal(t, "live", h.state())
	h.report(connector.EvidenceResponded, connector.EvidenceLeaving)
	require.Equal(t, "live", h.state(), "a response in between ends the sequence")
	h.report(connector.EvidenceLeaving)
	require.Equal(t, "leaving", h.state())
	h.advance(lister.DefaultLeavingHold)
	require.Equal(t, "live", h.state(), "the list never confirmed it")
}

// Guards against a stale replica of the platform that reverts the list, and against a restarted platform whose lists are
// never accepted because it counts revisions from the start again.
func TestLowerRevisions(t *testing.T) {
	h := newHarness(t)
	h.list(9, listed("u", live))
	h.list(1)
	h.list(1)
	require.Equal(t, "live", h.state())
	h.list(1)
	require.Equal(t, "out", h.state())
}

// Guards against losing the upstreams during an outage of the store, and against allocations in Pool, which runs for each
// attempt.
func TestDriverKeepsTheLastListDuringAnOutage(t *testing.T) {
	store := storekeeper.New()
	seed := codec.ListedHost{ID: "c1", Address: "a:2", Pool: lister.CelerygapPool, State: live}
	store.SetHosts([]codec.ListedHost{listed("u", live), seed})
	clock := timer.New(timer.Config{})
	driver := lister.NewDriver(lister.DriverConfig{Store: store, Timer: clock, PollInterval: 10 * time.Millisecond})
	ctx, cancel := context.WithCancel(t.Context())
	group := grouper.NewGroup(2)
	defer group.Wait()
	defer cancel()
	group.Go(func() { _ = clock.Run(ctx) })
	group.Go(func() { _ = driver.Run(ctx) })
	<-driver.Ready()
	require.Len(t, driver.Seeds(), 1)
	store.SetFaults(storekeeper.Faults{Down: true})
	time.Sleep(50 * time.Millisecond)
	require.Len(t, driver.Pool("pool"), 1)
	driver.Report("u", connector.EvidenceConnectFailed)
	require.Eventually(t, func() bool { return len(driver.Pool("pool")) == 0 }, time.Second, time.Millisecond)
	allocations := testing.AllocsPerRun(100, func() { driver.Pool("pool") })
	require.Zero(t, allocations)
}
