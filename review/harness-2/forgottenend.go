package main

import (
	"encoding/json"
	"errors"
	"fmt"
	"net/http"
	"sync"
	"syscall"
	"time"
)

const (
	// outage is how long the store is down: platform_down lasts 4.5 s at most in the small site.
	outage = 4 * time.Second
	// contactTime, ackTime and cancelTime are contact_ms, ack_ms and cancel_ms.
	contactTime = 4 * time.Second
	ackTime     = 5 * time.Second
	cancelTime  = 3 * time.Second
	// endTries and endInterval are how often and when the trainer tries to end the job; all tries are within the outage.
	endTries    = 4
	endInterval = 900 * time.Millisecond
	// watchTime is how long the engines are watched after the planned stop; it ends before max_age_s of the job.
	watchTime = 10 * time.Second
)

// forgottenEnd ends a batch job while the store is down, so that the end is not acknowledged. Long after the end counts as acknowledged,
// the owner of the job is stopped as planned.
func forgottenEnd(d *deployment, trouble bool) (bool, error) {
	type arrival struct {
		id, engine string
		at         time.Time
	}
	var mu sync.Mutex
	var arrivals []arrival
	serve := func(e *engine, x *exchange) bool {
		mu.Lock()
		arrivals = append(arrivals, arrival{x.id, e.id, time.Now()})
		mu.Unlock()
		d.printf("%s runs %s after event %q", e.id, x.id, x.request.Header.Get("Last-Event-Id"))
		return e.generate(x, 60, 250*time.Millisecond)
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
	if err := d.start(3, configuration(3)); err != nil {
		return false, err
	}
	var items []item
	for i := range 8 {
		items = append(items, item{ID: fmt.Sprint("e", i), Group: fmt.Sprint(i / 4)})
	}
	if !d.submit("job", items, d.fronts...) {
		return false, errors.New("the batch job was not accepted")
	}
	time.Sleep(2 * time.Second)
	if trouble {
		d.printf("the store is down for %s", outage)
		d.store.setFault(func(storeCall) storeFault { return storeFault{status: http.StatusServiceUnavailable} })
	}
	began := time.Now()
	acknowledged := time.Time{}
	for i := 0; i < endTries && acknowledged.IsZero(); i++ {
		time.Sleep(endInterval)
		if d.end(d.fronts[i%len(d.fronts)], "job") == http.StatusOK {
			acknowledged = time.Now()
		}
	}
	time.Sleep(time.Until(began.Add(outage)))
	d.store.setFault(nil)
	d.printf("the store is up; nothing is disturbed from now on")
	if acknowledged.IsZero() {
		// The end counts as acknowledged after ack_ms of steady state.
		acknowledged = time.Now().Add(contactTime + ackTime)
	}
	time.Sleep(time.Until(acknowledged.Add(cancelTime)))
	d.printf("the end counts as acknowledged for cancel_ms; from now on no item may reach an engine")
	limit := time.Now()
	var head struct {
		Owner string `json:"owner"`
	}
	if err := json.Unmarshal(d.store.get("batchheads", "job"), &head); err != nil {
		return false, err
	}
	for _, f := range d.fronts {
		if f.name == head.Owner {
			d.printf("planned stop of %s, which owns the job", f.name)
			f.signal(syscall.SIGTERM)
		}
	}
	time.Sleep(watchTime)
	mu.Lock()
	defer mu.Unlock()
	held := true
	for _, a := range arrivals {
		if a.at.After(limit) {
			d.printf("item %s reached %s %.1f s after that moment and ran", a.id, a.engine, a.at.Sub(limit).Seconds())
			held = false
		}
	}
	return held, nil
}
