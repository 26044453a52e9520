package measurer

import (
	"time"

	"celerygap.example/lib/codec"
	"celerygap.example/lib/identifier"
	"celerygap.example/service/deliverer"
	"celerygap.example/service/scheduler"
)

// synchronous is the baseline policy: it generates a complete step, delivers it in one page, and starts nothing ahead.
type synchronous struct {
	maxRunning int
	pages      *deliverer.Deliverer
	running    int
	steps      map[identifier.EntryName]*synchronousStep
}

// synchronousStep is the current step of a trainer.
type synchronousStep struct {
	declaration codec.StepDeclaration
	// pending are the slots to start; attempts and samples are by slot.
	pending  []int
	attempts map[int]int
	samples  map[int]*codec.Sample
	// request is the page request that waits for the step to be complete, or nil.
	request *scheduler.PageRequested
}

func newSynchronous(maxRunning int) *synchronous {
	return &synchronous{
		maxRunning: maxRunning,
		pages:      deliverer.New(deliverer.Config{MaxSamples: deliverer.MaxSlots, MaxBytes: 1 << 30}),
		steps:      make(map[identifier.EntryName]*synchronousStep),
	}
}

// Handle applies one event and returns the commands that follow from it.
func (s *synchronous) Handle(now time.Time, event scheduler.Event) []scheduler.Command {
	switch e := event.(type) {
	case scheduler.StepDeclared:
		s.declare(e)
	case scheduler.Generated:
		s.running--
		st := s.steps[e.Ref.Trainer]
		e.Sample.Group = e.Ref.Slot / st.declaration.GroupSize
		e.Sample.Index = e.Ref.Slot % st.declaration.GroupSize
		st.samples[e.Ref.Slot] = &e.Sample
		return append(s.fill(), st.reply(now, s.pages, e.Ref.Trainer)...)
	case scheduler.GenerationFailed:
		s.running--
		st := s.steps[e.Ref.Trainer]
		st.pending = append(st.pending, e.Ref.Slot)
	case scheduler.PageRequested:
		st := s.steps[e.Trainer]
		st.request = &e
		return st.reply(now, s.pages, e.Trainer)
	case scheduler.ChunkArrived:
		return nil
	}
	return s.fill()
}

func (s *synchronous) declare(e scheduler.StepDeclared) {
	total := len(e.Declaration.Prompts) * e.Declaration.GroupSize
	st := &synchronousStep{
		declaration: e.Declaration, attempts: make(map[int]int), samples: make(map[int]*codec.Sample),
	}
	for slot := range total {
		st.pending = append(st.pending, slot)
	}
	s.steps[e.Trainer] = st
}

// fill starts pending slots of all trainers in turn until maxRunning attempts run.
func (s *synchronous) fill() []scheduler.Command {
	var commands []scheduler.Command
	for started := true; started; {
		started = false
		for _, name := range sortedNames(s.steps) {
			st := s.steps[name]
			if len(st.pending) == 0 || s.running >= s.maxRunning {
				continue
			}
			commands = append(commands, st.start(name))
			s.running++
			started = true
		}
	}
	return commands
}

func (st *synchronousStep) start(name identifier.EntryName) scheduler.Command {
	slot := st.pending[0]
	st.pending = st.pending[1:]
	st.attempts[slot]++
	start := scheduler.StartGeneration{
		Ref: scheduler.Ref{Trainer: name, Step: st.declaration.Step, Slot: slot, Attempt: st.attempts[slot]},
	}
	start.Request.Seed = int64(slot)
	start.Request.MinVersion = st.declaration.WeightVersion
	return start
}

// reply responds to the waiting page request once all samples of the step are generated.
func (st *synchronousStep) reply(now time.Time, pages *deliverer.Deliverer, name identifier.EntryName) []scheduler.Command {
	total := len(st.declaration.Prompts) * st.declaration.GroupSize
	if st.request == nil || len(st.samples) < total {
		return nil
	}
	request := deliverer.PageRequested{
		Trainer: name, Cursor: deliverer.NewCursor(st.declaration.Step, total), Version: st.request.Version,
	}
	for slot := range total {
		request.Candidates = append(request.Candidates, deliverer.Candidate{Slot: slot, Sample: st.samples[slot]})
	}
	built := pages.Handle(now, request)[0].(deliverer.PageBuilt)
	reply := scheduler.ReplyPage{ID: st.request.ID, Trainer: name, Page: built.Page}
	st.request = nil
	return []scheduler.Command{reply}
}
