package deliverer

import (
	"slices"
	"time"

	"celerygap.example/lib/asserter"
	"celerygap.example/lib/codec"
	"celerygap.example/lib/identifier"
	"celerygap.example/service/labeler"
)

// Event is an input of the state machine.
type Event interface{ isEvent() }

// Command is an output of the state machine.
type Command interface{ isCommand() }

// Candidate is a finished sample that may be delivered, and its slot.
type Candidate struct {
	Slot   int
	Sample *codec.Sample
}

// PageRequested requests the next page after a cursor.
type PageRequested struct {
	Trainer identifier.EntryName
	Cursor  Cursor
	// Version is the trainer's weight version at delivery.
	Version identifier.WeightVersion
	// Bound is the largest staleness that the trainer accepts, in weight versions.
	Bound int64
	// Candidates are the finished samples; earlier ones are preferred.
	Candidates []Candidate
}

// PageBuilt gives the page, the cursor after it, and the slots whose samples exceed the staleness bound.
type PageBuilt struct {
	Page   codec.SamplePage
	Next   Cursor
	TooOld []int
}

func (PageRequested) isEvent() {}
func (PageBuilt) isCommand()   {}

// Config limits the size of pages. A page has at least one sample if there is one to deliver, whatever its size.
type Config struct {
	MaxSamples int
	MaxBytes   identifier.Bytes
}

// Deliverer is the state machine that builds pages. It keeps no state between events.
type Deliverer struct {
	config Config
}

// New returns a Deliverer whose pages are limited by config.
func New(config Config) *Deliverer { return &Deliverer{config: config} }

// Handle applies one event. PageRequested results in exactly one PageBuilt.
func (d *Deliverer) Handle(_ time.Time, event Event) []Command {
	switch e := event.(type) {
	case PageRequested:
		return []Command{d.build(e)}
	}
	return nil
}

func (d *Deliverer) build(request PageRequested) PageBuilt {
	built := PageBuilt{Page: codec.SamplePage{Step: request.Cursor.Step, Samples: []codec.Sample{}}}
	var slots []int
	var size identifier.Bytes
	for _, candidate := range request.Candidates {
		if request.Cursor.Holds(candidate.Slot) || slices.Contains(slots, candidate.Slot) {
			continue
		}
		if labeler.Staleness(candidate.Sample.Segments, request.Version) > request.Bound {
			built.TooOld = append(built.TooOld, candidate.Slot)
			continue
		}
		size += SampleSize(candidate.Sample)
		if d.full(len(slots), size) {
			break
		}
		slots = append(slots, candidate.Slot)
		built.Page.Samples = append(built.Page.Samples, *candidate.Sample)
	}
	built.Next = request.Cursor.With(slots...)
	built.Page.NextCursor = built.Next.Encode(request.Trainer)
	built.Page.Held = request.Cursor.Held()
	built.Page.Total = request.Cursor.Total
	built.Page.Complete = built.Next.Complete()
	checkInvariants(request, built, slots)
	return built
}

// full reports whether a page with count samples has no room for another one, with which its size would be size. The first
// sample always fits, so that one above MaxBytes can be delivered.
func (d *Deliverer) full(count int, size identifier.Bytes) bool {
	return count > 0 && (count >= d.config.MaxSamples || size > d.config.MaxBytes)
}

// SampleSize returns the approximate size of a sample on the wire.
func SampleSize(sample *codec.Sample) identifier.Bytes {
	const (
		fixedBytes   = 160
		segmentBytes = 48
	)
	return identifier.Bytes(fixedBytes + len(sample.Text) + len(sample.Attempt) + segmentBytes*len(sample.Segments))
}

func checkInvariants(request PageRequested, built PageBuilt, slots []int) {
	seen := make(map[int]bool, len(slots))
	for i, slot := range slots {
		asserter.Check(asserter.SlotDeliveredOnce, !seen[slot] && !request.Cursor.Holds(slot),
			"trainer %s step %d slot %d is in the page twice or already held", request.Trainer, request.Cursor.Step, slot)
		seen[slot] = true
		staleness := labeler.Staleness(built.Page.Samples[i].Segments, request.Version)
		asserter.Check(asserter.StalenessWithinBound, staleness <= request.Bound,
			"trainer %s step %d slot %d has staleness %d, bound %d",
			request.Trainer, request.Cursor.Step, slot, staleness, request.Bound)
	}
}

// CompletePage returns the page after a cursor that holds all slots of its step: it has no samples and is complete.
func CompletePage(trainer identifier.EntryName, cursor Cursor) codec.SamplePage {
	return codec.SamplePage{
		Step:       cursor.Step,
		Samples:    []codec.Sample{},
		NextCursor: cursor.Encode(trainer),
		Held:       cursor.Held(),
		Total:      cursor.Total,
		Complete:   true,
	}
}
