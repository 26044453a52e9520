package soak

import (
	"bytes"
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"math/rand/v2"
	"net/http"
	"net/url"
	"strconv"
	"sync/atomic"
	"time"

	"celerygap.example/lib/codec"
	"celerygap.example/lib/identifier"
)

const (
	trainerName    = "assistant-trainer"
	stalenessBound = 2
	pageWait       = 500 * time.Millisecond
	weightBytes    = 4 << 10
)

// trainer is a trainer that sends each call to a random host, discards a share of the pages, checks P2 and P3, and
// keeps all samples for the comparison with the engines' records.
type trainer struct {
	c         *cluster
	groups    int
	groupSize int
	tokens    identifier.Tokens
	rng       *rand.Rand
	// loss is the share of the received pages that the trainer discards as if they were lost.
	loss float64
	// trainTime is the pause after each announcement of weights.
	trainTime time.Duration
	// version is the last announced weight version, declared the last declared step.
	version  identifier.WeightVersion
	declared identifier.StepNumber
	known    map[identifier.StepNumber]codec.StepDeclaration

	samples []receivedSample
	steps   int
	// progress is the same as steps, for concurrent readers.
	progress  atomic.Int64
	lostPages int
	staleness [stalenessBound + 1]int
}

// receivedSample is a sample with the prompt of its group.
type receivedSample struct {
	codec.Sample
	prompt string
}

func newTrainer(c *cluster, seed uint64, groups, groupSize int, tokens identifier.Tokens, loss float64) *trainer {
	return &trainer{
		c: c, groups: groups, groupSize: groupSize, tokens: tokens, loss: loss, version: 1,
		rng: rand.New(rand.NewPCG(seed, 1)), known: make(map[identifier.StepNumber]codec.StepDeclaration),
	}
}

// run trains until the context ends or the given number of steps is done; zero means no limit.
func (t *trainer) run(ctx context.Context, steps int) {
	for step := identifier.StepNumber(1); (steps == 0 || int(step) <= steps) && ctx.Err() == nil; step++ {
		last := step + stalenessBound
		if steps > 0 {
			last = min(last, identifier.StepNumber(steps))
		}
		for t.declared < last && ctx.Err() == nil {
			t.declare(ctx, t.declared+1)
		}
		if !t.readStep(ctx, step) {
			return
		}
		t.steps++
		t.progress.Add(1)
		t.announce(ctx, t.version+1)
		pause(ctx, t.trainTime)
	}
}

func (t *trainer) declare(ctx context.Context, step identifier.StepNumber) {
	if _, ok := t.known[step]; !ok {
		prompts := make([]string, t.groups)
		for group := range prompts {
			prompts[group] = fmt.Sprintf("train step %d group %d", step, group)
		}
		t.known[step] = codec.StepDeclaration{
			Step: step, GroupSize: t.groupSize, MaxTokens: t.tokens, Prompts: prompts, WeightVersion: t.version,
		}
	}
	body, err := json.Marshal(t.known[step])
	if err != nil {
		t.c.recordViolation("encode declaration: %v", err)
		return
	}
	if _, err := t.callAnyHost(ctx, http.MethodPut, t.path(step), body); err == nil {
		t.declared = max(t.declared, step)
	}
}

func (t *trainer) path(step identifier.StepNumber) string {
	return fmt.Sprintf("/v1/trainers/%s/steps/%d", trainerName, step)
}

func (t *trainer) announce(ctx context.Context, version identifier.WeightVersion) {
	weights := t.c.platform.url() + "/weights/" + modelName + "/" + strconv.FormatInt(int64(version), 10)
	for ctx.Err() == nil {
		if _, err := t.c.call(http.MethodPut, weights, make([]byte, weightBytes)); err == nil {
			break
		}
		pause(ctx, 100*time.Millisecond)
	}
	if _, err := t.callAnyHost(ctx, http.MethodPut, fmt.Sprintf("/v1/trainers/%s/weights/%d", trainerName, version), nil); err == nil {
		t.version = version
	}
}

// statusError is a refusal by the service that a retry would not change.
type statusError struct {
	status int
	body   string
}

// Error returns the status and the body.
func (e *statusError) Error() string { return fmt.Sprintf("status %d: %s", e.status, e.body) }

// callAnyHost sends a call to one random host after the other until one gives a final response. A final refusal
// violates P3, except for a step that a host does not know.
func (t *trainer) callAnyHost(ctx context.Context, method, path string, body []byte) ([]byte, error) {
	for {
		if ctx.Err() != nil {
			return nil, ctx.Err()
		}
		host := t.c.hosts[t.rng.IntN(len(t.c.hosts))]
		content, err := t.callHost(ctx, method, host.url()+path, body)
		var final *statusError
		if err == nil || errors.As(err, &final) {
			if final != nil && final.status != http.StatusNotFound {
				t.c.recordViolation("P3: %s %s at %s: %v", method, path, host.name, err)
				pause(ctx, 500*time.Millisecond)
			}
			return content, err
		}
		pause(ctx, 50*time.Millisecond)
	}
}

// callHost sends one call. Status 429 and those from 500 may succeed when retried; other refusals are a statusError.
func (t *trainer) callHost(ctx context.Context, method, address string, body []byte) ([]byte, error) {
	ctx, cancel := context.WithTimeout(ctx, 5*time.Second)
	defer cancel()
	request, err := http.NewRequestWithContext(ctx, method, address, bytes.NewReader(body))
	if err != nil {
		return nil, err
	}
	request.Header.Set("Content-Type", "application/json")
	response, err := t.c.http.Do(request)
	if err != nil {
		return nil, err
	}
	defer func() { _ = response.Body.Close() }()
	content, err := io.ReadAll(response.Body)
	switch status := response.StatusCode; {
	case err != nil:
		return nil, err
	case status < http.StatusMultipleChoices:
		return content, nil
	case status >= http.StatusInternalServerError || status == http.StatusTooManyRequests:
		return nil, fmt.Errorf("status %d", status)
	default:
		return nil, &statusError{status: status, body: string(content)}
	}
}

// readStep reads a step page by page and reports whether it was completed before the context ended.
func (t *trainer) readStep(ctx context.Context, step identifier.StepNumber) bool {
	received := make(map[[2]int]bool)
	cursor := ""
	for ctx.Err() == nil {
		query := url.Values{"cursor": {cursor}, "weight_version": {strconv.FormatInt(int64(t.version), 10)}, "wait": {pageWait.String()}}
		content, err := t.callAnyHost(ctx, http.MethodGet, t.path(step)+"/samples?"+query.Encode(), nil)
		if err != nil {
			// The host may have lost the declaration, so it is sent again; declaring is idempotent.
			t.declare(ctx, step)
			pause(ctx, 50*time.Millisecond)
			continue
		}
		if t.rng.Float64() < t.loss {
			t.lostPages++
			continue
		}
		var page codec.SamplePage
		if err := json.Unmarshal(content, &page); err != nil {
			t.c.recordViolation("P3: a page of step %d is not JSON: %v", step, err)
			continue
		}
		t.accept(step, page, received)
		cursor = page.NextCursor
		if page.Complete {
			if len(received) != t.groups*t.groupSize {
				t.c.recordViolation("P3: step %d is complete with %d of %d slots", step, len(received), t.groups*t.groupSize)
			}
			return true
		}
	}
	return false
}

func (t *trainer) accept(step identifier.StepNumber, page codec.SamplePage, received map[[2]int]bool) {
	if page.Held != len(received) || page.Total != t.groups*t.groupSize || page.Step != step {
		t.c.recordViolation("P3: a page of step %d reports %d of %d samples held for step %d; the trainer has %d", step, page.Held, page.Total, page.Step, len(received))
	}
	for _, sample := range page.Samples {
		slot := [2]int{sample.Group, sample.Index}
		if sample.Step != step || sample.Group < 0 || sample.Group >= t.groups || sample.Index < 0 || sample.Index >= t.groupSize {
			t.c.recordViolation("P3: a page of step %d has a sample of step %d, slot %v", step, sample.Step, slot)
			continue
		}
		if received[slot] {
			t.c.recordViolation("P3: step %d delivered slot %v twice", step, slot)
		}
		received[slot] = true
		t.checkStaleness(sample)
		t.samples = append(t.samples, receivedSample{Sample: sample, prompt: t.known[step].Prompts[sample.Group]})
	}
}

func (t *trainer) checkStaleness(sample codec.Sample) {
	if len(sample.Segments) == 0 {
		t.c.recordViolation("P1: a sample of step %d has no segment with a weight version", sample.Step)
		return
	}
	age := t.version - oldestVersion(sample.Segments)
	if age > stalenessBound {
		t.c.recordViolation("P2: a sample of step %d is %d versions old", sample.Step, age)
		return
	}
	t.staleness[max(0, age)]++
}

func oldestVersion(segments []codec.Segment) identifier.WeightVersion {
	version := segments[0].WeightVersion
	for _, segment := range segments {
		version = min(version, segment.WeightVersion)
	}
	return version
}

func pause(ctx context.Context, d time.Duration) {
	select {
	case <-ctx.Done():
	case <-time.After(d):
	}
}
