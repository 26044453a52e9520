package retirer

import (
	"context"
	"encoding/json"
	"time"

	"celerygap.example/lib/codec"
	"celerygap.example/lib/identifier"
	"celerygap.example/lib/logger"
	"celerygap.example/service/connector"
	"celerygap.example/service/follower"
)

// retryPause is the pause before a failed write of the status is retried.
const retryPause = 200 * time.Millisecond

// Config configures a Retirer.
type Config struct {
	Host  identifier.HostID
	Store connector.ObjectStore
	// Prefix is the key prefix of the operator's requests; the id of the host to empty follows it.
	Prefix string
	// Done is the status that reports the host as empty.
	Done json.RawMessage
	Log  *logger.Logger
}

// Retirer follows the operator's requests and reports its host as empty at once: batch jobs and their results are in the
// store, so the host's disk holds nothing that must be kept.
type Retirer struct {
	config Config
	// reportedVersion is the version of the request for which the status was written; 0 for none.
	reportedVersion int64
}

// New returns a Retirer; without a Log it logs nothing.
func New(config Config) *Retirer {
	if config.Log == nil {
		config.Log = logger.Discard()
	}
	return &Retirer{config: config}
}

// Run reports the host as empty when the operator requests it, and returns nil when the context ends.
func (r *Retirer) Run(ctx context.Context) error {
	return follower.New(follower.Config{
		Store: r.config.Store, Prefix: r.config.Prefix, Log: r.config.Log,
		OnUpdate: func(update follower.Update) {
			if object, ok := update.Objects[r.config.Prefix+string(r.config.Host)]; ok {
				r.report(ctx, object)
			}
		},
	}).Run(ctx)
}

// report writes the status, with retries until the context ends. It does so only once in the life of the process, because
// writing the status changes the version of the object, which is not a new request.
func (r *Retirer) report(ctx context.Context, object codec.Object) {
	if r.reportedVersion != 0 {
		return
	}
	for ctx.Err() == nil {
		err := r.config.Store.PutStatus(ctx, object.Key, r.config.Done)
		r.config.Log.Info(logger.HostReportedEmpty).Int64("object_version", object.Version).Err(err).Send()
		if err == nil {
			r.reportedVersion = object.Version
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
