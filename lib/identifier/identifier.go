package identifier

import (
	"fmt"
	"time"
)

type (
	// HostID identifies one process of the service.
	HostID string
	// Zone names an availability zone.
	Zone string
	// Region names a region, which holds one or more availability zones.
	Region string
	// EntryName names a catalogue entry.
	EntryName string
	// PoolName names a set of interchangeable upstreams.
	PoolName string
	// UpstreamID identifies one engine or one instance of a plain service.
	UpstreamID string
	// ModelName names a model that engines load.
	ModelName string
	// AttemptID identifies one attempt to run a request on one upstream.
	AttemptID string
	// EditID identifies one catalogue edit, so that a repeated submission is recognised.
	EditID string
	// SoftwareVersion names the version of an upstream's software. Texts of engines of two versions do not fit together.
	SoftwareVersion string
	// StreamID identifies a stream over all attempts of its caller: it is the id of the attempt that brought the first event.
	StreamID string
	// CustomerName names a customer, which owns keys and batch jobs.
	CustomerName string
	// APIKey is a secret with which callers show that they belong to a customer; it is never logged, stored or passed on.
	APIKey string
	// UsageWindow numbers the windows for which usage is reported: window k begins k window lengths after the Unix epoch.
	UsageWindow int64
	// Fingerprint is a digest of the body of a request; it does not depend on ids that the caller chose.
	Fingerprint string
	// Revision numbers accepted catalogues; it grows by one with each accepted edit.
	Revision int64
	// WeightVersion numbers the weights of one model.
	WeightVersion int64
	// StepNumber numbers the training steps of one trainer.
	StepNumber int64
	// Fencing is the fencing token of a lease; each new holder gets a higher one.
	Fencing int64
	// Incarnation orders the statements of hosts about one host: a higher one is newer. Only that host raises it.
	Incarnation int64
	// BatchID identifies one batch job; its caller chooses it.
	BatchID string
	// ItemID identifies one item of a batch job.
	ItemID string
	// GroupID names the items of a batch job that share a prompt.
	GroupID string
	// EventNumber numbers the events of one generated text, starting at one.
	EventNumber int64
	// Tokens counts tokens.
	Tokens int64
	// Bytes counts bytes.
	Bytes int64
)

// Duration is a time span that is written as text, such as "250ms", in JSON and YAML.
type Duration time.Duration

// DurationError reports a text that is not a duration.
type DurationError struct {
	Text string
}

// Error quotes the text and names the accepted form.
func (e *DurationError) Error() string {
	return fmt.Sprintf("%q is not a duration; want a number with a unit, such as 250ms or 30s", e.Text)
}

// MarshalText writes the duration in the form of time.Duration.
func (d Duration) MarshalText() ([]byte, error) {
	return []byte(time.Duration(d).String()), nil
}

// UnmarshalText reads the form of time.ParseDuration.
func (d *Duration) UnmarshalText(text []byte) error {
	parsed, err := time.ParseDuration(string(text))
	if err != nil {
		return &DurationError{Text: string(text)}
	}
	*d = Duration(parsed)
	return nil
}

// Std returns the duration as a time.Duration.
func (d Duration) Std() time.Duration { return time.Duration(d) }

// String returns a placeholder, so that no key is formatted into a log line or an error.
func (APIKey) String() string { return "(key)" }

// GoString returns the same placeholder as String.
func (APIKey) GoString() string { return "(key)" }
