package disseminator

import (
	"context"
	"time"
)

const (
	// watchWait is how long the store keeps a watch without changes open.
	watchWait = 10 * time.Second
	// watchGrace is how much longer a watch may take before the connection counts as dead.
	watchGrace = 5 * time.Second
	// readTimeout bounds one read, so that a slow store does not delay the readiness of a starting host.
	readTimeout = 2 * time.Second
	// The delay after a failed watch grows from minRetryDelay to maxRetryDelay; 16 watchers then make at most 16 calls in 4 s.
	minRetryDelay = time.Second
	maxRetryDelay = 4 * time.Second
)

func (d *Driver) read(ctx context.Context) {
	ctx, cancel := context.WithTimeout(ctx, readTimeout)
	defer cancel()
	list, err := d.config.Store.List(ctx, Prefix)
	d.countStore("list", err)
	if err != nil {
		d.ring.Offer(request{event: StoreFailed{}})
		return
	}
	d.ring.Offer(request{event: StoreListed{List: list, Full: true}})
}

func (d *Driver) setWatch(ctx context.Context, enabled bool) {
	d.endWatch()
	if !enabled {
		return
	}
	watchCtx, cancel := context.WithCancel(ctx)
	d.endWatch = cancel
	d.watches.Go(func() { d.watch(watchCtx) })
}

// watch keeps a watch of the store open until the context ends; it backs off after a failure.
func (d *Driver) watch(ctx context.Context) {
	var after int64
	delay := minRetryDelay
	for ctx.Err() == nil {
		revision, err := d.watchOnce(ctx, after)
		if err == nil {
			after = revision
			delay = minRetryDelay
			continue
		}
		if ctx.Err() != nil {
			return
		}
		d.ring.Offer(request{event: StoreFailed{}})
		sleep(ctx, delay)
		delay = min(2*delay, maxRetryDelay)
	}
}

func (d *Driver) watchOnce(ctx context.Context, after int64) (int64, error) {
	ctx, cancel := context.WithTimeout(ctx, watchWait+watchGrace)
	defer cancel()
	list, err := d.config.Store.Watch(ctx, Prefix, after, watchWait)
	if ctx.Err() == nil || err == nil {
		d.countStore("watch", err)
	}
	if err != nil {
		return 0, err
	}
	if !d.ring.Offer(request{event: StoreListed{List: list}}) {
		return 0, ErrBusy
	}
	return max(after, list.Revision), nil
}

func sleep(ctx context.Context, duration time.Duration) {
	pause := time.NewTimer(duration)
	defer pause.Stop()
	select {
	case <-ctx.Done():
	case <-pause.C:
	}
}

func (d *Driver) countStore(operation string, err error) {
	result := "ok"
	if err != nil {
		result = "failed"
	}
	d.config.Meter.StoreCalled(operation, result)
}
