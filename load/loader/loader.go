package loader

import (
	"bytes"
	"context"
	"fmt"
	"io"
	"net/http"
	"sync"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"

	"celerygap.example/lib/annotator"
	"celerygap.example/lib/grouper"
)

const (
	// maxLatency is the highest latency that the histogram records.
	maxLatency = time.Minute
	// significantDigits is the precision of the histogram, in decimal digits.
	significantDigits = 3
)

// Target is one way to reach the upstream: directly or through a host.
type Target struct {
	Name   string
	URL    string
	Method string
	Body   []byte
	// ProcessID is the process whose CPU time is measured; zero means none.
	ProcessID int
}

// Config configures a comparison.
type Config struct {
	Targets     []Target
	Concurrency int
	// Phase is how long one target is loaded before the next one.
	Phase time.Duration
	// Rounds is how often each target is loaded.
	Rounds int
	// Timeout bounds one request.
	Timeout time.Duration
}

// Result holds the measurements of one target over all rounds.
type Result struct {
	Target    Target
	Requests  int64
	Failed    int64
	LastError string
	Elapsed   time.Duration
	// CPU is the CPU time that the target's process used while the target was loaded.
	CPU       time.Duration
	latencies *hdrhistogram.Histogram
}

// Rate returns the completed requests a second.
func (r *Result) Rate() float64 { return float64(r.Requests) / r.Elapsed.Seconds() }

// Latency returns a percentile, from 0 to 100, of the latency of the completed requests.
func (r *Result) Latency(percentile float64) time.Duration {
	return time.Duration(r.latencies.ValueAtQuantile(percentile)) * time.Microsecond
}

// CPUPerRequest returns the mean CPU time of a completed request.
func (r *Result) CPUPerRequest() time.Duration {
	if r.Requests == 0 {
		return 0
	}
	return r.CPU / time.Duration(r.Requests)
}

// Run loads the targets in turn, so that other activity on the machine affects all of them alike.
func Run(ctx context.Context, config Config) ([]*Result, error) {
	client := &http.Client{
		Timeout:   config.Timeout,
		Transport: &http.Transport{MaxIdleConnsPerHost: config.Concurrency, MaxConnsPerHost: config.Concurrency},
	}
	results := make([]*Result, 0, len(config.Targets))
	for _, target := range config.Targets {
		results = append(results, &Result{
			Target: target, latencies: hdrhistogram.New(1, maxLatency.Microseconds(), significantDigits),
		})
	}
	for range config.Rounds {
		for _, result := range results {
			if err := result.load(ctx, client, config); err != nil {
				return results, err
			}
		}
	}
	return results, nil
}

func (r *Result) load(ctx context.Context, client *http.Client, config Config) error {
	before, err := cpuTime(r.Target.ProcessID)
	if err != nil {
		return err
	}
	started := time.Now()
	phaseCtx, cancel := context.WithDeadline(ctx, started.Add(config.Phase))
	defer cancel()
	var mu sync.Mutex
	group := grouper.NewGroup(config.Concurrency)
	for range config.Concurrency {
		group.Go(func() {
			for phaseCtx.Err() == nil {
				took, err := send(ctx, client, r.Target)
				mu.Lock()
				r.record(took, err)
				mu.Unlock()
			}
		})
	}
	group.Wait()
	r.Elapsed += time.Since(started)
	after, err := cpuTime(r.Target.ProcessID)
	r.CPU += after - before
	if err != nil {
		return err
	}
	return ctx.Err()
}

func (r *Result) record(took time.Duration, err error) {
	if err != nil {
		r.Failed++
		r.LastError = err.Error()
		return
	}
	r.Requests++
	_ = r.latencies.RecordValue(took.Microseconds())
}

func send(ctx context.Context, client *http.Client, target Target) (time.Duration, error) {
	started := time.Now()
	request, err := http.NewRequestWithContext(ctx, target.Method, target.URL, bytes.NewReader(target.Body))
	if err != nil {
		return 0, annotator.Wrap("build request", annotator.Peer(target.URL), err)
	}
	response, err := client.Do(request)
	if err != nil {
		return 0, annotator.Wrap("send request", annotator.Peer(target.URL), err)
	}
	defer func() { _ = response.Body.Close() }()
	if _, err := io.Copy(io.Discard, response.Body); err != nil {
		return 0, annotator.Wrap("read response", annotator.Peer(target.URL), err)
	}
	if response.StatusCode != http.StatusOK {
		return 0, annotator.Wrap("read response", annotator.Peer(target.URL), fmt.Errorf("status %d", response.StatusCode))
	}
	return time.Since(started), nil
}
