// Command 5 shows that a request runs without the name of its tenant if its client lists that header in Connection.
package main

import (
	"fmt"
	"net/http"

	"celerygap.example/review/harness"
)

const (
	key    = "k-4f9a2be07c"
	tenant = "cuka620"
	// requests is the number of requests of each kind.
	requests = 20
)

func main() {
	c, err := harness.New(harness.Config{
		Zones:   []string{"brasov-a", "sibiu-a", "cluj-a"},
		Regions: map[string]string{"brasov-a": "ro-centru", "sibiu-a": "ro-centru", "cluj-a": "ro-nord"},
		Bounds:  harness.GrownBounds,
	})
	if err != nil {
		panic(err)
	}
	c.Store.Put("config", "main", harness.Configuration(nil, map[string]any{
		"tenants": []map[string]any{{"name": tenant, "api_keys": []string{key}, "priority": 2}, {"name": "seje681", "api_keys": []string{"k-77aa01"}}},
	}))
	config := harness.PlainEngine("i-02d9e6b4", harness.PlainPool, "brasov-a")
	config.Address = c.IP(200) + ":0"
	engine, err := harness.NewEngine(config, c.Store, c.Record)
	if err != nil {
		c.Exit(harness.NotRun, "engine: %v", err)
	}
	if err := c.Start(); err != nil {
		c.Exit(harness.NotRun, "start: %v", err)
	}
	for n := range requests {
		header := map[string]string{"Request-Id": fmt.Sprintf("9c41d07be2a3%04x", n), "Deadline-Ms": "2000", "X-Api-Key": key, "Tenant": "seje681"}
		if c.Trouble {
			header["Connection"] = "close, Tenant"
		}
		a := c.Hosts[n%len(c.Hosts)].Call(http.MethodPost, harness.BatchHost, "/lohu930/2f", "x", header)
		if a.Status != http.StatusOK {
			c.Record.Say("request %d was answered %d", n, a.Status)
		}
	}
	arrivals := engine.Arrivals()
	if len(arrivals) < requests {
		c.Exit(harness.NotRun, "only %d of %d requests ran", len(arrivals), requests)
	}
	broken := 0
	for _, arrival := range arrivals {
		if got := arrival.Header.Get("Tenant"); got != tenant {
			broken++
			c.Record.Say("UNASKED: %s ran with Tenant %q; its key is that of %q", arrival.ID, got, tenant)
		}
	}
	if broken > 0 {
		c.Exit(harness.Broken, "the rule UNASKED was broken by %d of %d requests", broken, requests)
	}
	c.Exit(harness.Held, "the rule held")
}
