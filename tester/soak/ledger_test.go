package soak

import (
	"bytes"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"os"
	"sync"
	"time"

	"celerygap.example/lib/identifier"
	"celerygap.example/standin/inferrer"
	"celerygap.example/standin/responder"
)

// completionKey identifies the deterministic text of a completion.
type completionKey struct {
	prompt string
	seed   int64
}

// engineRun is a run and the name of the engine that recorded it.
type engineRun struct {
	inferrer.Run
	engine string
}

// ledger collects the records that the upstreams keep of their runs and compares them with what hosts reported to
// callers. The records of engines are files, which survive a kill of the engine.
type ledger struct {
	c *cluster

	mu sync.Mutex
	// runs are the started runs of the engines.
	runs map[identifier.AttemptID]engineRun
	// offsets has the number of bytes read from each engine's record file.
	offsets map[string]int64
	// notRunPrompts and notRunBodies have the prompts of completions and the bodies of orders that were refused as not
	// run, with the reason.
	notRunPrompts map[string]string
	notRunBodies  map[string]string
	// leavingSince is when each engine was marked as leaving; injectEngineFault removes the mark before it restarts the
	// engine.
	leavingSince map[string]time.Time
	// outages are the intervals in which the platform did not respond; the last one may not have ended.
	outages []outage
}

// outage is an interval in which the platform did not respond; to is zero while it lasts.
type outage struct{ from, to time.Time }

// leavingVisibleAfter is the time after a mark by which every host that reads the platform's list has seen it: the
// delay of the list, the hosts' poll interval of 0.5 s and 1 s for one response of a slow platform.
const leavingVisibleAfter = hostLag + 1500*time.Millisecond

// publishedAt returns the time from which P7 counts for a mark. An outage that begins before every host can have read
// the mark hides it, so P7 counts from the end of that outage, or from now while it lasts (docs/proofs.md, traces b and
// c). An outage that begins later changes nothing.
func (l *ledger) publishedAt(published time.Time) time.Time {
	for _, o := range l.outages {
		if o.from.Before(published.Add(leavingVisibleAfter)) && (o.to.IsZero() || o.to.After(published)) {
			published = o.to
			if published.IsZero() {
				return time.Now()
			}
		}
	}
	return published
}

// setOutage records that the platform stops or resumes responding.
func (l *ledger) setOutage(on bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	last := len(l.outages) - 1
	switch lasting := last >= 0 && l.outages[last].to.IsZero(); {
	case on && !lasting:
		l.outages = append(l.outages, outage{from: time.Now()})
	case !on && lasting:
		l.outages[last].to = time.Now()
	}
}

func newLedger(c *cluster) *ledger {
	return &ledger{
		c: c, runs: make(map[identifier.AttemptID]engineRun), leavingSince: make(map[string]time.Time),
		offsets: make(map[string]int64), notRunPrompts: make(map[string]string), notRunBodies: make(map[string]string),
	}
}

// read adds what one engine has recorded since the last reading and checks P7 for it.
func (l *ledger) read(engine *process) {
	l.mu.Lock()
	defer l.mu.Unlock()
	leavingSince, leaving := l.leavingSince[engine.name]
	// A process that started after the mark, for example after a crash, has registered again and is not leaving.
	leaving = leaving && engine.started().Before(leavingSince)
	published := l.publishedAt(leavingSince)
	runs, err := l.newRuns(engine.name)
	if err != nil {
		l.c.recordViolation("read the record of %s: %v", engine.name, err)
	}
	for _, run := range runs {
		if _, known := l.runs[run.AttemptID]; !known && run.Started && leaving && run.StartedAt.Sub(published) > leaveBound {
			l.c.recordViolation("P7: %s, marked as leaving, started attempt %s %v after the mark and %v after hosts could read the mark",
				engine.name, run.AttemptID, run.StartedAt.Sub(leavingSince), run.StartedAt.Sub(published))
		}
		if run.Started {
			l.runs[run.AttemptID] = engineRun{Run: run, engine: engine.name}
		}
	}
}

// newRuns returns the states of runs that an engine has recorded since the last reading, without an incomplete last
// line. The caller holds the mutex.
func (l *ledger) newRuns(engine string) ([]inferrer.Run, error) {
	file, err := os.Open(l.c.recordFile(engine))
	if err != nil {
		return nil, err
	}
	defer func() { _ = file.Close() }()
	if _, err := file.Seek(l.offsets[engine], io.SeekStart); err != nil {
		return nil, err
	}
	content, err := io.ReadAll(file)
	if err != nil {
		return nil, err
	}
	var runs []inferrer.Run
	for line := range bytes.Lines(content) {
		if !bytes.HasSuffix(line, []byte("\n")) {
			break
		}
		l.offsets[engine] += int64(len(line))
		var run inferrer.Run
		if err := json.Unmarshal(line, &run); err != nil {
			return runs, fmt.Errorf("line %q: %w", line, err)
		}
		runs = append(runs, run)
	}
	return runs, nil
}

func (l *ledger) readAll() {
	for _, engine := range l.c.engines {
		l.read(engine)
	}
}

// markLeaving records that an engine is marked as leaving from now on.
func (l *ledger) markLeaving(engine *process) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.leavingSince[engine.name] = time.Now()
}

func (l *ledger) unmarkLeaving(engine *process) {
	l.mu.Lock()
	defer l.mu.Unlock()
	delete(l.leavingSince, engine.name)
}

func (l *ledger) recordRefusedPrompt(prompt, reason string) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.notRunPrompts[prompt] = reason
}

func (l *ledger) recordRefusedBody(body, reason string) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.notRunBodies[body] = reason
}

// completions returns the runs of each completion by its prompt.
func (l *ledger) completions() map[string][]engineRun {
	l.mu.Lock()
	defer l.mu.Unlock()
	byPrompt := make(map[string][]engineRun)
	for _, run := range l.runs {
		byPrompt[run.Prompt] = append(byPrompt[run.Prompt], run)
	}
	return byPrompt
}

func (l *ledger) plainRecord() (responder.Record, error) {
	var record responder.Record
	content, err := l.c.call(http.MethodGet, l.c.plain.url()+"/admin/runs", nil)
	if err != nil {
		return record, err
	}
	return record, json.Unmarshal(content, &record)
}

// check compares the records with the refusals: nothing that was refused as not run may have run (P5), and each
// non-idempotent body and each idempotency key may have run at most once (P6).
func (l *ledger) check() {
	l.readAll()
	runs := l.completions()
	record, err := l.plainRecord()
	if err != nil {
		l.c.recordViolation("read the plain service's record: %v", err)
		return
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	for prompt, reason := range l.notRunPrompts {
		for _, run := range runs[prompt] {
			l.c.recordViolation("P5: %q was refused as not run (%s) but ran on %s as %s", prompt, reason, run.engine, run.AttemptID)
		}
	}
	for body, reason := range l.notRunBodies {
		if n := record.Bodies[body]; n > 0 {
			l.c.recordViolation("P5: body %q was refused as not run by every host (first reason: %s) but ran %d times", body, reason, n)
		}
	}
	for body, n := range record.Bodies {
		if n > 1 {
			l.c.recordViolation("P6: the non-idempotent body %q ran %d times", body, n)
		}
	}
	for key, n := range record.Keys {
		if n > 1 {
			l.c.recordViolation("P6: the idempotency key %s ran %d times", key, n)
		}
	}
}
