package binder

import (
	"context"
	"encoding/json"
	"slices"
	"time"

	"celerygap.example/lib/annotator"
	"celerygap.example/lib/codec"
	"celerygap.example/lib/grouper"
	"celerygap.example/lib/identifier"
	"celerygap.example/lib/logger"
	"celerygap.example/service/peerconnector"
)

const (
	// methodRecords passes records on to a host that lacks them.
	methodRecords = "record_origins"
	// copyInterval is how often the records are compared with the live hosts, and maxChecks how many are each time.
	copyInterval = 250 * time.Millisecond
	maxChecks    = 250
	// maxBatch bounds the records of a message, and maxCalls the messages at the same time.
	maxBatch = 200
	maxCalls = 8
	// retryInterval is how often hosts that did not confirm records are asked again.
	retryInterval = 5 * time.Second
	// handOverWait bounds the time in which a host that is stopping passes its records on.
	handOverWait = time.Second
)

// replicate passes records on until no host is known to lack one of those that were checked.
func (d *Driver) replicate(ctx context.Context) {
	d.mu.Lock()
	d.copier.Observe(d.config.Members.Live())
	batches := d.copier.Next(maxChecks)
	d.mu.Unlock()
	calls := grouper.NewGroup(maxCalls)
	for _, batch := range batches {
		for part := range slices.Chunk(batch.Streams, maxBatch) {
			calls.Go(func() { d.pass(ctx, Batch{To: batch.To, Streams: part}) })
		}
	}
	calls.Wait()
}

// pass sends records to a host and notes whether it holds them now.
func (d *Driver) pass(ctx context.Context, batch Batch) {
	request := codec.RecordOrigins{Records: d.encode(batch.Streams)}
	err := d.call(ctx, batch.To, methodRecords, request, nil)
	if peerconnector.LacksMethod(err) {
		err = d.passSingly(ctx, batch.To, request.Records)
	}
	d.mu.Lock()
	defer d.mu.Unlock()
	if err != nil {
		d.copier.Failed(batch)
		return
	}
	d.copier.Confirmed(batch)
}

// passSingly sends records to a host of a build that takes one at a time.
func (d *Driver) passSingly(ctx context.Context, to codec.Member, records []codec.RecordOrigin) error {
	for _, request := range records {
		if err := d.call(ctx, to, methodRecord, request, nil); err != nil {
			return err
		}
	}
	return nil
}

// encode returns the records of streams as they are sent: two for a stream with contradicting origins.
func (d *Driver) encode(streams []identifier.StreamID) []codec.RecordOrigin {
	d.mu.Lock()
	defer d.mu.Unlock()
	now := time.Now()
	self := d.config.Members.Self()
	records := make([]codec.RecordOrigin, 0, len(streams))
	for _, stream := range streams {
		known, ok := d.records.lookup(stream)
		if !ok || !now.Before(known.until) {
			continue
		}
		recorder := known.recorder
		if known.own {
			recorder = Process{self.ID, self.Incarnation}
		}
		for _, origin := range known.origins {
			records = append(records, codec.RecordOrigin{
				Stream: stream, Origin: origin, Keep: identifier.Duration(known.until.Sub(now)), Recorder: recorder.Host, RecorderIncarnation: recorder.Incarnation,
			})
		}
	}
	return records
}

func (d *Driver) serveRecords(_ context.Context, params json.RawMessage) (any, error) {
	var request codec.RecordOrigins
	if err := json.Unmarshal(params, &request); err != nil {
		return nil, annotator.Wrap("decode origins of streams", "peer", err)
	}
	for _, received := range request.Records {
		d.keepCopy(received)
	}
	return struct{}{}, nil
}

// HandOver passes the records that other hosts lack on before this host stops. It returns the error of ctx, if any.
func (d *Driver) HandOver(ctx context.Context) error {
	limited, cancel := context.WithTimeout(ctx, handOverWait)
	defer cancel()
	d.mu.Lock()
	d.copier.CheckAll()
	d.mu.Unlock()
	for limited.Err() == nil {
		d.replicate(limited)
		d.mu.Lock()
		left := d.copier.Pending()
		d.mu.Unlock()
		if left == 0 {
			return nil
		}
	}
	d.config.Log.Warn(logger.OriginsNotPassedOn).Err(limited.Err()).Send()
	return ctx.Err()
}
