package connector

import (
	"context"
	"time"

	"celerygap.example/lib/codec"
	"celerygap.example/lib/identifier"
)

// ItemRun is a request to an engine for the text of one item of a batch job, or for its events after a known one.
type ItemRun struct {
	Upstream Upstream
	Item     *codec.BatchItem
	// Host is the Host header with which the job was submitted; the request to the engine has the same.
	Host string
	// Customer owns the job; empty if there is none. KeysRequired is set if customers have keys, so that none may reach the engine
	// in a header of the item.
	Customer     identifier.CustomerName
	KeysRequired bool
	// Priority is that of the customer; nil if it has none. Zero is the highest.
	Priority *int
	// After is the number of the last event received so far; zero starts from the beginning.
	After identifier.EventNumber
	// OnEvent receives each event in order; an error ends the run.
	OnEvent func(RunEvent) error
}

// RunEvent is one event of a generated text.
type RunEvent struct {
	Number identifier.EventNumber
	Data   string
	// Version is the weight version that produced the event.
	Version identifier.WeightVersion
}

// ItemRunner runs items on engines.
type ItemRunner interface {
	// Run returns nil once the text is complete; its errors are *UpstreamError, and it ends with ctx.
	Run(ctx context.Context, run ItemRun) error
}

// WeightOrder makes an engine serve a version of a model.
type WeightOrder struct {
	Model   identifier.ModelName
	Version identifier.WeightVersion
	// FinishRuns lets running requests finish under the version with which they began; otherwise they continue under
	// the new one.
	FinishRuns bool
	Holder     identifier.HostID
	Fencing    identifier.Fencing
	// AfterOrders is the number of orders that the engine must have accepted before this one, so that a delayed order
	// cannot undo a newer one.
	AfterOrders int64
}

// EngineState is an engine's report of its own state, which may be outdated when it arrives.
type EngineState struct {
	// Orders is the number of orders that the engine has accepted since its start.
	Orders int64
	// Busy is set while an order is in progress.
	Busy   bool
	Models []codec.ModelState
	// StartedAt is the start of the engine's process; zero if the report does not state it.
	StartedAt time.Time
}

// OrderOutcome is the result of sending an order to an engine.
type OrderOutcome string

// The outcomes of an order.
const (
	// OrderAccepted means that the engine accepted the order and is executing it.
	OrderAccepted OrderOutcome = "accepted"
	// OrderAlreadyApplied means that the engine is already in the ordered state.
	OrderAlreadyApplied OrderOutcome = "holds"
	// OrderConflict means that another order is in progress or was accepted first.
	OrderConflict OrderOutcome = "conflict"
	// OrderFenced means that the engine has accepted an order with a newer fencing token.
	OrderFenced OrderOutcome = "fenced"
	// OrderRefused means that the engine did not accept the order, for the reason given by the error.
	OrderRefused OrderOutcome = "refused"
	// OrderOutcomeUnknown means that no response arrived; the order may have taken effect or may still do so.
	OrderOutcomeUnknown OrderOutcome = "unknown"
)

// WeightOrders is the client for the orders that change the weights of engines.
type WeightOrders interface {
	// State returns the engine's report.
	State(ctx context.Context, upstream Upstream) (EngineState, error)
	// Order sends one order; err is set for OrderRefused and OrderOutcomeUnknown.
	Order(ctx context.Context, upstream Upstream, order WeightOrder) (OrderOutcome, error)
}

// BatchStatus is the result of submitting a batch job.
type BatchStatus string

// The results of a submission.
const (
	// BatchAccepted means that the job is stored and will be run.
	BatchAccepted BatchStatus = "accepted"
	// BatchIDTaken means that the id denotes a job of another customer, so nothing was stored or started.
	BatchIDTaken BatchStatus = "id_taken"
	// BatchRefused means that the job was neither stored nor started.
	BatchRefused BatchStatus = "refused"
	// BatchOutcomeUnknown means that the job may have been stored.
	BatchOutcomeUnknown BatchStatus = "uncertain"
)

// Batches accepts batch jobs and serves their results.
type Batches interface {
	// Submit stores a job; a repeated submission of the same job is accepted again.
	Submit(ctx context.Context, job codec.BatchJob) (BatchStatus, error)
	// CheckCustomer returns ErrNotFound if there is no such job or if it belongs to another customer. A job without a customer is
	// open to each of them.
	CheckCustomer(ctx context.Context, id identifier.BatchID, customer identifier.CustomerName) error
	// Read returns the results from position after on. If there is none yet, it waits for one, at most for the given
	// time. ErrNotFound means that there is no such job.
	Read(ctx context.Context, id identifier.BatchID, after int, wait time.Duration) (codec.BatchPage, error)
	// Body returns the body of an item; ErrNotFound means that the job has no such item or has ended.
	Body(ctx context.Context, id identifier.BatchID, item identifier.ItemID) ([]byte, error)
	// End stops a job; repeating the call is harmless. After ErrOutcomeUnknown the job may have been stopped, after any other
	// error it was not.
	End(ctx context.Context, id identifier.BatchID) error
}
