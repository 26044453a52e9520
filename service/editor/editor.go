package editor

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"time"

	"celerygap.example/lib/codec"
	"celerygap.example/lib/identifier"
	"celerygap.example/lib/logger"
	"celerygap.example/lib/refuser"
	"celerygap.example/service/connector"
)

const (
	// Key is the store key of the catalogue.
	Key = "catalogue/current"
	// MaxBytes is the largest catalogue that the store accepts as one object.
	MaxBytes identifier.Bytes = 1 << 20
	// DefaultReadBackInterval is the pause between attempts to read the catalogue after a write whose outcome is unknown.
	DefaultReadBackInterval = 100 * time.Millisecond
	// retryAfter is how long an author should wait before repeating an edit that the store did not accept.
	retryAfter = 5 * time.Second
)

// Config configures an editor.
type Config struct {
	Store connector.Store
	// Now returns the time that is recorded with an edit; nil means time.Now.
	Now func() time.Time
	Log *logger.Logger
	// ReadBackInterval is the pause between attempts to read the catalogue after a write whose outcome is unknown; zero
	// means DefaultReadBackInterval.
	ReadBackInterval time.Duration
}

// Editor applies catalogue edits to the store.
type Editor struct {
	config Config
}

// New returns an editor.
func New(config Config) *Editor {
	if config.ReadBackInterval <= 0 {
		config.ReadBackInterval = DefaultReadBackInterval
	}
	if config.Now == nil {
		config.Now = time.Now
	}
	if config.Log == nil {
		config.Log = logger.Discard()
	}
	return &Editor{config: config}
}

// Apply checks an edit and writes it. An error is a *refuser.Refusal; its outcome is not run if the edit certainly had no
// effect, and unknown if the editor could not find out whether the write took effect. Repeating an edit under the same edit
// id is always safe.
func (e *Editor) Apply(ctx context.Context, request codec.EditRequest) (codec.EditResult, error) {
	if problems := checkRequest(&request); len(problems) > 0 {
		return codec.EditResult{Status: codec.EditStatusInvalid, Revision: request.BaseRevision, Message: Format(problems)}, nil
	}
	current, version, err := e.read(ctx)
	if err != nil {
		return codec.EditResult{}, refuse(codec.OutcomeNotRun, err)
	}
	result, err := e.write(ctx, current, version, &request)
	if err != nil {
		return codec.EditResult{}, err
	}
	e.log(&request, &result)
	return result, nil
}

// write makes one conditional update and resolves an unknown outcome or a conflict.
func (e *Editor) write(ctx context.Context, current *codec.Catalogue, version int64, request *codec.EditRequest) (codec.EditResult, error) {
	next, result := nextCatalogue(current, request, e.config.Now())
	if next == nil {
		return result, nil
	}
	value, err := json.Marshal(next)
	if err != nil {
		return codec.EditResult{}, refuse(codec.OutcomeNotRun, err)
	}
	if identifier.Bytes(len(value)) > MaxBytes {
		return tooLarge(current.Revision, len(value)), nil
	}
	_, err = e.config.Store.Put(ctx, Key, version, value)
	if err == nil {
		return result, nil
	}
	if conflictErr, ok := connector.AsConflict(err); ok {
		return e.resolveConflict(conflictErr.Current, request)
	}
	if hadNoEffect(err) {
		return codec.EditResult{}, refuse(codec.OutcomeNotRun, err)
	}
	return e.readBack(ctx, version, request)
}

// resolveConflict returns the result of a write that failed because the stored version had changed. An earlier attempt of
// the same edit may have changed it; the edit then counts as already accepted.
func (e *Editor) resolveConflict(object codec.Object, request *codec.EditRequest) (codec.EditResult, error) {
	current, _, err := decode(object)
	if err != nil {
		return codec.EditResult{}, refuse(codec.OutcomeNotRun, err)
	}
	if edit, ok := findEdit(current, request.EditID); ok {
		return codec.EditResult{Status: codec.EditStatusAlreadyAccepted, Revision: edit.Revision}, nil
	}
	return conflict(current, request), nil
}

// readBack looks for the edit id in the stored catalogue after a write whose outcome is unknown. While the expected version
// is still current, it repeats the write with that version, so that at most one of the writes can take effect.
func (e *Editor) readBack(ctx context.Context, version int64, request *codec.EditRequest) (codec.EditResult, error) {
	for {
		current, found, err := e.read(ctx)
		if err != nil {
			if waitErr := sleep(ctx, e.config.ReadBackInterval); waitErr != nil {
				return codec.EditResult{}, refuse(codec.OutcomeUnknown, errors.Join(err, waitErr))
			}
			continue
		}
		if edit, ok := findEdit(current, request.EditID); ok {
			return codec.EditResult{Status: codec.EditStatusAccepted, Revision: edit.Revision}, nil
		}
		if found != version {
			return conflict(current, request), nil
		}
		result, err := e.write(ctx, current, version, request)
		if refusal, ok := refuser.As(err); ok {
			// The earlier write may still reach the store, so the outcome is unknown even if this write had no effect.
			return codec.EditResult{}, refuse(codec.OutcomeUnknown, refusal)
		}
		if result.Status == codec.EditStatusAlreadyAccepted {
			result.Status = codec.EditStatusAccepted
		}
		return result, err
	}
}

func (e *Editor) read(ctx context.Context) (*codec.Catalogue, int64, error) {
	object, err := e.config.Store.Get(ctx, Key)
	if errors.Is(err, connector.ErrNotFound) {
		return &codec.Catalogue{}, 0, nil
	}
	if err != nil {
		return nil, 0, err
	}
	return decode(object)
}

func decode(object codec.Object) (*codec.Catalogue, int64, error) {
	catalogue := &codec.Catalogue{}
	if object.Version == 0 {
		return catalogue, 0, nil
	}
	if err := json.Unmarshal(object.Value, catalogue); err != nil {
		return nil, 0, fmt.Errorf("decode %s version %d: %w", Key, object.Version, err)
	}
	return catalogue, object.Version, nil
}

// hadNoEffect reports whether a failed write certainly had no effect.
func hadNoEffect(err error) bool {
	return errors.Is(err, connector.ErrUnavailable) || errors.Is(err, connector.ErrThrottled)
}

func tooLarge(revision identifier.Revision, size int) codec.EditResult {
	problem := Problem{
		Subject: "catalogue", Field: "size", Value: fmt.Sprintf("%d bytes", size),
		Accepted: fmt.Sprintf("at most %d bytes with its last %d edits", MaxBytes, KeptEdits),
	}
	return codec.EditResult{Status: codec.EditStatusInvalid, Revision: revision, Message: problem.String()}
}

func refuse(outcome codec.Outcome, err error) *refuser.Refusal {
	return &refuser.Refusal{
		Reason: refuser.StoreUnavailable, Outcome: outcome, RetryAfter: retryAfter,
		Detail: fmt.Sprintf("catalogue edit: %v", err), Err: err,
	}
}

func (e *Editor) log(request *codec.EditRequest, result *codec.EditResult) {
	event := logger.EditAccepted
	if result.Status == codec.EditStatusConflict {
		event = logger.EditConflict
	}
	e.config.Log.Info(event).
		Str("edit_id", string(request.EditID)).
		Str("author", request.Author).
		Str("status", string(result.Status)).
		Int64("revision", int64(result.Revision)).
		Send()
}

func sleep(ctx context.Context, duration time.Duration) error {
	timeout := time.NewTimer(duration)
	defer timeout.Stop()
	select {
	case <-ctx.Done():
		return ctx.Err()
	case <-timeout.C:
		return nil
	}
}
