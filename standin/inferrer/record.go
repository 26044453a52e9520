package inferrer

import (
	"encoding/json"
	"fmt"
	"slices"
	"time"

	"celerygap.example/lib/codec"
	"celerygap.example/lib/identifier"
)

// RunState is the progress of an attempt or the way in which it ended.
type RunState string

// The states of an attempt.
const (
	RunQueued       RunState = "queued"
	RunRunning      RunState = "running"
	RunFinished     RunState = "finished"
	RunCancelled    RunState = "cancelled"
	RunDisconnected RunState = "disconnected"
	RunTruncated    RunState = "truncated"
	RunCrashed      RunState = "crashed"
)

// Run records one attempt that the engine accepted; it ran only if Started is set.
type Run struct {
	AttemptID  identifier.AttemptID       `json:"attempt_id"`
	Model      identifier.ModelName       `json:"model"`
	Prompt     string                     `json:"prompt"`
	Seed       int64                      `json:"seed"`
	Priority   int                        `json:"priority"`
	State      RunState                   `json:"state"`
	Started    bool                       `json:"started"`
	StartedAt  time.Time                  `json:"started_at"`
	FirstToken identifier.Tokens          `json:"first_token"`
	Tokens     identifier.Tokens          `json:"tokens"`
	Versions   []identifier.WeightVersion `json:"versions"`

	save func(Run)
}

// Record lists the attempts that an engine accepted or refused and the orders that it received.
type Record struct {
	Runs     []Run                  `json:"runs"`
	Refused  []identifier.AttemptID `json:"refused"`
	Orders   []OrderRecord          `json:"orders"`
	Restarts int                    `json:"restarts"`
}

// OrderRecord is one order and its result.
type OrderRecord struct {
	Order  codec.Order       `json:"order"`
	Result codec.OrderResult `json:"result"`
}

// record keeps the latest runs, refusals and orders.
type record struct {
	// file, if set, receives a line with the state of a run at each change, before a caller sees that change, so that
	// the record survives the end of the process.
	file     *json.Encoder
	fileErr  error
	runs     []*Run
	refusals []identifier.AttemptID
	orders   []OrderRecord
}

func (r *record) addRun(s *stream) *Run {
	run := &Run{
		AttemptID: s.request.AttemptID, Model: s.request.Model, Prompt: s.request.Prompt, Seed: s.request.Seed,
		Priority: s.request.Priority, State: RunQueued, FirstToken: s.next, save: r.save,
	}
	r.save(*run)
	r.runs = appendLimited(r.runs, run)
	return run
}

func (r *record) save(run Run) {
	if r.file == nil || r.fileErr != nil {
		return
	}
	if err := r.file.Encode(run); err != nil {
		r.fileErr = fmt.Errorf("write the record of attempt %s: %w", run.AttemptID, err)
	}
}

func (r *record) addRefusal(attempt identifier.AttemptID) {
	r.refusals = appendLimited(r.refusals, attempt)
}

func (r *record) addOrder(order codec.Order, result codec.OrderResult) {
	r.orders = appendLimited(r.orders, OrderRecord{Order: order, Result: result})
}

// appendLimited appends an item; it first discards the older half of a list that has reached maxRecorded.
func appendLimited[T any](list []T, item T) []T {
	if len(list) >= maxRecorded {
		list = slices.Delete(list, 0, maxRecorded/2)
	}
	return append(list, item)
}

func (r *Run) start(now time.Time) {
	r.State = RunRunning
	r.Started = true
	r.StartedAt = now
	r.save(*r)
}

func (r *Run) addTokens(n identifier.Tokens, version identifier.WeightVersion) {
	r.Tokens += n
	if len(r.Versions) == 0 || r.Versions[len(r.Versions)-1] != version {
		r.Versions = append(r.Versions, version)
	}
	r.save(*r)
}

func (r *Run) end(state RunState) {
	r.State = state
	r.save(*r)
}

// Record returns a copy of the record.
func (e *Engine) Record() Record {
	e.mu.Lock()
	defer e.mu.Unlock()
	out := Record{
		Runs:     make([]Run, 0, len(e.record.runs)),
		Refused:  slices.Clone(e.record.refusals),
		Orders:   slices.Clone(e.record.orders),
		Restarts: e.restarts,
	}
	for _, run := range e.record.runs {
		copied := *run
		copied.Versions = slices.Clone(run.Versions)
		out.Runs = append(out.Runs, copied)
	}
	return out
}
