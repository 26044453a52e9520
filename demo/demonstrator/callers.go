package demonstrator

import (
	"bufio"
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"strconv"
	"sync"
	"time"

	"github.com/google/uuid"

	"celerygap.example/lib/grouper"
)

const (
	// maxCallers is how many callers send requests at the same time.
	maxCallers   = 4
	streamTokens = 24
	// maxAttempts bounds how often a caller sends a refused request.
	maxAttempts = 5
)

// CallerReport counts the results that the callers got.
type CallerReport struct {
	Requests int
	// Incomplete counts the streams that ended without their end marker.
	Incomplete int
	// Failed counts the calls that ended with an error.
	Failed int
	// Doubled counts the orders that the plain service executed more than once.
	Doubled   int
	LastError string
}

type callers struct {
	mu     sync.Mutex
	report CallerReport
}

func (c *callers) update(change func(*CallerReport)) {
	c.mu.Lock()
	defer c.mu.Unlock()
	change(&c.report)
}

func (c *callers) recordCall(err error) {
	c.update(func(r *CallerReport) {
		r.Requests++
		if err != nil {
			r.Failed++
			r.LastError = err.Error()
		}
	})
}

// runCallers streams completions, and sends each order to two hosts at the same time with one idempotency key.
func (d *demonstration) runCallers(ctx context.Context) CallerReport {
	c := &callers{}
	group := grouper.NewGroup(maxCallers)
	var keys []string
	for i := range d.config.Calls {
		group.Go(func() { d.streamCompletion(ctx, c, i) })
		key := uuid.NewString()
		keys = append(keys, key)
		for copies := range 2 {
			group.Go(func() { c.recordCall(d.placeOrder(ctx, (i+copies)%len(d.hosts), key)) })
		}
	}
	group.Wait()
	record := d.orders.Record()
	for _, key := range keys {
		if record.Keys[key] > 1 {
			c.report.Doubled++
		}
	}
	return c.report
}

// post sends a request and retries it, as callers should, if the refusal names a delay for a retry.
func (d *demonstration) post(ctx context.Context, host int, path string, header http.Header, body []byte) (*http.Response, error) {
	for attempt := 1; ; attempt++ {
		request, err := http.NewRequestWithContext(ctx, http.MethodPost, d.url(host)+path, bytes.NewReader(body))
		if err != nil {
			return nil, err
		}
		request.Header = header
		response, err := http.DefaultClient.Do(request)
		if err != nil {
			return nil, err
		}
		wait, refused := retryAfter(response)
		if !refused || attempt == maxAttempts {
			return response, checkStatus(response)
		}
		_ = response.Body.Close()
		select {
		case <-ctx.Done():
			return nil, ctx.Err()
		case <-time.After(wait):
		}
	}
}

func retryAfter(response *http.Response) (time.Duration, bool) {
	seconds, err := strconv.Atoi(response.Header.Get("Retry-After"))
	return time.Duration(seconds) * time.Second, err == nil && response.StatusCode != http.StatusOK
}

func checkStatus(response *http.Response) error {
	if response.StatusCode == http.StatusOK {
		return nil
	}
	text, err := io.ReadAll(response.Body)
	if err != nil {
		return err
	}
	return fmt.Errorf("status %d: %s", response.StatusCode, text)
}

func (d *demonstration) placeOrder(ctx context.Context, host int, key string) error {
	response, err := d.post(ctx, host, "/services/order-service/orders", http.Header{"Idempotency-Key": {key}}, []byte(`{"item":"salt"}`))
	if response != nil {
		_ = response.Body.Close()
	}
	return err
}

func (d *demonstration) streamCompletion(ctx context.Context, c *callers, i int) {
	body, err := json.Marshal(map[string]any{
		"model": "assistant", "stream": true, "max_tokens": streamTokens,
		"messages": []map[string]string{{"role": "user", "content": fmt.Sprintf("question %d", i%8)}},
	})
	if err != nil {
		c.recordCall(err)
		return
	}
	response, err := d.post(ctx, i%len(d.hosts), "/v1/chat/completions", http.Header{}, body)
	c.recordCall(err)
	if err != nil {
		return
	}
	defer func() { _ = response.Body.Close() }()
	if !endsWithMarker(response.Body) {
		c.update(func(r *CallerReport) { r.Incomplete++ })
	}
}

func endsWithMarker(body io.Reader) bool {
	var last string
	scanner := bufio.NewScanner(body)
	for scanner.Scan() {
		if line := scanner.Text(); line != "" {
			last = line
		}
	}
	return scanner.Err() == nil && last == "data: [DONE]"
}
