package main

import (
	"errors"
	"fmt"
	"maps"
	"time"
)

// addedRoute submits a batch job and adds a route while its items run. The new route has a longer prefix than that of the batch job, and
// its prefix begins the path under which the job was submitted, but not the paths of the items.
func addedRoute(d *deployment, trouble bool) (bool, error) {
	serve := func(e *engine, x *exchange) bool {
		done := e.generate(x, 60, 50*time.Millisecond)
		d.printf("%s ran %s at %s, answer 200 sent whole: %t", e.id, x.id, x.request.URL.Path, done)
		return done
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
	config := configuration(3)
	if err := d.start(3, config); err != nil {
		return false, err
	}
	var items []item
	for i := range 8 {
		items = append(items, item{ID: fmt.Sprint("a", i), Group: fmt.Sprint(i / 4)})
	}
	if !d.submit("job", items, d.fronts...) {
		return false, errors.New("the batch job was not accepted")
	}
	time.Sleep(time.Second)
	if trouble {
		next := maps.Clone(config)
		next["version"] = 5
		next["routes"] = append([]any{map[string]any{
			"name": "r-dashboard", "host": host, "path_prefix": taskPath + "jobs/", "kind": "idempotent", "timeout_ms": 2000, "latency_goal_ms": 400, "priority": 2,
			"service": "app", "max_attempts": 2,
		}}, config["routes"].([]any)...)
		d.store.put("config", "main", next)
		d.printf("configuration 5 acknowledged: route r-dashboard with prefix %sjobs/ is added, r-rollout with prefix %s stays as it is", taskPath, taskPath)
	}
	results := d.collect("job", len(items), 20*time.Second, d.fronts...)
	held := len(results) == len(items)
	for _, r := range results {
		if r.State != "done" || r.Text != wholeText(r.ID, 60) {
			d.printf("item %s is %s although no engine answered 422 or 500, max_age_s is 40, the job is open and its route is there", r.ID, r.State)
			held = false
		}
	}
	return held, nil
}
