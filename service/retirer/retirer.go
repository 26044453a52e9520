package retirer

import (
	"context"
	"encoding/json"
	"time"

	"celerygap.example/lib/codec"
	"celerygap.example/lib/grouper"
	"celerygap.example/lib/logger"
	"celerygap.example/lib/timer"
	"celerygap.example/service/connector"
	"celerygap.example/service/follower"
)

const (
	// retryPause is the pause before a failed write of the status is retried.
	retryPause = 200 * time.Millisecond
	// electionInterval is how often a host checks whether it is the one that reports.
	electionInterval = time.Second
)

// Config configures a Retirer.
type Config struct {
	Store connector.ObjectStore
	// Prefix is the key prefix of the operator's requests; the id of the host to empty follows it.
	Prefix string
	// Done is the status that reports a host as empty.
	Done json.RawMessage
	// Elected reports whether this host is the one that reports. Two hosts that do so at the same time do no harm.
	Elected func() bool
	Timer   *timer.Service
	Log     *logger.Logger
}

// Retirer follows the operator's requests and reports each host with a disk as empty at once: batch jobs and their results are
// in the store, so the disks hold nothing that must be kept.
type Retirer struct {
	config Config
	// reported holds the creation of each request for which the status was written. Writing the status changes the version of
	// the object, which is not a new request.
	reported map[string]struct{}
}

// New returns a Retirer; without a Log it logs nothing.
func New(config Config) *Retirer {
	if config.Log == nil {
		config.Log = logger.Discard()
	}
	return &Retirer{config: config, reported: make(map[string]struct{})}
}

// Run follows the requests while this host is elected, and returns nil when the context ends.
func (r *Retirer) Run(ctx context.Context) error {
	ticks, stopTicks := r.config.Timer.Subscribe(electionInterval)
	defer stopTicks()
	following := grouper.NewGroup(-1)
	defer following.Wait()
	stop := func() {}
	defer func() { stop() }()
	elected := false
	for {
		if now := r.config.Elected(); now != elected {
			elected = now
			stop()
			following.Wait()
			stop = func() {}
			if elected {
				followCtx, cancel := context.WithCancel(ctx)
				stop = cancel
				following.Go(func() { r.follow(followCtx) })
			}
		}
		select {
		case <-ctx.Done():
			return nil
		case <-ticks:
		}
	}
}

func (r *Retirer) follow(ctx context.Context) {
	_ = follower.New(follower.Config{
		Store: r.config.Store, Prefix: r.config.Prefix, Log: r.config.Log,
		OnUpdate: func(update follower.Update) {
			for key := range r.reported {
				if _, ok := update.Objects[key]; !ok {
					// The same host may be retired again.
					delete(r.reported, key)
				}
			}
			for _, object := range update.Objects {
				r.report(ctx, object)
			}
		},
	}).Run(ctx)
}

// report writes the status once for each request, with retries until the context ends.
func (r *Retirer) report(ctx context.Context, object codec.Object) {
	if _, ok := r.reported[object.Key]; ok {
		return
	}
	for ctx.Err() == nil {
		err := r.config.Store.PutStatus(ctx, object.Key, r.config.Done)
		r.config.Log.Info(logger.HostReportedEmpty).Str("key", object.Key).Int64("object_version", object.Version).Err(err).Send()
		if err == nil {
			r.reported[object.Key] = struct{}{}
			return
		}
		pause := time.NewTimer(retryPause)
		select {
		case <-ctx.Done():
		case <-pause.C:
		}
		pause.Stop()
	}
}
