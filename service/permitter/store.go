package permitter

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"strconv"
	"strings"

	"celerygap.example/lib/codec"
	"celerygap.example/lib/logger"
	"celerygap.example/service/connector"
)

// callsPerShard bounds the outstanding store calls of a shard: one for the chain's tail and one deletion, and the same
// number for calls of a former ownership that have not ended.
const callsPerShard = 4

func shardPrefix(shard int) string { return fmt.Sprintf("permits/%02d/", shard) }

func segmentKey(shard int, number int64) string {
	return shardPrefix(shard) + fmt.Sprintf("%012d", number)
}

func (p *Permitter) list(ctx context.Context, shard int) Event {
	ctx, cancel := context.WithTimeout(ctx, p.config.ListTimeout)
	defer cancel()
	list, err := p.config.Store.List(ctx, shardPrefix(shard))
	result := p.classify(shard, "list", err)
	segments := make([]Segment, 0, len(list.Objects))
	for _, object := range list.Objects {
		segment, err := decodeSegment(object)
		if err != nil {
			return Listed{Result: p.classify(shard, "list", err)}
		}
		segments = append(segments, segment)
	}
	return Listed{Result: result, Segments: segments}
}

func (p *Permitter) get(ctx context.Context, shard int, command Get) Event {
	ctx, cancel := context.WithTimeout(ctx, p.config.StoreTimeout)
	defer cancel()
	object, err := p.config.Store.Get(ctx, segmentKey(shard, command.Number))
	if err != nil {
		return Fetched{Result: p.classify(shard, "get", err)}
	}
	segment, err := decodeSegment(object)
	return Fetched{Result: p.classify(shard, "get", err), Segment: segment}
}

func (p *Permitter) put(ctx context.Context, shard int, command Put) Event {
	value, err := json.Marshal(command.Value)
	if err != nil {
		return Written{Result: StoreUnavailable}
	}
	ctx, cancel := context.WithTimeout(ctx, p.config.StoreTimeout)
	defer cancel()
	object, err := p.config.Store.Put(ctx, segmentKey(shard, command.Number), command.Expected, value)
	if conflict, ok := connector.AsConflict(err); ok {
		p.classify(shard, "put", err)
		return writeConflict(command.Number, conflict.Current)
	}
	segment := Segment{Number: command.Number, Version: object.Version, Value: command.Value}
	return Written{Result: p.classify(shard, "put", err), Segment: segment}
}

func writeConflict(number int64, current codec.Object) Event {
	if current.Version == 0 {
		return Written{Result: StoreConflict, Segment: Segment{Number: number}}
	}
	current.Key = strconv.FormatInt(number, 10)
	segment, err := decodeSegment(current)
	if err != nil {
		return Written{Result: StoreConflict, Segment: Segment{Number: number}}
	}
	return Written{Result: StoreConflict, Segment: segment}
}

func (p *Permitter) delete(ctx context.Context, shard int, command Delete) Event {
	ctx, cancel := context.WithTimeout(ctx, p.config.StoreTimeout)
	defer cancel()
	err := p.config.Store.Delete(ctx, segmentKey(shard, command.Number), command.Expected)
	return Deleted{Result: p.classify(shard, "delete", err), Number: command.Number}
}

func decodeSegment(object codec.Object) (Segment, error) {
	segment := Segment{Version: object.Version}
	number, err := strconv.ParseInt(object.Key[strings.LastIndexByte(object.Key, '/')+1:], 10, 64)
	if err != nil {
		return segment, fmt.Errorf("parse segment number in key %q: %w", object.Key, err)
	}
	segment.Number = number
	if err := json.Unmarshal(object.Value, &segment.Value); err != nil {
		return segment, fmt.Errorf("decode segment %q, version %d: %w", object.Key, object.Version, err)
	}
	return segment, nil
}

// classify maps an error of the store to a result, then counts and logs it.
func (p *Permitter) classify(shard int, operation string, err error) StoreResult {
	result := resultOf(err)
	if p.config.Meter != nil {
		p.config.Meter.StoreCalled("permits_"+operation, string(result))
	}
	switch result {
	case StoreOutcomeUnknown:
		p.config.Log.Warn(logger.PermitOutcomeUnknown).Int("shard", shard).Str("operation", operation).Err(err).Send()
	case StoreUnavailable:
		p.config.Log.Warn(logger.StoreUnavailable).Int("shard", shard).Str("operation", operation).Err(err).Send()
	case StoreOK, StoreConflict, StoreMissing, StoreThrottled:
	}
	return result
}

// resultOf maps an error of the store to a result. Any other error, such as a timeout, means that the outcome is unknown.
func resultOf(err error) StoreResult {
	_, conflict := connector.AsConflict(err)
	switch {
	case err == nil:
		return StoreOK
	case conflict:
		return StoreConflict
	case errors.Is(err, connector.ErrNotFound):
		return StoreMissing
	case errors.Is(err, connector.ErrUnavailable):
		return StoreUnavailable
	case errors.Is(err, connector.ErrThrottled):
		return StoreThrottled
	default:
		return StoreOutcomeUnknown
	}
}
