package soak

import (
	"bufio"
	"bytes"
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"net/http"
	"strings"
	"sync/atomic"
	"time"

	"celerygap.example/lib/codec"
	"celerygap.example/lib/identifier"
	"celerygap.example/standin/inferrer"
	"celerygap.example/standin/responder"
)

// callTimeout exceeds the longest deadline of the entries, 10 s, so that the service responds first.
const callTimeout = 15 * time.Second

// callResult is how a call ended for its caller.
type callResult struct {
	// complete is set for a complete response; otherwise text is the part of a stream that arrived.
	complete bool
	status   int
	text     string
	// reason and outcome are those of a refusal; err is a broken connection or an unreadable response.
	reason  string
	outcome codec.Outcome
	err     error
	header  http.Header
	took    time.Duration
}

func (r callResult) String() string {
	return fmt.Sprintf("complete=%t status=%d reason=%s outcome=%s err=%v after %v", r.complete, r.status, r.reason, r.outcome, r.err, r.took)
}

// tally counts calls by how they ended. refused includes those that were refused as not run.
type tally struct {
	calls, complete, refused, broken, notRun atomic.Int64
}

func (t *tally) add(result callResult) {
	t.calls.Add(1)
	switch {
	case result.complete:
		t.complete.Add(1)
	case result.reason != "":
		t.refused.Add(1)
	default:
		t.broken.Add(1)
	}
	if result.outcome == codec.OutcomeNotRun {
		t.notRun.Add(1)
	}
}

// String formats the counts for the test's log.
func (t *tally) String() string {
	return fmt.Sprintf("%d calls: %d complete, %d refused (%d as not run), %d broken connections",
		t.calls.Load(), t.complete.Load(), t.refused.Load(), t.notRun.Load(), t.broken.Load())
}

type completionCall struct {
	prompt string
	seed   int64
	tokens identifier.Tokens
	stream bool
}

func (q completionCall) expectedText() string {
	return inferrer.NewScript(q.prompt, q.seed).Text(0, q.tokens)
}

// complete sends one completion, checks its text (P4) and records a refusal as not run in the ledger for the check of
// P5. Prompts must be unique, since the ledger finds the runs of a completion by its prompt.
func (c *cluster) complete(host *process, q completionCall) callResult {
	result := c.sendCompletion(host, q)
	expected := q.expectedText()
	if result.complete && result.text != expected {
		c.recordViolation("P4: the complete response to %q from %s differs from its expected text: %d bytes, expected %d", q.prompt, host.name, len(result.text), len(expected))
	}
	if !result.complete && !strings.HasPrefix(expected, result.text) {
		c.recordViolation("P4: the incomplete response to %q from %s is not a prefix of its expected text", q.prompt, host.name)
	}
	if result.outcome == codec.OutcomeNotRun {
		c.ledger.recordRefusedPrompt(q.prompt, result.reason)
	}
	return result
}

func (c *cluster) sendCompletion(host *process, q completionCall) (result callResult) {
	defer c.recordCallEnd(host, time.Now(), &result)
	body, err := json.Marshal(map[string]any{
		"model": modelName, "prompt": q.prompt, "seed": q.seed, "max_tokens": q.tokens, "stream": q.stream,
	})
	if err != nil {
		return callResult{err: err}
	}
	ctx, cancel := context.WithTimeout(context.Background(), callTimeout)
	defer cancel()
	request, err := http.NewRequestWithContext(ctx, http.MethodPost, host.url()+"/v1/completions", bytes.NewReader(body))
	if err != nil {
		return callResult{err: err}
	}
	request.Header.Set("Content-Type", "application/json")
	response, err := c.http.Do(request)
	if err != nil {
		return callResult{err: err}
	}
	defer func() { _ = response.Body.Close() }()
	result = callResult{status: response.StatusCode, header: response.Header}
	if response.StatusCode != http.StatusOK {
		return result.readProblem(response.Body)
	}
	if q.stream {
		return c.readStream(result, q, response.Body)
	}
	return result.readComplete(response.Body)
}

// recordCallEnd sets the duration of a call and passes a broken connection to onBroken.
func (c *cluster) recordCallEnd(host *process, started time.Time, result *callResult) {
	result.took = time.Since(started)
	if result.err != nil && c.onBroken != nil {
		c.onBroken(host, started, *result)
	}
}

func (r callResult) readProblem(body io.Reader) callResult {
	content, err := io.ReadAll(body)
	if err != nil {
		r.err = err
		return r
	}
	var problem codec.Problem
	if err := json.Unmarshal(content, &problem); err != nil {
		r.err = fmt.Errorf("status %d without problem details: %q", r.status, content)
		return r
	}
	r.reason, r.outcome = problem.Reason, problem.Outcome
	return r
}

// event is a complete response to a completion, an event of a streamed one, or the event of its error.
type event struct {
	Choices []struct {
		Text         string  `json:"text"`
		FinishReason *string `json:"finish_reason"`
	} `json:"choices"`
	Error *struct {
		Type codec.Outcome `json:"type"`
		Code string        `json:"code"`
	} `json:"error"`
}

func (r callResult) readComplete(body io.Reader) callResult {
	var e event
	if err := json.NewDecoder(body).Decode(&e); err != nil {
		r.err = err
		return r
	}
	if len(e.Choices) != 1 || e.Choices[0].FinishReason == nil {
		r.err = errors.New("the response has no finish reason")
		return r
	}
	r.text, r.complete = e.Choices[0].Text, true
	return r
}

// readStream reads a stream to its end. A stream that ends without end marker, error event or broken connection
// violates P4.
func (c *cluster) readStream(result callResult, q completionCall, body io.Reader) callResult {
	scanner := bufio.NewScanner(body)
	var text strings.Builder
	for scanner.Scan() {
		data, ok := strings.CutPrefix(scanner.Text(), "data: ")
		if !ok {
			continue
		}
		if data == "[DONE]" {
			result.complete = true
			continue
		}
		if result.complete {
			c.recordViolation("P4: an event follows the end marker of %q", q.prompt)
		}
		var e event
		if err := json.Unmarshal([]byte(data), &e); err != nil {
			c.recordViolation("P4: an event of %q is not JSON: %q", q.prompt, data)
			continue
		}
		if e.Error != nil {
			result.reason, result.outcome = e.Error.Code, e.Error.Type
		}
		for _, choice := range e.Choices {
			text.WriteString(choice.Text)
		}
	}
	result.text, result.err = text.String(), scanner.Err()
	if result.err == nil && !result.complete && result.reason == "" {
		c.recordViolation("P4: the stream of %q ended after %d bytes without end marker, error or broken connection", q.prompt, len(result.text))
	}
	if result.err != nil {
		result.complete = false
	}
	return result
}

// order sends one non-idempotent call and checks that a complete response belongs to it (P4).
func (c *cluster) order(host *process, key, body string) (result callResult) {
	defer c.recordCallEnd(host, time.Now(), &result)
	ctx, cancel := context.WithTimeout(context.Background(), callTimeout)
	defer cancel()
	request, err := http.NewRequestWithContext(ctx, http.MethodPost, host.url()+"/services/order-service/orders", strings.NewReader(body))
	if err != nil {
		return callResult{err: err}
	}
	if key != "" {
		request.Header.Set("Idempotency-Key", key)
	}
	response, err := c.http.Do(request)
	if err != nil {
		return callResult{err: err}
	}
	defer func() { _ = response.Body.Close() }()
	result = callResult{status: response.StatusCode, header: response.Header}
	if response.StatusCode != http.StatusOK {
		return result.readProblem(response.Body)
	}
	var run responder.Response
	if err := json.NewDecoder(response.Body).Decode(&run); err != nil {
		result.err = err
		return result
	}
	result.complete = true
	if expected := responder.Digest([]byte(body)); run.Digest != expected || run.Path != "/orders" {
		c.recordViolation("P4: the response to order %q from %s belongs to another request: %+v", body, host.name, run)
	}
	return result
}

// sendOrderToAll sends an order with the same key to all given hosts at the same time. If all refuse it as not run, it
// records the body in the ledger, whose check then requires that the body has not run.
func (c *cluster) sendOrderToAll(hosts []*process, key, body string) []callResult {
	results := make([]callResult, len(hosts))
	parallel(len(hosts), func(i int) { results[i] = c.order(hosts[i], key, body) })
	notRun := true
	for _, result := range results {
		notRun = notRun && result.outcome == codec.OutcomeNotRun
	}
	if notRun && len(results) > 0 {
		c.ledger.recordRefusedBody(body, results[0].reason)
	}
	return results
}
