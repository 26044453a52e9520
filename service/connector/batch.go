package connector

import (
	"context"
	"time"

	"celerygap.example/lib/codec"
	"celerygap.example/lib/identifier"
)

// ItemRun asks an engine to generate the text of one item of a batch job, or what is missing of it.
type ItemRun struct {
	Upstream Upstream
	Item     *codec.BatchItem
	// Host is the name under which the job was submitted.
	Host string
	// After is the last event that is held; zero starts from the beginning.
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
	// FinishRuns makes running requests end under the version with which they began; otherwise they go on under the
	// new one.
	FinishRuns bool
	Holder     identifier.HostID
	Fencing    identifier.Fencing
	// AfterOrders is the number of orders that the engine must have accepted before, so that an order that is carried
	// out late cannot undo a newer one.
	AfterOrders int64
}

// EngineState is what an engine reports of itself; it lags.
type EngineState struct {
	// Orders is the number of orders that the engine has accepted since its start.
	Orders int64
	// Busy tells that an order is in progress.
	Busy   bool
	Models []codec.ModelState
}

// OrderOutcome says what became of an order.
type OrderOutcome string

// The outcomes of an order.
const (
	// OrderAccepted means that the engine carries the order out.
	OrderAccepted OrderOutcome = "accepted"
	// OrderHolds means that the engine is already in the ordered state.
	OrderHolds OrderOutcome = "holds"
	// OrderConflict means that another order is in progress or came before.
	OrderConflict OrderOutcome = "conflict"
	// OrderFenced means that a later holder has given orders.
	OrderFenced OrderOutcome = "fenced"
	// OrderRefused means that the engine can't carry the order out.
	OrderRefused OrderOutcome = "refused"
	// OrderOutcomeUnknown means that no response arrived; the order may be executed later.
	OrderOutcomeUnknown OrderOutcome = "unknown"
)

// WeightOrders is the client through which weights are changed.
type WeightOrders interface {
	// State returns the engine's report.
	State(ctx context.Context, upstream Upstream) (EngineState, error)
	// Order sends one order; err is set for OrderRefused and OrderOutcomeUnknown.
	Order(ctx context.Context, upstream Upstream, order WeightOrder) (OrderOutcome, error)
}

// BatchStatus is the answer to a submission.
type BatchStatus string

// The answers to a submission.
const (
	// BatchAccepted means that the job is stored and will be run.
	BatchAccepted BatchStatus = "accepted"
	// BatchRefused means that nothing of the job was stored or runs.
	BatchRefused BatchStatus = "refused"
	// BatchOutcomeUnknown means that the job may have been stored.
	BatchOutcomeUnknown BatchStatus = "uncertain"
)

// Batches accepts batch jobs and serves their results.
type Batches interface {
	// Submit stores a job; a repeated submission of the same job is accepted again.
	Submit(ctx context.Context, job codec.BatchJob) (BatchStatus, error)
	// Read returns results from a position on, waiting until there is one; ErrNotFound means that there is no such job.
	Read(ctx context.Context, id identifier.BatchID, after int, wait time.Duration) (codec.BatchPage, error)
	// Body returns the body of an item; ErrNotFound means that the job has no such item or has ended.
	Body(ctx context.Context, id identifier.BatchID, item identifier.ItemID) ([]byte, error)
	// End stops a job; it may be repeated.
	End(ctx context.Context, id identifier.BatchID) error
}
