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

// engineRun is a run and the engine that recorded it.
type engineRun struct {
	inferrer.Run
	engine string
}

// ledger gathers the upstreams' own records; those of engines outlive their processes.
type ledger struct {
	c *cluster

	mu   sync.Mutex
	runs map[identifier.AttemptID]engineRun
	// offsets is up to where each engine's record has been read.
	offsets map[string]int64
	// notRun holds what hosts refused as not run: prompts of completions, and bodies of plain calls.
	notRunPrompts map[string]string
	notRunBodies  map[string]string
	// marked is when an engine was published as leaving; it is removed when the engine starts again.
	marked map[string]time.Time
	// outages are the times in which the platform answered nothing; the last one may not have ended.
	outages []outage
}

// outage is a time in which the platform answered nothing; a zero end means that it lasts.
type outage struct{ from, to time.Time }

// listWindow is how long after a mark a host that reads the platform's list has seen it: the list's lag, the hosts' poll
// of 0.5 s and one answer of the slowed platform.
const listWindow = hostLag + 1500*time.Millisecond

// publishedAt returns when the mark could be learnt. An outage that begins before every host can have read the mark
// hides it, so P7 counts from the end of the outage (docs/proofs.md, traces b and c); a later one changes nothing.
func (l *ledger) publishedAt(marked time.Time) time.Time {
	for _, o := range l.outages {
		if o.from.Before(marked.Add(listWindow)) && (o.to.IsZero() || o.to.After(marked)) {
			marked = o.to
			if marked.IsZero() {
				return time.Now()
			}
		}
	}
	return marked
}

// setOutage notes that the platform stops or resumes answering.
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
		c: c, runs: make(map[identifier.AttemptID]engineRun), marked: make(map[string]time.Time),
		offsets: make(map[string]int64), notRunPrompts: make(map[string]string), notRunBodies: make(map[string]string),
	}
}

// read adds the record of one engine and checks P7 against it.
func (l *ledger) read(engine *process) {
	l.mu.Lock()
	defer l.mu.Unlock()
	marked, leaving := l.marked[engine.name]
	// A process that started after the mark, such as after a crash, has registered anew and is not leaving.
	leaving = leaving && engine.started().Before(marked)
	published := l.publishedAt(marked)
	runs, err := l.newRuns(engine.name)
	if err != nil {
		l.c.violate("read the record of %s: %v", engine.name, err)
	}
	for _, run := range runs {
		if _, known := l.runs[run.AttemptID]; !known && run.Started && leaving && run.StartedAt.Sub(published) > leaveBound {
			l.c.violate("P7: %s, marked leaving, started attempt %s %v after the mark, %v after it could be read",
				engine.name, run.AttemptID, run.StartedAt.Sub(marked), run.StartedAt.Sub(published))
		}
		if run.Started {
			l.runs[run.AttemptID] = engineRun{Run: run, engine: engine.name}
		}
	}
}

// newRuns returns the states that an engine has recorded since the last reading; the mutex must be held.
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

// mark notes that an engine's leaving was published now.
func (l *ledger) mark(engine *process) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.marked[engine.name] = time.Now()
}

func (l *ledger) unmark(engine *process) {
	l.mu.Lock()
	defer l.mu.Unlock()
	delete(l.marked, engine.name)
}

func (l *ledger) refusedPrompt(prompt, reason string) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.notRunPrompts[prompt] = reason
}

func (l *ledger) refusedBody(body, reason string) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.notRunBodies[body] = reason
}

// completions returns the runs of each completion.
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

// check compares the refusals as not run (P5) and the runs of each key (P6) with the records.
func (l *ledger) check() {
	l.readAll()
	runs := l.completions()
	record, err := l.plainRecord()
	if err != nil {
		l.c.violate("read the plain service's record: %v", err)
		return
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	for prompt, reason := range l.notRunPrompts {
		for _, run := range runs[prompt] {
			l.c.violate("P5: %q was refused as not run (%s), and ran on %s as %s", prompt, reason, run.engine, run.AttemptID)
		}
	}
	for body, reason := range l.notRunBodies {
		if n := record.Bodies[body]; n > 0 {
			l.c.violate("P5: body %q was refused as not run (%s) by every host, and ran %d times", body, reason, n)
		}
	}
	for body, n := range record.Bodies {
		if n > 1 {
			l.c.violate("P6: the non-idempotent body %q ran %d times", body, n)
		}
	}
	for key, n := range record.Keys {
		if n > 1 {
			l.c.violate("P6: the idempotency key %s ran %d times", key, n)
		}
	}
}
