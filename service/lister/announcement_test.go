package lister_test

import (
	"testing"
	"time"

	"celerygap.example/lib/codec"
	"celerygap.example/service/connector"

	"github.com/stretchr/testify/require"
)

func startedAt(listed codec.ListedHost, start time.Time) codec.ListedHost {
	listed.StartedAt = start
	return listed
}

// Guards against new work for an upstream that states in its responses that it is leaving while its list entry never says
// so: neither good responses, nor later lists, nor a lapse of its entry during an outage of the store end that state.
func TestAnnouncedLeavingOutlastsTheList(t *testing.T) {
	h := newHarness(t)
	entry := startedAt(listed("u", live), h.now)
	h.list(1, entry)
	require.Equal(t, "live", h.state())
	h.report(connector.EvidenceAnnouncedLeaving)
	require.Equal(t, "leaving", h.state())
	require.Equal(t, 1, h.loggedLeaving)
	h.report(connector.EvidenceResponded, connector.EvidenceRefused)
	h.advance(time.Hour)
	h.list(2, entry)
	require.Equal(t, "leaving", h.state())
	h.list(3)
	require.Equal(t, "out", h.state())
	h.advance(time.Minute)
	h.list(4, entry)
	require.Equal(t, "leaving", h.state())
}

// Guards against an upstream that stays unused after it has started again under its id, and against memory that grows with
// the upstreams that have left.
func TestAnnouncementHoldsForOneProcess(t *testing.T) {
	h := newHarness(t)
	h.list(1, startedAt(listed("u", live), h.now))
	h.report(connector.EvidenceAnnouncedLeaving)
	h.list(2, startedAt(listed("u", live), h.now.Add(time.Second)))
	require.Equal(t, "live", h.state())
	h.report(connector.EvidenceAnnouncedLeaving)
	h.list(3)
	h.advance(10 * time.Minute)
	h.list(4, startedAt(listed("u", live), h.now.Add(time.Second)))
	require.Equal(t, "live", h.state())
}

// Guards against new work for an upstream whose statement arrives while its entry is missing: the entry of the same process
// may come back, and the entry of a later process is another matter.
func TestAnnouncementOfUnlistedUpstream(t *testing.T) {
	h := newHarness(t)
	started := h.now
	h.advance(time.Minute)
	h.report(connector.EvidenceAnnouncedLeaving)
	h.list(1, startedAt(listed("u", live), started))
	require.Equal(t, "leaving", h.state())
	h.list(2, startedAt(listed("u", live), h.now.Add(time.Second)))
	require.Equal(t, "live", h.state())
}

// Guards against new work for an upstream that restarted under its id, and whose new process announced that it is leaving
// while the list still had the entry of the former one.
func TestLeavingIsKeptWhenTheEntryOfTheAnnouncingProcessArrivesLate(t *testing.T) {
	h := newHarness(t)
	h.list(1, startedAt(listed("u", live), h.now))
	h.advance(10 * time.Second)
	restarted := h.now
	h.advance(time.Second)
	h.report(connector.EvidenceAnnouncedLeaving)
	require.Equal(t, "leaving", h.state())
	h.advance(time.Second)
	h.list(2, startedAt(listed("u", live), restarted))
	require.Equal(t, "leaving", h.state())
}

// Guards against new work for a leaving upstream after a late write of its former process has replaced its entry for a while.
func TestLeavingIsKeptWhenAnEntryOfAFormerProcessReturns(t *testing.T) {
	h := newHarness(t)
	former := h.now
	h.advance(10 * time.Second)
	current := h.now
	h.list(1, startedAt(listed("u", live), current))
	h.advance(time.Second)
	h.report(connector.EvidenceAnnouncedLeaving)
	h.list(2, startedAt(listed("u", live), former))
	require.Equal(t, "leaving", h.state())
	h.list(3, startedAt(listed("u", live), current))
	require.Equal(t, "leaving", h.state())
}

// Guards against an upstream that is never used again because its clock is behind: its new process appears to be older than the
// announcement of the former one.
func TestAnnouncementOfAProcessWithAnotherStartExpires(t *testing.T) {
	h := newHarness(t)
	h.list(1, startedAt(listed("u", live), h.now))
	h.advance(10 * time.Second)
	h.report(connector.EvidenceAnnouncedLeaving)
	entry := startedAt(listed("u", live), h.now.Add(-time.Second))
	h.list(2, entry)
	require.Equal(t, "leaving", h.state())
	h.advance(10 * time.Minute)
	h.list(3, entry)
	require.Equal(t, "live", h.state())
}
