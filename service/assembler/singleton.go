package assembler

import (
	"context"
	"time"

	"celerygap.example/lib/grouper"
	"celerygap.example/lib/identifier"
	"celerygap.example/service/accountant"
	"celerygap.example/service/chronometer"
	"celerygap.example/service/leaseholder"
)

const (
	// dutiesLeaseKey is the store key of the lease whose holder makes the platform's duty calls, dutiesStandIn the peer method
	// that requests a host to stand in as its holder.
	dutiesLeaseKey = "leases/duties"
	dutiesStandIn  = "duties_stand_in"
	// dutiesKnown is the peer method by which a host tells that it does duties.
	dutiesKnown = "duties_known"
	// dutiesReach is the peer method that asks whether a host finds a connection to the platform's API for duties.
	dutiesReach = "duties_reach"
	// dutyCallDelay bounds the time from the check of the lease until a duty call takes effect: the call itself takes at most
	// 1.5 s, and one without a response may be executed a little later. A longer bound would make the successor of a killed
	// holder late for the report of a window.
	dutyCallDelay = 2500 * time.Millisecond
)

// singletons are the duties that one host at a time does; there are none unless the settings name the platform's API for them.
type singletons struct {
	holder     *leaseholder.Holder
	accountant *accountant.Driver
}

// buildSingletons builds the parts for the duties that the settings name.
func (h *Host) buildSingletons() {
	settings := h.config.Settings
	if settings.Duties == nil || h.config.Duties == nil {
		return
	}
	h.singletons.holder = leaseholder.New(leaseholder.Config{
		Key: dutiesLeaseKey, Method: dutiesStandIn, Store: h.config.Store, Members: h.prober, Peers: h.peers, Timer: h.timer, Log: h.log,
		Duration: settings.LeaseDuration, Fenced: settings.Fenced, CallDelay: dutyCallDelay,
		// The former holder's calls end within dutyCallDelay of its release, and two changes take longer than a lease.
		Quiet: max(dutyCallDelay, settings.LeaseDuration), Settled: h.settled,
		KnownMethod: dutiesKnown, ReachMethod: dutiesReach, CanReach: h.reachesDuties,
	})
	if !settings.Duties.Usage || settings.Duties.UsageWindow <= 0 {
		return
	}
	clock := chronometer.New()
	h.singletons.accountant = accountant.NewDriver(accountant.DriverConfig{
		LeaseKey: dutiesLeaseKey, Lease: h.singletons.holder, Fenced: settings.Fenced, Members: h.prober, Peers: h.peers,
		Store: h.config.Store, Calls: h.config.Duties, Clock: clock.Now, Timer: h.timer, Log: h.log, Meter: h.config.Meter,
		Window: settings.Duties.UsageWindow, Within: settings.Duties.UsageWithin,
		Process: identifier.Incarnation(h.timer.Now().UnixMilli()),
	})
}

// reachesDuties reports whether this host finds a connection to the platform's API for duties.
func (h *Host) reachesDuties(ctx context.Context) bool {
	conn, err := h.config.DialUpstream(ctx, "tcp", h.config.Settings.Duties.Address)
	if err != nil {
		return false
	}
	_ = conn.Close()
	return true
}

// onStarted returns the function that counts a request that an upstream began to run; nil if usage is not reported.
func (h *Host) onStarted() func(identifier.CustomerName, time.Time) {
	if h.singletons.accountant == nil {
		return nil
	}
	return h.singletons.accountant.Started
}

// singletonDuties returns the duties of the parts that were built.
func (h *Host) singletonDuties() []grouper.Duty {
	var duties []grouper.Duty
	if h.singletons.holder != nil {
		duties = append(duties, grouper.Duty{Name: "duties", Run: h.singletons.holder.Run})
	}
	if h.singletons.accountant != nil {
		duties = append(duties, grouper.Duty{Name: "accountant", Run: h.singletons.accountant.Run})
	}
	return duties
}

// releaseDuties releases the lease of the duties.
func (h *Host) releaseDuties(ctx context.Context) error {
	if h.singletons.holder == nil {
		return nil
	}
	return h.singletons.holder.Drain(ctx)
}

// sendLastCounts sends the counts of this host that other hosts do not have yet.
func (h *Host) sendLastCounts(ctx context.Context) error {
	if h.singletons.accountant == nil {
		return nil
	}
	return h.singletons.accountant.Flush(ctx)
}
