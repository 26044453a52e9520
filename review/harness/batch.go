package harness

import (
	"encoding/json"
	"fmt"
	"net/http"
)

// The names of the deployment of the cases; a day of the bench draws such names anew.
const (
	BatchHost   = "ficu95.example"
	ModelName   = "daka510000"
	ModelPool   = "huvo11a"
	PlainPool   = "wuno96b"
	batchPrefix = "/pule252/"
	scorePrefix = "/pufi791/"
)

// Configuration returns a configuration like that of sites/sarea-ops.toml: a route for batch jobs, one for reward calls and one for
// clients, and further routes and fields.
func Configuration(further []map[string]any, fields map[string]any) map[string]any {
	routes := []map[string]any{
		{
			"name": "r-zulu3", "host": BatchHost, "path_prefix": batchPrefix, "kind": "rollout", "latency_goal_ms": 500, "priority": 1,
			"service": ModelPool, "max_attempts": 3, "due_ms": 7500, "max_age_s": 40, "sticky": true,
		},
		{
			"name": "r-hh2b9wu", "host": BatchHost, "path_prefix": scorePrefix, "kind": "idempotent", "timeout_ms": 2000,
			"latency_goal_ms": 400, "priority": 2, "service": PlainPool, "max_attempts": 4,
		},
		{
			"name": "r-zji9n73", "host": BatchHost, "path_prefix": "/lohu930/", "kind": "idempotent", "timeout_ms": 2000,
			"latency_goal_ms": 200, "priority": 2, "service": PlainPool, "max_attempts": 2,
		},
	}
	configuration := map[string]any{
		"version": 7, "routes": append(routes, further...),
		"services": []map[string]any{
			{
				"name": ModelPool, "health_path": "/healthz", "max_conns": 140, "protocol": "h1", "tls": false,
				"engine": map[string]any{"slots": 8, "kv_capacity": 112271, "models": []map[string]any{{"name": ModelName}}},
			},
			{"name": PlainPool, "health_path": "/healthz", "max_conns": 100, "protocol": "h1", "tls": false},
		},
		"limits": map[string]any{"max_header_bytes": 16384, "max_body_bytes": 33554432, "header_timeout_ms": 3000, "idle_timeout_ms": 15000},
	}
	for name, value := range fields {
		configuration[name] = value
	}
	return configuration
}

// GroupSize is the number of items of a group.
const GroupSize = 4

// Items returns items whose ids begin with the id of a job, from number from to before number to. The ids of their reward calls are
// those of the items after a prefix, and the calls go to a path below the route for reward calls.
func Items(job string, from, to int, scorerPrefix, scorerPath string) []map[string]any {
	return ItemsOf(ModelName, job, from, to, scorerPrefix, scorerPath)
}

// ItemsOf returns such items of a model.
func ItemsOf(model, job string, from, to int, scorerPrefix, scorerPath string) []map[string]any {
	var list []map[string]any
	for i := from; i < to; i++ {
		list = append(list, map[string]any{
			"id": ItemID(job, i), "path": fmt.Sprintf("%s3/%s", batchPrefix, ItemID(job, i)), "body": []byte(ItemID(job, i)), "tokens": 940,
			"headers": map[string]string{"Model": model, "Token-Count": "540,400", "Prompt-Prefix": "9c2e41:300,5d07b8:240"},
			"group":   fmt.Sprintf("g%s%d", job, i/GroupSize),
			"scorer":  map[string]any{"id": scorerPrefix + ItemID(job, i), "host": BatchHost, "path": scorePrefix + scorerPath, "body": []byte("x")},
		})
	}
	return list
}

// Submission returns the body that submits items as a step.
func Submission(model string, step int, items []map[string]any) string {
	text, err := json.Marshal(map[string]any{"step": step, "model": model, "min_version": 1, "desired": len(items) / GroupSize, "items": items})
	if err != nil {
		panic(err)
	}
	return string(text)
}

// ItemID returns the id of an item of a job.
func ItemID(job string, i int) string { return fmt.Sprintf("%s%04x", job, i) }

// Submit submits a batch job with a number of items.
func (h *Host) Submit(job string, items int) Answer {
	return h.SubmitItems(job, 0, Items(job, 0, items, "5c", "5e07"))
}

// SubmitItems submits a batch job with the given items.
func (h *Host) SubmitItems(job string, step int, items []map[string]any) Answer {
	return h.SubmitItemsOf(ModelName, job, step, items)
}

// SubmitItemsOf submits a batch job of a model with the given items.
func (h *Host) SubmitItemsOf(model, job string, step int, items []map[string]any) Answer {
	return h.Call(http.MethodPost, BatchHost, batchPrefix+job, Submission(model, step, items), map[string]string{
		"Request-Id": job, "Content-Type": "application/json",
	})
}

// Page is an answer to a read of results.
type Page struct {
	Total   int
	Next    int
	Results []struct{ ID, State, Text, Score string }
}

// Read reads the results of a job from a position.
func (h *Host) Read(job string, after int) (Page, Answer) {
	a := h.Call(http.MethodGet, BatchHost, fmt.Sprintf("/api/lots/%s?after=%d", job, after), "", nil)
	var page Page
	if a.Status == http.StatusOK {
		if err := json.Unmarshal([]byte(a.Body), &page); err != nil {
			a.Status = 0
		}
	}
	return page, a
}

// ReadAll reads the results of a job page by page until a page has none. The answer is the first one that is not a success, or the last.
func (h *Host) ReadAll(job string) (Page, Answer) {
	all := Page{}
	for {
		page, a := h.Read(job, len(all.Results))
		if a.Status != http.StatusOK {
			return all, a
		}
		all.Total = page.Total
		all.Results = append(all.Results, page.Results...)
		all.Next = len(all.Results)
		if len(page.Results) == 0 || len(all.Results) >= page.Total {
			return all, a
		}
	}
}

// End ends a job.
func (h *Host) End(job string) Answer {
	return h.Call(http.MethodDelete, BatchHost, "/api/lots/"+job, "", nil)
}
