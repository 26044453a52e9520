package accountant

import (
	"context"
	"encoding/json"
	"errors"
	"time"

	"celerygap.example/lib/codec"
	"celerygap.example/lib/logger"
	"celerygap.example/service/connector"
)

const (
	// ledgerKey is the store key of the reports that are written before they are made.
	ledgerKey = "duties/usage"
	// storeTimeout bounds one call to the store.
	storeTimeout = time.Second
)

func (d *Driver) readLedger(ctx context.Context) LedgerRead {
	ctx, cancel := context.WithTimeout(ctx, storeTimeout)
	defer cancel()
	object, err := d.config.Store.Get(ctx, ledgerKey)
	if err != nil {
		return LedgerRead{Err: err}
	}
	ledger, err := decodeLedger(object)
	return LedgerRead{Version: object.Version, Ledger: ledger, Err: err}
}

func (d *Driver) writeLedger(ctx context.Context, command WriteLedger) LedgerWritten {
	ctx, cancel := context.WithTimeout(ctx, storeTimeout)
	defer cancel()
	written, err := d.putLedger(ctx, command)
	line := d.config.Log.Info(logger.UsageWritten)
	if written.Result != WriteOK {
		line = d.config.Log.Warn(logger.UsageWritten)
	}
	newest := command.Ledger.Open[len(command.Ledger.Open)-1]
	d.mu.Lock()
	_, processes := d.collector.Sum(newest.Window)
	d.mu.Unlock()
	line.Int64("window", int64(newest.Window)).Int64("requests", total(newest.Counts)).Int("processes", processes).
		Int("open", len(command.Ledger.Open)).Str("result", string(written.Result)).Err(err).Send()
	return written
}

func (d *Driver) putLedger(ctx context.Context, command WriteLedger) (LedgerWritten, error) {
	value, err := json.Marshal(command.Ledger)
	if err != nil {
		return LedgerWritten{Result: WriteFailed}, err
	}
	object, err := d.config.Store.Put(ctx, ledgerKey, command.Expected, value)
	if conflict, ok := connector.AsConflict(err); ok {
		ledger, decodeErr := decodeLedger(conflict.Current)
		if decodeErr != nil || conflict.Current.Version == 0 {
			return LedgerWritten{Result: WriteUnknown}, err
		}
		return LedgerWritten{Result: WriteConflict, Version: conflict.Current.Version, Ledger: ledger}, err
	}
	switch {
	case err == nil:
		return LedgerWritten{Result: WriteOK, Version: object.Version}, nil
	case errors.Is(err, connector.ErrUnavailable), errors.Is(err, connector.ErrThrottled):
		return LedgerWritten{Result: WriteFailed}, err
	default:
		return LedgerWritten{Result: WriteUnknown}, err
	}
}

func decodeLedger(object codec.Object) (codec.UsageLedger, error) {
	var ledger codec.UsageLedger
	err := json.Unmarshal(object.Value, &ledger)
	return ledger, err
}
