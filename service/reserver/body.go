package reserver

import (
	"context"
	"errors"
	"io"

	"celerygap.example/lib/identifier"
)

// unknownStep is how much of a body without a stated length is read before room for the longest one is reserved.
const unknownStep = identifier.Bytes(256 << 10)

// ErrTooLarge means that a body is longer than its limit, or needs more memory than there is for all callers together.
var ErrTooLarge = errors.New("the body exceeds the limit")

// ReadBody reads a body of at most limit bytes after it has reserved memory for it; length is its stated length, or negative. The
// error is a *FullError, ErrTooLarge or that of the body. Without an error the caller must release the reservation.
func (a *Account) ReadBody(ctx context.Context, body io.Reader, length int64, limit identifier.Bytes) ([]byte, *Reservation, error) {
	if length > int64(limit) {
		return nil, nil, ErrTooLarge
	}
	if length >= 0 {
		held, err := a.Reserve(ctx, identifier.Bytes(length))
		if err != nil {
			return nil, nil, err
		}
		text := make([]byte, length)
		if _, err := io.ReadFull(body, text); err != nil {
			held.Release()
			return nil, nil, err
		}
		return text, held, nil
	}
	return a.readUnknown(ctx, body, limit)
}

// readUnknown reads a body whose length is not stated. Room for the longest body is reserved at once rather than step by step,
// so that half-read bodies do not wait for each other.
func (a *Account) readUnknown(ctx context.Context, body io.Reader, limit identifier.Bytes) ([]byte, *Reservation, error) {
	first := min(unknownStep, limit+1)
	held, err := a.Reserve(ctx, 2*first)
	if err != nil {
		return nil, nil, err
	}
	text, err := io.ReadAll(io.LimitReader(body, int64(first)))
	if err == nil && identifier.Bytes(len(text)) == first && first <= limit {
		// A slice that grows is copied, so the former one counts as well.
		room := 2 * limit
		if limit := a.Limit(); limit > 0 {
			room = min(room, limit-limit/smallShare-held.Size())
		}
		if err = held.Grow(ctx, room); err == nil {
			var rest []byte
			rest, err = io.ReadAll(io.LimitReader(body, int64(limit+1-first)))
			text = append(text, rest...)
		}
	}
	switch {
	case err != nil:
	case identifier.Bytes(len(text)) > limit:
		err = ErrTooLarge
	default:
		held.Set(identifier.Bytes(cap(text)))
		return text, held, nil
	}
	held.Release()
	return nil, nil, err
}
