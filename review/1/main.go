// Command 1 shows that all hosts refuse the sound requests of many callers, once two engines go down at the same time.
package main

import (
	"fmt"
	"net/http"
	"sync"
	"sync/atomic"
	"time"

	"celerygap.example/review/harness"
)

const (
	// enginesPerZone times three is the number of engines of the service; flapping is how many of them go down and up.
	enginesPerZone, flapping = 5, 2
	// The engines go down flaps times, each time for downTime, and are up for upTime after it.
	flaps            = 3
	downTime, upTime = 2 * time.Second, 2 * time.Second
	// work is the time that a request takes. Each caller sends one request in each interval.
	work, interval = 500 * time.Millisecond, 600 * time.Millisecond
	callers        = 64
	// calmTime is the time before the first crash, watchTime the time after the last one.
	calmTime, watchTime = 4 * time.Second, 12 * time.Second
	// shown is the number of refusals that are shown.
	shown = 3
)

var zones = []string{"brasov-a", "sibiu-a", "cluj-a"}

// counts holds what the callers got.
type counts struct{ total, served, denied atomic.Int64 }

func (n *counts) add(c *harness.Cluster, host *harness.Host, a harness.Answer) {
	n.total.Add(1)
	switch {
	case a.Status == http.StatusOK:
		n.served.Add(1)
	case a.Status >= 300 && a.Status < 500 && a.Status != http.StatusRequestTimeout && a.Status != http.StatusMisdirectedRequest && a.Status != http.StatusTooManyRequests:
		if n.denied.Add(1) <= shown {
			c.Record.Say("DENIED: %s answers %d without a Server-Stamp: %.160s", host.Name, a.Status, a.Body)
		}
	}
}

func main() {
	c, err := harness.New(harness.Config{
		Zones:   []string{"brasov-a", "brasov-a", "brasov-a", "sibiu-a", "sibiu-a", "cluj-a", "cluj-a"},
		Regions: map[string]string{"brasov-a": "ro-centru", "sibiu-a": "ro-centru", "cluj-a": "ro-nord"},
		Bounds:  harness.GrownBounds, StaleBy: time.Second,
	})
	if err != nil {
		panic(err)
	}
	c.Store.Put("config", "main", harness.Configuration(nil, nil))
	engines := map[string][]*harness.Engine{}
	count := 0
	add := func(zone string) {
		config := harness.PlainEngine(fmt.Sprintf("i-02d9e6%02x", count), harness.PlainPool, zone)
		config.Address = c.IP(200+count) + ":0"
		config.Work = work
		engine, err := harness.NewEngine(config, c.Store, c.Record)
		if err != nil {
			c.Exit(harness.NotRun, "engine: %v", err)
		}
		count++
		engines[zone] = append(engines[zone], engine)
	}
	for _, zone := range zones {
		for range enginesPerZone {
			add(zone)
		}
	}
	if err := c.Start(); err != nil {
		c.Exit(harness.NotRun, "start: %v", err)
	}
	var n counts
	var stop atomic.Bool
	var group sync.WaitGroup
	for caller := range callers {
		group.Go(func() {
			time.Sleep(time.Duration(caller) * interval / callers)
			for k := 0; !stop.Load(); k++ {
				host := c.Hosts[(caller+k)%len(c.Hosts)]
				began := time.Now()
				// No two requests have the same body: each asks for another bin.
				body := fmt.Sprintf(`{"id":"bin-%d-%d"}`, caller, k)
				n.add(c, host, host.Call(http.MethodPost, harness.BatchHost, "/lohu930/bins", body, map[string]string{
					"Request-Id": fmt.Sprintf("9c41d07be2%02x%04x", caller, k), "Deadline-Ms": "2000", "Content-Type": "application/json",
				}))
				time.Sleep(interval - time.Since(began))
			}
		})
	}
	time.Sleep(calmTime)
	c.Record.Say("before: %d requests, %d served, %d denied", n.total.Load(), n.served.Load(), n.denied.Load())
	if c.Trouble {
		for range flaps {
			c.Record.Say("two of %d engines go down", enginesPerZone*len(zones))
			for _, engine := range engines[zones[0]][len(engines[zones[0]])-flapping:] {
				engine.Crash()
			}
			time.Sleep(downTime)
			for range flapping {
				add(zones[0])
			}
			time.Sleep(upTime)
		}
	}
	time.Sleep(watchTime)
	stop.Store(true)
	group.Wait()
	c.Record.Say("in all: %d requests, %d served, %d denied", n.total.Load(), n.served.Load(), n.denied.Load())
	if n.denied.Load() > 5+n.total.Load()/500 {
		c.Exit(harness.Broken, "the rule DENIED was broken: %d of %d requests", n.denied.Load(), n.total.Load())
	}
	c.Exit(harness.Held, "the rule held")
}
