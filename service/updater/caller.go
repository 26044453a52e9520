package updater

import (
	"context"
	"encoding/json"
	"errors"
	"time"

	"celerygap.example/lib/asserter"
	"celerygap.example/lib/codec"
	"celerygap.example/lib/logger"
	"celerygap.example/service/connector"
)

func (u *Updater) readLease(ctx context.Context, index int) LeaseEvent {
	return ReadLeaseObject(ctx, u.config.Store, leaseKey(index), u.config.CallTimeout)
}

// ReadLeaseObject executes ReadLease on the store object with the given key.
func ReadLeaseObject(ctx context.Context, store connector.Store, key string, timeout time.Duration) LeaseEvent {
	ctx, cancel := context.WithTimeout(ctx, timeout)
	defer cancel()
	object, err := store.Get(ctx, key)
	if err != nil {
		return LeaseRead{Result: resultOf(err)}
	}
	lease, err := decodeLease(object)
	return LeaseRead{Result: resultOf(err), Version: object.Version, Lease: lease}
}

func (u *Updater) writeLease(ctx context.Context, index int, command WriteLease) LeaseEvent {
	return WriteLeaseObject(ctx, u.config.Store, leaseKey(index), u.config.CallTimeout, command)
}

// WriteLeaseObject executes WriteLease on the store object with the given key.
func WriteLeaseObject(ctx context.Context, store connector.Store, key string, timeout time.Duration, command WriteLease) LeaseEvent {
	ctx, cancel := context.WithTimeout(ctx, timeout)
	defer cancel()
	value, err := json.Marshal(command.Lease)
	if err != nil {
		return LeaseWritten{Result: StoreUnavailable}
	}
	object, err := store.Put(ctx, key, command.Expected, value)
	if conflict, ok := connector.AsConflict(err); ok {
		lease, err := decodeLease(conflict.Current)
		if err != nil {
			return LeaseWritten{Result: StoreOutcomeUnknown}
		}
		return LeaseWritten{Result: StoreConflict, Version: conflict.Current.Version, Lease: lease}
	}
	return LeaseWritten{Result: resultOf(err), Version: object.Version}
}

func decodeLease(object codec.Object) (codec.Lease, error) {
	var lease codec.Lease
	if object.Version == 0 {
		return lease, nil
	}
	err := json.Unmarshal(object.Value, &lease)
	return lease, err
}

func resultOf(err error) StoreResult {
	switch {
	case err == nil:
		return StoreOK
	case errors.Is(err, connector.ErrNotFound):
		return StoreMissing
	case errors.Is(err, connector.ErrUnavailable), errors.Is(err, connector.ErrThrottled):
		return StoreUnavailable
	default:
		return StoreOutcomeUnknown
	}
}

func (u *Updater) pollLoad(ctx context.Context, command PollLoad) RolloutEvent {
	ctx, cancel := context.WithTimeout(ctx, u.config.CallTimeout)
	defer cancel()
	report, err := u.config.Engines.Load(ctx, command.Upstream)
	return LoadReported{ID: command.Upstream.ID, Failed: err != nil, Models: report.Models}
}

// sendOrder executes SendOrder. It checks the grant immediately before the call, since the process may have been paused
// after the state machine returned the command.
func (u *Updater) sendOrder(ctx context.Context, command SendOrder) RolloutEvent {
	event := OrderFinished{ID: command.Engine.ID, Order: command.Order, Status: codec.OrderStatusFailed}
	ctx, cancel := context.WithTimeout(ctx, u.orderTimeout(command.Order.Kind))
	defer cancel()
	now := time.Now()
	if !command.Grant.Valid(now) {
		event.Unsent = true
		return event
	}
	asserter.Check(asserter.OrderWithinLease, now.Before(command.Grant.Until), "order %s sent to engine %s at %s, but its grant ended at %s",
		command.Order.OrderID, command.Engine.ID, now, command.Grant.Until)
	result, err := u.config.Engines.Order(ctx, command.Engine.Upstream, command.Order)
	if err == nil {
		event.Status = result.Status
	}
	if event.Status != codec.OrderStatusDone {
		u.config.Log.Warn(logger.OrderFailed).Str("engine", string(command.Engine.ID)).Str("kind", string(command.Order.Kind)).
			Int64("version", int64(command.Order.Version)).Str("status", string(event.Status)).Str("message", result.Message).Err(err).Send()
	}
	return event
}

func (u *Updater) orderTimeout(kind codec.OrderKind) time.Duration {
	if kind == codec.OrderKindLoad || kind == codec.OrderKindLoadAdapter {
		return u.config.LoadTimeout
	}
	return u.config.CallTimeout
}
