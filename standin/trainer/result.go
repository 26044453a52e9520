package trainer

import (
	"celerygap.example/lib/codec"
	"celerygap.example/lib/identifier"
)

// Result summarizes what a trainer has received so far; each count that Faults sums up must stay zero.
type Result struct {
	Steps   int                      `json:"steps"`
	Samples int                      `json:"samples"`
	Version identifier.WeightVersion `json:"version"`
	// Idle is the time during which the trainer waited for samples.
	Idle identifier.Duration `json:"idle"`
	// Duplicates counts samples whose slot was already filled, Missing the slots without a sample in complete steps.
	Duplicates int `json:"duplicates"`
	Missing    int `json:"missing"`
	// Stale counts samples older than the staleness bound.
	Stale int `json:"stale"`
	// Invalid counts samples with a wrong step, slot, attempt, finish reason, token count, text length or segments.
	Invalid int `json:"invalid"`
	// CursorErrors counts pages whose step, total or count of samples already held differs from the trainer's.
	CursorErrors int `json:"cursor_errors"`
	// MaxStaleness and StalenessSum are the maximum and the sum of the staleness of all samples, in weight versions.
	MaxStaleness int64 `json:"max_staleness"`
	StalenessSum int64 `json:"staleness_sum"`
	// MixedVersions counts samples with more than one weight version.
	MixedVersions int    `json:"mixed_versions"`
	Retries       int    `json:"retries"`
	LastRetry     string `json:"last_retry,omitempty"`
}

// Faults returns the sum of all counts that must stay zero.
func (r Result) Faults() int { return r.Duplicates + r.Missing + r.Stale + r.Invalid + r.CursorErrors }

// Result returns a copy of the result so far.
func (t *Trainer) Result() Result {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.result
}

// slot is the position of one sample in a step.
type slot struct{ group, index int }

// receivedStep records which slots of one step the trainer has received.
type receivedStep struct {
	step   identifier.StepNumber
	config Config
	slots  map[slot]bool
}

func newReceivedStep(step identifier.StepNumber, config Config) *receivedStep {
	return &receivedStep{step: step, config: config, slots: make(map[slot]bool)}
}

// accept checks a page and adds its samples to the result; their staleness is relative to the trainer's current version.
func (r *receivedStep) accept(page codec.SamplePage, version identifier.WeightVersion, result *Result) {
	if page.Held != len(r.slots) || page.Step != r.step || page.Total != r.config.Groups*r.config.GroupSize {
		result.CursorErrors++
	}
	for _, sample := range page.Samples {
		r.acceptSample(sample, version, result)
	}
}

func (r *receivedStep) acceptSample(sample codec.Sample, version identifier.WeightVersion, result *Result) {
	if !r.valid(sample) {
		result.Invalid++
		return
	}
	place := slot{group: sample.Group, index: sample.Index}
	if r.slots[place] {
		result.Duplicates++
		return
	}
	r.slots[place] = true
	result.Samples++
	staleness := int64(version - oldestVersion(sample.Segments))
	if staleness > r.config.StalenessBound {
		result.Stale++
	}
	result.MaxStaleness = max(result.MaxStaleness, staleness)
	result.StalenessSum += staleness
	if len(sample.Segments) > 1 {
		result.MixedVersions++
	}
}

func (r *receivedStep) valid(sample codec.Sample) bool {
	inStep := sample.Step == r.step && sample.Attempt != "" &&
		sample.Group >= 0 && sample.Group < r.config.Groups &&
		sample.Index >= 0 && sample.Index < r.config.GroupSize
	finished := sample.FinishReason == codec.FinishReasonStop || sample.FinishReason == codec.FinishReasonLength
	sized := sample.Tokens > 0 && sample.Tokens <= r.config.MaxTokens
	if r.config.TokenBytes > 0 {
		sized = sized && len(sample.Text) == r.config.TokenBytes*int(sample.Tokens)
	}
	return inStep && finished && sized && validSegments(sample)
}

// validSegments reports whether the segments start at token 0, ascend, and lie within the sample.
func validSegments(sample codec.Sample) bool {
	if len(sample.Segments) == 0 || sample.Segments[0].FirstToken != 0 {
		return false
	}
	for i, segment := range sample.Segments[1:] {
		if segment.FirstToken <= sample.Segments[i].FirstToken || segment.FirstToken >= sample.Tokens {
			return false
		}
	}
	return true
}

func oldestVersion(segments []codec.Segment) identifier.WeightVersion {
	version := segments[0].WeightVersion
	for _, segment := range segments {
		version = min(version, segment.WeightVersion)
	}
	return version
}

// countMissing counts the slots that were not received; it is called when the service reports the step as complete.
func (r *receivedStep) countMissing(result *Result) {
	result.Missing += r.config.Groups*r.config.GroupSize - len(r.slots)
}
