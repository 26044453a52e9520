package connector

import (
	"context"

	"celerygap.example/lib/identifier"
)

// DutyOutcome is the result of a call that only the host with the duty makes.
type DutyOutcome string

// The outcomes of a duty call.
const (
	// DutyAccepted means that the platform carried out the call.
	DutyAccepted DutyOutcome = "accepted"
	// DutyRejected means that the platform refused the call with a conflict: it has seen a newer fencing token, or no engines are
	// available there at present.
	DutyRejected DutyOutcome = "rejected"
	// DutyThrottled means that all hosts together made too many calls; nothing was done.
	DutyThrottled DutyOutcome = "throttled"
	// DutyFailed means that the platform did nothing, for the reason given by the error.
	DutyFailed DutyOutcome = "failed"
	// DutyOutcomeUnknown means that no response arrived; the call may have been carried out or may still be.
	DutyOutcomeUnknown DutyOutcome = "unknown"
)

// DutyFence identifies the holder of a duty.
type DutyFence struct {
	Holder  identifier.HostID
	Fencing identifier.Fencing
}

// UsageReport holds the requests of each customer that began to run in one window.
type UsageReport struct {
	Window identifier.UsageWindow
	Counts map[identifier.CustomerName]int64
}

// EngineOrder orders a number of engines of one kind for a pool in an availability zone.
type EngineOrder struct {
	Pool        identifier.PoolName
	Zone        identifier.Zone
	Preemptible bool
	// Engines is the number of engines that there should be, not a change of it.
	Engines int
}

// DutyCalls is the client for the calls of the platform that one host at a time makes.
type DutyCalls interface {
	// ReportUsage reports the usage of one window; err is set unless the outcome is DutyAccepted.
	ReportUsage(ctx context.Context, fence DutyFence, report UsageReport) (DutyOutcome, error)
	// OrderEngines orders engines; err is set unless the outcome is DutyAccepted.
	OrderEngines(ctx context.Context, fence DutyFence, order EngineOrder) (DutyOutcome, error)
}
