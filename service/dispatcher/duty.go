package dispatcher

import (
	"context"
	"time"

	"celerygap.example/lib/codec"
	"celerygap.example/lib/grouper"
	"celerygap.example/lib/identifier"
	"celerygap.example/service/connector"
	"celerygap.example/service/isolator"
	"celerygap.example/service/limiter"
	"celerygap.example/service/router"
)

const (
	queueTick   = 10 * time.Millisecond
	loadTick    = time.Second
	loadTimeout = time.Second
	maxPolls    = 8
	// pollsPerTick keeps the load reports of a large pool within the network budget of a node: 64 engines are polled
	// every 16 s, as many as 16 engines every second.
	pollsPerTick  = 16
	pollsWhenMany = 4
)

// Run is the dispatcher's duty: it advances the time of the state machines and polls the engines' load until ctx ends.
func (d *Dispatcher) Run(ctx context.Context) error {
	// The queue is looked at only while a request waits: 100 idle wake-ups a second cost more than the rest of the
	// host's control work.
	var queue <-chan time.Time
	stopQueue := func() {}
	defer func() { stopQueue() }()
	load, stopLoad := d.config.Timer.Subscribe(loadTick)
	defer stopLoad()
	catalogues := d.config.Catalogue.Subscribe()
	defer d.polls.Wait()
	var round int
	for {
		select {
		case <-ctx.Done():
			return nil
		case <-d.waiting:
			if queue == nil {
				queue, stopQueue = d.config.Timer.Subscribe(queueTick)
			}
		case <-queue:
			if !d.tickQueue() {
				stopQueue()
				queue, stopQueue = nil, func() {}
			}
		case <-catalogues:
			d.mu.Lock()
			d.refreshCatalogue()
			d.mu.Unlock()
		case <-load:
			round++
			d.tickLoad(ctx, round)
		}
	}
}

// tickQueue advances the time for the waiting requests and reports whether any is left.
func (d *Dispatcher) tickQueue() bool {
	d.mu.Lock()
	defer d.mu.Unlock()
	if d.limiter.Waiting() == 0 {
		return false
	}
	d.limit(limiter.Tick{})
	return true
}

func (d *Dispatcher) tickLoad(ctx context.Context, round int) {
	d.mu.Lock()
	d.isolate(isolator.Tick{})
	catalogue := d.refreshCatalogue()
	d.mu.Unlock()
	for _, pool := range catalogue.Pools {
		d.mu.Lock()
		d.refreshPool(pool.Name)
		d.notifyChange()
		d.mu.Unlock()
	}
	// An engine that does not answer must not delay the queue's ticks; a round still under way replaces the next one.
	d.polls.TryGo(func() {
		for _, pool := range catalogue.Pools {
			if pool.Kind == codec.PoolKindEngine {
				d.pollPool(ctx, pool.Name, round)
			}
		}
	})
}

// pollPool asks this round's engines for their load and derives how much of this host's work the pool takes.
func (d *Dispatcher) pollPool(ctx context.Context, pool identifier.PoolName, round int) {
	polls := grouper.NewGroup(maxPolls)
	for _, upstream := range d.dueEngines(pool, round) {
		polls.Go(func() { d.pollEngine(ctx, upstream) })
	}
	polls.Wait()
	d.mu.Lock()
	defer d.mu.Unlock()
	slots, load := d.router.Occupancy(time.Now(), pool)
	d.limit(limiter.PoolSized{Pool: pool, Slots: slots, Load: load})
	// Requests that wait for newer weights look at the new reports.
	d.notifyChange()
}

func (d *Dispatcher) dueEngines(pool identifier.PoolName, round int) []connector.Upstream {
	d.mu.Lock()
	defer d.mu.Unlock()
	var known []connector.Upstream
	for _, state := range d.router.States() {
		if state.Pool == pool && !state.Upstream.Leaving {
			known = append(known, state.Upstream)
		}
	}
	if len(known) <= pollsPerTick {
		return known
	}
	due := make([]connector.Upstream, 0, pollsWhenMany)
	for i := range pollsWhenMany {
		due = append(due, known[(round*pollsWhenMany+i)%len(known)])
	}
	return due
}

func (d *Dispatcher) pollEngine(ctx context.Context, upstream connector.Upstream) {
	ctx, cancel := context.WithTimeout(ctx, loadTimeout)
	defer cancel()
	report, err := d.config.Engines.Load(ctx, upstream)
	if err != nil {
		return
	}
	// The report names the engine itself; the list's id is the one that routing knows.
	report.ID = upstream.ID
	d.mu.Lock()
	defer d.mu.Unlock()
	d.router.Handle(time.Now(), router.LoadReported{Report: report})
}
