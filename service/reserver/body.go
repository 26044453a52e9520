package reserver

import (
	"context"
	"errors"
	"io"
	"slices"

	"celerygap.example/lib/identifier"
)

// stages are the sizes up to which a body without a stated length is read before room for more is reserved, the last of which is
// that of the longest body. There are few, so that half-read bodies seldom wait for each other.
var stages = []identifier.Bytes{32 << 10, 1 << 20}

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

// readUnknown reads a body whose length is not stated.
func (a *Account) readUnknown(ctx context.Context, body io.Reader, limit identifier.Bytes) ([]byte, *Reservation, error) {
	held, err := a.Reserve(ctx, 0)
	if err != nil {
		return nil, nil, err
	}
	var text []byte
	for _, stage := range append(slices.Clone(stages), limit+1) {
		stage = min(stage, limit+1)
		// A slice that grows is copied, so the former one counts as well.
		if err = a.growTo(ctx, held, 2*stage); err != nil {
			break
		}
		var more []byte
		more, err = io.ReadAll(io.LimitReader(body, int64(stage)-int64(len(text))))
		text = append(text, more...)
		if err != nil || identifier.Bytes(len(text)) < stage {
			break
		}
	}
	if err == nil && identifier.Bytes(len(text)) > limit {
		err = ErrTooLarge
	}
	if err != nil {
		held.Release()
		return nil, nil, err
	}
	held.Set(identifier.Bytes(cap(text)))
	return text, held, nil
}

// growTo grows a reservation to a size, or to as much as there can be for one.
func (a *Account) growTo(ctx context.Context, held *Reservation, size identifier.Bytes) error {
	if a.Limit() > 0 {
		size = min(size, a.largest())
	}
	if size <= held.Size() {
		return nil
	}
	return held.Grow(ctx, size-held.Size())
}
