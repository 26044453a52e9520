package trainer

import (
	"celerygap.example/lib/codec"
	"celerygap.example/lib/identifier"
)

// Result is what a trainer has received so far; all counts of faults must stay zero.
type Result struct {
	Steps   int                      `json:"steps"`
	Samples int                      `json:"samples"`
	Version identifier.WeightVersion `json:"version"`
	// Idle is the time during which the trainer waited for samples.
	Idle identifier.Duration `json:"idle"`
	// Duplicates counts slots received a second time, Missing slots absent from a complete step.
	Duplicates int `json:"duplicates"`
	Missing    int `json:"missing"`
	// Stale counts samples beyond the staleness bound.
	Stale int `json:"stale"`
	// Invalid counts samples whose step, slot, segments or text are wrong.
	Invalid int `json:"invalid"`
	// CursorErrors counts pages whose held count differs from what the trainer holds.
	CursorErrors int `json:"cursor_errors"`
	// MaxStaleness and StalenessSum are in versions, over all samples.
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

// slot is the place of one sample in a step.
type slot struct{ group, index int }

// heldStep is what the trainer holds of one step.
type heldStep struct {
	step   identifier.StepNumber
	config Config
	slots  map[slot]bool
}

func newHeldStep(step identifier.StepNumber, config Config) *heldStep {
	return &heldStep{step: step, config: config, slots: make(map[slot]bool)}
}

// accept checks a page and its samples against the trainer's current version.
func (h *heldStep) accept(page codec.SamplePage, version identifier.WeightVersion, result *Result) {
	if page.Held != len(h.slots) || page.Step != h.step || page.Total != h.config.Groups*h.config.GroupSize {
		result.CursorErrors++
	}
	for _, sample := range page.Samples {
		h.acceptSample(sample, version, result)
	}
}

func (h *heldStep) acceptSample(sample codec.Sample, version identifier.WeightVersion, result *Result) {
	if !h.valid(sample) {
		result.Invalid++
		return
	}
	place := slot{group: sample.Group, index: sample.Index}
	if h.slots[place] {
		result.Duplicates++
		return
	}
	h.slots[place] = true
	result.Samples++
	staleness := int64(version - oldest(sample.Segments))
	if staleness > h.config.StalenessBound {
		result.Stale++
	}
	result.MaxStaleness = max(result.MaxStaleness, staleness)
	result.StalenessSum += staleness
	if len(sample.Segments) > 1 {
		result.MixedVersions++
	}
}

func (h *heldStep) valid(sample codec.Sample) bool {
	inStep := sample.Step == h.step && sample.Attempt != "" &&
		sample.Group >= 0 && sample.Group < h.config.Groups &&
		sample.Index >= 0 && sample.Index < h.config.GroupSize
	finished := sample.FinishReason == codec.FinishReasonStop || sample.FinishReason == codec.FinishReasonLength
	sized := sample.Tokens > 0 && sample.Tokens <= h.config.MaxTokens
	if h.config.TokenBytes > 0 {
		sized = sized && len(sample.Text) == h.config.TokenBytes*int(sample.Tokens)
	}
	return inStep && finished && sized && validSegments(sample)
}

// validSegments reports whether segments start at token 0, ascend, and lie within the sample.
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

func oldest(segments []codec.Segment) identifier.WeightVersion {
	version := segments[0].WeightVersion
	for _, segment := range segments {
		version = min(version, segment.WeightVersion)
	}
	return version
}

// complete counts the slots that a complete step lacks.
func (h *heldStep) complete(result *Result) {
	result.Missing += h.config.Groups*h.config.GroupSize - len(h.slots)
}
