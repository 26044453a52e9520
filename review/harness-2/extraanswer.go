package main

import (
	"errors"
	"fmt"
	"sync"
	"time"
)

const (
	// extraAttempts is max_attempts of the route, as in the small site.
	extraAttempts = 3
	// extraShare is the largest share of the answers of a garbling engine that come twice.
	extraShare = 0.03
	// failTime is how long an engine works on a run that it fails.
	failTime  = 260 * time.Millisecond
	textSize  = 6
	eventTime = 15 * time.Millisecond
)

// extraAnswer submits items whose first two runs fail with 500 and whose third succeeds. One of two engines sends a few of its
// answers twice, the second time where the next answer is expected.
func extraAnswer(d *deployment, trouble bool) (bool, error) {
	var mu sync.Mutex
	runs, failed := make(map[string]int), make(map[string]int)
	answers, extras := make(map[string]int), make(map[string]int)
	serve := func(e *engine, x *exchange) bool {
		mu.Lock()
		runs[x.id]++
		run := runs[x.id]
		fails := x.id[0] == 'f' && run < extraAttempts
		answers[e.id]++
		if fails {
			failed[x.id]++
		}
		again := trouble && e.id == "i-1" && fails && run == 1 && float64(extras[e.id]+1) <= extraShare*float64(answers[e.id])
		if again {
			extras[e.id]++
		}
		mu.Unlock()
		if !fails {
			done := e.generate(x, textSize, eventTime)
			d.printf("%s ran %s (run %d), answer 200 sent whole: %t", e.id, x.id, run, done)
			return done
		}
		time.Sleep(failTime)
		headers := []string{stamp(e, x.id)}
		if again {
			x.kept.extra = x.answerText(500, headers, "failed")
		}
		d.printf("%s ran %s (run %d), answer 500, to come twice: %t", e.id, x.id, run, again)
		return x.write(500, headers, "failed")
	}
	score := func(e *engine, x *exchange) bool { return x.write(200, []string{stamp(e, x.id)}, "scored") }
	for _, made := range []struct {
		id, service, model string
		serve              func(*engine, *exchange) bool
	}{{"i-1", "models", model, serve}, {"i-2", "models", model, serve}, {"i-3", "app", "", score}} {
		e, err := newEngine(made.id, made.service, made.model, made.serve)
		if err != nil {
			return false, err
		}
		d.engines = append(d.engines, e)
	}
	if err := d.start(3, configuration(extraAttempts)); err != nil {
		return false, err
	}
	held := true
	for round := range 8 {
		// Sound items, so that the garbling engine gives enough answers.
		var items []item
		for i := range 80 {
			items = append(items, item{ID: fmt.Sprintf("s%d-%d", round, i), Group: fmt.Sprintf("%d%d", round, i/4)})
		}
		job := fmt.Sprintf("job%d", round)
		if !d.submit(job, items, d.fronts...) {
			return false, errors.New("a batch job was not accepted")
		}
		if results := d.collect(job, len(items), 15*time.Second, d.fronts...); len(results) < len(items) {
			return false, errors.New("the sound items were not done")
		}
		job += "f"
		id := fmt.Sprintf("f%d", round)
		if !d.submit(job, []item{{ID: id, Group: fmt.Sprintf("f%d", round)}}, d.fronts...) {
			return false, errors.New("a batch job was not accepted")
		}
		results := d.collect(job, 1, 10*time.Second, d.fronts...)
		mu.Lock()
		count, again := failed[id], extras["i-1"]
		mu.Unlock()
		if len(results) == 1 && results[0].State == "dead" && count < extraAttempts {
			d.printf("item %s is dead after %d answers of 500; max_attempts is %d; answers that came twice: %d", id, count, extraAttempts, again)
			held = false
			break
		}
	}
	return held, nil
}
