// Command 4 shows that items of a batch job run long after its end was acknowledged, if the end comes after a planned restart of
// the host that ran the job.
package main

import (
	"encoding/json"
	"fmt"
	"net/http"
	"slices"
	"strings"
	"syscall"
	"time"

	"celerygap.example/review/harness"
)

const (
	// cancelTime is cancel_ms of the settings.
	cancelTime = 3 * time.Second
	jobs       = 3
	items      = 96
	// staleBy is how old the data of the store's lists with allow_stale is.
	staleBy = 2 * time.Second
	// endDelay is the time from the planned stop until the first end; further ones follow after endInterval.
	endDelay, endInterval = 2 * time.Second, time.Second
	// watchTime is how long the engines are watched after the last end.
	watchTime = 9 * time.Second
)

func main() {
	regions := map[string]string{"brasov-a": "ro-centru", "cluj-a": "ro-nord", "sibiu-a": "ro-centru"}
	c, err := harness.New(harness.Config{
		Zones:   []string{"brasov-a", "brasov-a", "brasov-a", "cluj-a", "cluj-a", "sibiu-a", "sibiu-a"},
		Regions: regions, StaleBy: staleBy,
	})
	if err != nil {
		panic(err)
	}
	c.Store.Put("config", "main", harness.Configuration(nil, nil))
	var engines []*harness.Engine
	for i, config := range []harness.EngineConfig{
		{ID: "i-7f3a91c2", Service: harness.ModelPool, Zone: "brasov-a", Models: map[string]int64{harness.ModelName: 1}, Slots: 8, Queue: 24, Events: 20, Interval: 40 * time.Millisecond},
		{ID: "i-02d9e6b4", Service: harness.PlainPool, Zone: "brasov-a", Slots: 6, Queue: 24, Work: 25 * time.Millisecond},
	} {
		config.Address = c.IP(200+i) + ":0"
		engine, err := harness.NewEngine(config, c.Store, c.Record)
		if err != nil {
			c.Exit(harness.NotRun, "engine: %v", err)
		}
		engines = append(engines, engine)
	}
	if err := c.Start(); err != nil {
		c.Exit(harness.NotRun, "start: %v", err)
	}
	names := []string{}
	for n := range jobs {
		job := fmt.Sprintf("7c41e09b52d6a3%02x", n)
		if a := c.Hosts[n].Submit(job, items); a.Status != http.StatusAccepted {
			c.Exit(harness.NotRun, "job %s was not accepted: %d", job, a.Status)
		}
		names = append(names, job)
	}
	// Trainers and other clients read the jobs at all hosts.
	for range 2 {
		for _, host := range c.Hosts {
			for _, job := range names {
				if _, a := host.Read(job, 0); a.Status != http.StatusOK {
					c.Exit(harness.NotRun, "job %s could not be read: %d", job, a.Status)
				}
			}
		}
		time.Sleep(500 * time.Millisecond)
	}
	owner := ownerOf(c, names[0])
	c.Record.Say("host %s runs the jobs", owner.Name)
	if c.Trouble {
		owner.Signal(syscall.SIGTERM)
		go func() { _ = owner.Restart() }()
	}
	time.Sleep(endDelay)
	next := ownerOf(c, names[0])
	c.Record.Say("host %s runs the jobs now", next.Name)
	// The jobs are ended at hosts that got no signal and do not run them.
	ended := map[string]time.Time{}
	others := slices.DeleteFunc(slices.Clone(c.Hosts), func(h *harness.Host) bool { return h == owner || h == next })
	for n, job := range names {
		time.Sleep(time.Duration(min(n, 1)) * endInterval)
		host := others[n%len(others)]
		a := host.End(job)
		if a.Status != http.StatusOK {
			c.Exit(harness.NotRun, "the end of job %s was not acknowledged: %d", job, a.Status)
		}
		ended[job] = a.At
	}
	time.Sleep(watchTime)
	late := 0
	for _, engine := range engines {
		for _, arrival := range engine.Arrivals() {
			for job, at := range ended {
				if !strings.Contains(arrival.ID, job) {
					continue
				}
				if after := arrival.At.Sub(at); after > cancelTime {
					late++
					c.Record.Say("UNASKED: %s reaches %s %.2f s after the end of its batch job was acknowledged", arrival.ID, arrival.Engine, after.Seconds())
				}
			}
		}
	}
	if late > 0 {
		c.Exit(harness.Broken, "the rule UNASKED was broken: %d requests later than cancel_ms", late)
	}
	c.Exit(harness.Held, "the rule held")
}

// ownerOf returns the host that runs a job.
func ownerOf(c *harness.Cluster, job string) *harness.Host {
	var head struct{ Owner string }
	_ = json.Unmarshal(c.Store.Spec("batchheads", job), &head)
	for _, host := range c.Hosts {
		if host.Name == head.Owner {
			return host
		}
	}
	c.Exit(harness.NotRun, "no host runs job %s", job)
	return nil
}
