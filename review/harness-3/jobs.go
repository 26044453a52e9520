package main

import (
	"encoding/base64"
	"encoding/json"
	"fmt"
	"strings"
)

func rolloutRoute() map[string]any {
	return map[string]any{
		"name": "r-batch", "host": hostName, "path_prefix": "/b/", "kind": "rollout", "sticky": true, "timeout_ms": 10000, "latency_goal_ms": 400,
		"priority": 1, "service": "models", "max_attempts": 3, "due_ms": 7500, "max_age_s": 40,
	}
}

func plainRoute() map[string]any {
	return map[string]any{
		"name": "r-plain", "host": hostName, "path_prefix": "/p/", "kind": "idempotent", "timeout_ms": 2000, "latency_goal_ms": 200, "priority": 2,
		"service": "app", "max_attempts": 4,
	}
}

// submission returns a batch job.
func submission(job string, step, minVersion, items, group, body int) string {
	var list []map[string]any
	for i := range items {
		id := fmt.Sprintf("%s-item%d", job, i)
		list = append(list, map[string]any{
			"id": id, "path": fmt.Sprintf("/b/%s/%d", job, i), "headers": map[string]string{
				"Model": "m", "Token-Count": "20,400", "Prompt-Prefix": "a1:20", "Length-Hint": "200", "Accept": "text/event-stream",
				"Content-Type": "text/plain", "Sample": fmt.Sprint(i % group), "Step": fmt.Sprint(step),
			},
			"body": base64.StdEncoding.EncodeToString([]byte(id + strings.Repeat("b", max(0, body-len(id))))), "tokens": 420, "group": fmt.Sprintf("%s-g%d", job, i/group),
			"scorer": map[string]any{"id": id + "-score", "host": hostName, "path": "/p/score", "body": base64.StdEncoding.EncodeToString([]byte("s" + id))},
		})
	}
	text, err := json.Marshal(map[string]any{"step": step, "model": "m", "min_version": minVersion, "desired": items / group, "items": list})
	must(err)
	return string(text)
}
