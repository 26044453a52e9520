package main

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"os"
	"time"
)

const (
	host      = "shop.example"
	model     = "draft"
	taskPath  = "/rollout/"
	scorePath = "/score/"
)

// deployment is a store, engines and fronts.
type deployment struct {
	*record
	store   *store
	engines []*engine
	fronts  []*front
	// folder holds the settings and logs of the fronts until the end of the case.
	folder string
	// addresses holds the store's address for each front; by default that of the store itself.
	addresses []string
}

// configuration is one route for batch jobs and one for reward calls.
func configuration(maxAttempts int) map[string]any {
	return map[string]any{
		"version": 3,
		"routes": []any{
			map[string]any{
				"name": "r-rollout", "host": host, "path_prefix": taskPath, "kind": "rollout", "latency_goal_ms": 400, "priority": 1, "service": "models",
				"max_attempts": maxAttempts, "due_ms": 7500, "max_age_s": 40,
			},
			map[string]any{
				"name": "r-score", "host": host, "path_prefix": scorePath, "kind": "idempotent", "timeout_ms": 2000, "latency_goal_ms": 400, "priority": 2,
				"service": "app", "max_attempts": 4,
			},
		},
		"services": []any{
			map[string]any{
				"name": "models", "health_path": "/healthz", "max_conns": 150, "protocol": "h1", "tls": false,
				"engine": map[string]any{"slots": 8, "kv_capacity": 115634, "models": []any{map[string]any{"name": model}}},
			},
			map[string]any{"name": "app", "health_path": "/healthz", "max_conns": 110, "protocol": "h1", "tls": false},
		},
		"limits": map[string]any{"max_header_bytes": 16384, "max_body_bytes": 33554432, "header_timeout_ms": 3000, "idle_timeout_ms": 15000},
	}
}

// start starts the fronts and waits until they are ready.
func (d *deployment) start(count int, config map[string]any) error {
	d.store.put("config", "main", config)
	for _, e := range d.engines {
		d.store.put("servers", e.id, e.entry("ready"))
	}
	folder, err := os.MkdirTemp("", "review-2-")
	if err != nil {
		return err
	}
	d.folder = folder
	var seeds []string
	for range count {
		seeds = append(seeds, freeAddress())
	}
	for i := range count {
		address := d.store.address
		if i < len(d.addresses) {
			address = d.addresses[i]
		}
		f := &front{name: fmt.Sprint("front-", i+1), listen: freeAddress(), ready: freeAddress(), peer: seeds[i], seeds: seeds, store: address, folder: folder}
		d.fronts = append(d.fronts, f)
		if err := f.start(true); err != nil {
			return err
		}
	}
	for _, f := range d.fronts {
		if err := f.awaitReady(20 * time.Second); err != nil {
			return err
		}
	}
	// As on the platform, traffic starts some seconds after the machines.
	time.Sleep(4 * time.Second)
	return nil
}

func (d *deployment) stop() {
	for _, f := range d.fronts {
		if f.command != nil && f.command.Process != nil {
			f.kill()
		}
	}
	if d.folder != "" && os.Getenv("KEEP_LOGS") == "" {
		_ = os.RemoveAll(d.folder)
	}
}

// call makes a call at a front on a new connection and returns its status (0 without an answer) and body.
func (d *deployment) call(f *front, method, path, id string, header map[string]string, body []byte, limit time.Duration) (int, []byte) {
	ctx, cancel := context.WithTimeout(context.Background(), limit)
	defer cancel()
	request, err := http.NewRequestWithContext(ctx, method, "http://"+f.listen+path, bytes.NewReader(body))
	if err != nil {
		panic(err)
	}
	request.Host = host
	if id != "" {
		request.Header.Set("Request-Id", id)
	}
	for name, value := range header {
		request.Header.Set(name, value)
	}
	client := http.Client{Transport: &http.Transport{DisableKeepAlives: true}}
	response, err := client.Do(request)
	if err != nil {
		d.printf("%s %s %s at %s: no answer: %v", method, path, id, f.name, err)
		return 0, nil
	}
	defer func() { _ = response.Body.Close() }()
	text, err := io.ReadAll(response.Body)
	if err != nil {
		d.printf("%s %s %s at %s: %d, body broken off: %v", method, path, id, f.name, response.StatusCode, err)
		return 0, nil
	}
	return response.StatusCode, text
}

// item is an item of a batch job.
type item struct{ ID, Group string }

// submit submits a batch job until it is accepted and returns whether it was.
func (d *deployment) submit(id string, items []item, fronts ...*front) bool {
	return d.submitStep(id, 0, 1, items, fronts...)
}

// submitStep is submit for a step of a trainer and the oldest version that may generate its texts.
func (d *deployment) submitStep(id string, step, minVersion int, items []item, fronts ...*front) bool {
	list := []any{}
	for _, it := range items {
		list = append(list, map[string]any{
			"id": it.ID, "path": taskPath + "run/" + it.ID, "headers": map[string]string{"Model": model, "Token-Count": "40,40", "Prompt-Prefix": "ab" + it.Group + ":30"},
			"body": []byte("body of " + it.ID), "tokens": 80, "group": it.Group,
			"scorer": map[string]any{"id": "score-" + it.ID, "host": host, "path": scorePath + it.ID, "body": []byte("score " + it.ID)},
		})
	}
	body, _ := json.Marshal(map[string]any{"step": step, "model": model, "min_version": minVersion, "desired": 1, "items": list})
	for attempt := range 6 {
		f := fronts[attempt%len(fronts)]
		status, _ := d.call(f, http.MethodPost, taskPath+"jobs/"+id, id, map[string]string{"Content-Type": "application/json"}, body, 3*time.Second)
		d.printf("batch job %s with %d items submitted at %s: %d", id, len(items), f.name, status)
		if status == http.StatusAccepted {
			return true
		}
		time.Sleep(300 * time.Millisecond)
	}
	return false
}

type result struct {
	ID       string  `json:"id"`
	State    string  `json:"state"`
	Text     string  `json:"text"`
	Score    string  `json:"score"`
	Versions []int64 `json:"versions"`
}

type page struct {
	Total   int      `json:"total"`
	Next    int      `json:"next"`
	Results []result `json:"results"`
}

// read reads a page of results.
func (d *deployment) read(f *front, id string, after int) (int, page) {
	status, text := d.call(f, http.MethodGet, fmt.Sprintf("/api/lots/%s?after=%d", id, after), "", map[string]string{"Wait-Ms": "1000"}, nil, 4*time.Second)
	var p page
	if status == http.StatusOK {
		if err := json.Unmarshal(text, &p); err != nil {
			return 0, page{}
		}
	}
	return status, p
}

// collect reads results at the fronts in turn until all are listed or the limit is over.
func (d *deployment) collect(id string, total int, limit time.Duration, fronts ...*front) []result {
	var results []result
	end := time.Now().Add(limit)
	for i := 0; len(results) < total && time.Now().Before(end); i++ {
		status, p := d.read(fronts[i%len(fronts)], id, len(results))
		if status != http.StatusOK {
			time.Sleep(300 * time.Millisecond)
			continue
		}
		for _, r := range p.Results {
			d.printf("batch job %s lists %s at position %d: %s", id, r.ID, len(results), r.State)
			results = append(results, r)
		}
	}
	return results
}

// end ends a batch job.
func (d *deployment) end(f *front, id string) int {
	status, _ := d.call(f, http.MethodDelete, "/api/lots/"+id, "", nil, nil, 3*time.Second)
	d.printf("end of batch job %s at %s: %d", id, f.name, status)
	return status
}
