package main

import (
	"fmt"
	"net/http"
	"sync"
	"time"
)

// decodedPath sends requests to a route whose prefix begins the prefix of another route. In some of them an encoded slash stands in the
// last segment, so that the decoded path begins with the longer prefix, and the path as sent does not.
func decodedPath(d *deployment, trouble bool) (bool, error) {
	const requests = 20
	var mu sync.Mutex
	foreign := make(map[string]bool)
	plain := func(e *engine, x *exchange) bool {
		wanted := "app"
		if x.request.Header.Get("X-Sent-To") == "r-admin" {
			wanted = "admin"
		}
		d.printf("%s of service %s runs %s %s", e.id, e.service, x.id, x.request.RequestURI)
		if e.service != wanted {
			mu.Lock()
			foreign[x.id] = true
			mu.Unlock()
		}
		return x.write(http.StatusOK, []string{stamp(e, x.id)}, "done")
	}
	for _, made := range []struct{ id, service string }{{"i-1", "app"}, {"i-2", "app"}, {"i-3", "admin"}, {"i-4", "admin"}} {
		e, err := newEngine(made.id, made.service, "", plain)
		if err != nil {
			return false, err
		}
		d.engines = append(d.engines, e)
	}
	route := func(name, prefix, service string) any {
		return map[string]any{
			"name": name, "host": host, "path_prefix": prefix, "kind": "idempotent", "timeout_ms": 2000, "latency_goal_ms": 400, "priority": 2,
			"service": service, "max_attempts": 2,
		}
	}
	service := func(name string) any {
		return map[string]any{"name": name, "health_path": "/healthz", "max_conns": 110, "protocol": "h1", "tls": false}
	}
	config := configuration(3)
	config["routes"] = []any{route("r-app", "/files/", "app"), route("r-admin", "/files/adm/", "admin")}
	config["services"] = []any{service("app"), service("admin")}
	if err := d.start(3, config); err != nil {
		return false, err
	}
	for i := range requests {
		f := d.fronts[i%len(d.fronts)]
		path := fmt.Sprintf("/files/adm-%d", i)
		if trouble {
			path = fmt.Sprintf("/files/adm%%2F%d", i)
		}
		id := fmt.Sprint("p", i)
		status, _ := d.call(f, http.MethodPost, path, id, map[string]string{"X-Sent-To": "r-app", "Deadline-Ms": "2000"}, []byte("body"), 3*time.Second)
		d.printf("%s POST %s at %s: %d", id, path, f.name, status)
		admin := fmt.Sprint("a", i)
		status, _ = d.call(f, http.MethodPost, fmt.Sprintf("/files/adm/%d", i), admin, map[string]string{"X-Sent-To": "r-admin", "Deadline-Ms": "2000"}, []byte("body"), 3*time.Second)
		if status != http.StatusOK {
			d.printf("%s at r-admin: %d", admin, status)
		}
	}
	mu.Lock()
	defer mu.Unlock()
	d.printf("%d of %d requests were run by a service to which no configuration allows them to go", len(foreign), requests)
	return len(foreign) == 0, nil
}
