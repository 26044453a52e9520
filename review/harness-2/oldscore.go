package main

import (
	"errors"
	"fmt"
	"net/http"
	"sync"
	"time"
)

// oldScore lets a trainer submit a group again that was not complete, under the same ids and with newer weights. A scorer sends a few of
// its answers twice, the second time where the next answer is expected.
func oldScore(d *deployment, trouble bool) (bool, error) {
	const (
		shortText, longText = 6, 200
		eventInterval       = 30 * time.Millisecond
	)
	type call struct {
		at   time.Time
		sent bool
	}
	var mu sync.Mutex
	// made holds when the last event of an item's text was made, by version.
	made := make(map[string]map[int64]time.Time)
	calls := make(map[string]call)
	answers, extras := make(map[string]int), make(map[string]int)
	garbler := ""
	generate := func(e *engine, x *exchange) bool {
		events := shortText
		if x.id[0] == 'l' {
			events = longText
		}
		version := e.version.Load()
		done := e.generate(x, events, eventInterval)
		mu.Lock()
		if done {
			if made[x.id] == nil {
				made[x.id] = make(map[int64]time.Time)
			}
			made[x.id][version] = time.Now()
		}
		mu.Unlock()
		if x.id[0] != 's' {
			d.printf("%s ran %s at version %d, answer sent whole: %t", e.id, x.id, version, done)
		}
		return done
	}
	score := func(e *engine, x *exchange) bool {
		mu.Lock()
		answers[e.id]++
		signature := fmt.Sprintf("%s.%s.%d", e.id, x.id, answers[e.id])
		calls[signature] = call{time.Now(), true}
		if garbler == "" && x.id[:7] == "score-q" {
			// The other scorer stays sound.
			garbler = e.id
		}
		again := trouble && e.id == garbler && x.id[:7] == "score-q" && float64(extras[e.id]+1) <= extraShare*float64(answers[e.id])
		if again {
			extras[e.id]++
		}
		mu.Unlock()
		headers := []string{"Server-Stamp: " + signature}
		if again {
			x.kept.extra = x.answerText(http.StatusOK, headers, "scored")
		}
		if x.id[:7] == "score-q" {
			d.printf("%s answered %s with %s, to come twice: %t", e.id, x.id, signature, again)
		}
		return x.write(http.StatusOK, headers, "scored")
	}
	for _, new := range []struct {
		id, service, model string
		serve              func(*engine, *exchange) bool
	}{{"i-1", "models", model, generate}, {"i-2", "models", model, generate}, {"a-1", "app", "", score}, {"a-2", "app", "", score}} {
		e, err := newEngine(new.id, new.service, new.model, new.serve)
		if err != nil {
			return false, err
		}
		d.engines = append(d.engines, e)
	}
	if err := d.start(3, configuration(3)); err != nil {
		return false, err
	}
	held := true
	version := 1
	for round := range 4 {
		// Sound items, so that the scorers give enough answers.
		var sound []item
		for i := range 80 {
			sound = append(sound, item{ID: fmt.Sprintf("s%d-%d", round, i), Group: fmt.Sprintf("%d%d", round, i/4)})
		}
		job := fmt.Sprintf("job%d", round)
		if !d.submitStep(job, version, version, sound, d.fronts...) || len(d.collect(job, len(sound), 15*time.Second, d.fronts...)) < len(sound) {
			return false, errors.New("the sound items were not done")
		}
		group := []item{{ID: fmt.Sprintf("q%d", round), Group: fmt.Sprintf("g%d", round)}, {ID: fmt.Sprintf("l%d", round), Group: fmt.Sprintf("g%d", round)}}
		if !d.submitStep(job+"a", version, version, group, d.fronts...) {
			return false, errors.New("a batch job was not accepted")
		}
		first := d.collect(job+"a", 1, 10*time.Second, d.fronts...)
		if len(first) != 1 || d.end(d.fronts[0], job+"a") != http.StatusOK {
			return false, errors.New("the first batch job with the group went wrong")
		}
		version++
		d.store.put("versions", model, map[string]any{"model": model, "version": version})
		d.printf("version %d is named", version)
		for end := time.Now().Add(8 * time.Second); time.Now().Before(end) && d.servedVersion() < int64(version); time.Sleep(50 * time.Millisecond) {
		}
		for _, e := range d.engines {
			d.store.put("servers", e.id, e.entry("ready"))
		}
		if !d.submitStep(job+"b", version, version, group, d.fronts...) {
			return false, errors.New("a batch job was not accepted")
		}
		second := d.collect(job+"b", 1, 10*time.Second, d.fronts...)
		d.end(d.fronts[0], job+"b")
		if len(second) != 1 {
			return false, errors.New("the second batch job with the group went wrong")
		}
		r := second[0]
		mu.Lock()
		scored, known := calls[r.Score]
		text := made[r.ID][int64(version)]
		mu.Unlock()
		d.printf("%s has the versions %v and the score %s; its text was made at %.3f, the call of that score came at %.3f", r.ID, r.Versions, r.Score,
			text.Sub(d.started).Seconds(), scored.at.Sub(d.started).Seconds())
		if !known || scored.at.Before(text) {
			d.printf("the score belongs to a call that came before the text was made")
			held = false
			break
		}
	}
	return held, nil
}

// servedVersion returns the lowest version that the model engines serve.
func (d *deployment) servedVersion() int64 {
	lowest := int64(1 << 62)
	for _, e := range d.engines {
		if e.model != "" {
			lowest = min(lowest, e.version.Load())
		}
	}
	return lowest
}
