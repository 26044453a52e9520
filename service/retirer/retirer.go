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

// retryPause is the wait before a status that could not be written is written again.
const retryPause = 200 * time.Millisecond

// Config configures a Retirer.
type Config struct {
	Host  identifier.HostID
	Store connector.ObjectStore
	// Kind is the prefix of the operator's wishes, each under the name of a host.
	Kind string
	// Done is the status that says that the host is empty.
	Done json.RawMessage
	Log  *logger.Logger
}

// Retirer is a duty. Nothing that must last is on the disk of a host: batch jobs and their results are in the store, so
// an empty disk is reported at once.
type Retirer struct {
	config   Config
	answered int64
}

// New returns a retirer.
func New(config Config) *Retirer {
	if config.Log == nil {
		config.Log = logger.Discard()
	}
	return &Retirer{config: config}
}

// Run answers wishes until the context ends.
func (r *Retirer) Run(ctx context.Context) error {
	return follower.New(follower.Config{
		Store: r.config.Store, Prefix: r.config.Kind, Log: r.config.Log,
		OnUpdate: func(update follower.Update) {
			if object, ok := update.Objects[r.config.Kind+string(r.config.Host)]; ok {
				r.answer(ctx, object)
			}
		},
	}).Run(ctx)
}

// answer writes the status once for each wish; writing it changes the object's version, which is no new wish.
func (r *Retirer) answer(ctx context.Context, object codec.Object) {
	if r.answered != 0 {
		return
	}
	for ctx.Err() == nil {
		err := r.config.Store.PutStatus(ctx, object.Key, r.config.Done)
		r.config.Log.Info(logger.HostEmptied).Int64("object_version", object.Version).Err(err).Send()
		if err == nil {
			r.answered = object.Version
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
