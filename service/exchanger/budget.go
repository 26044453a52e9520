package exchanger

import (
	"context"
	"errors"
	"io"
	"sync/atomic"

	"celerygap.example/lib/identifier"
	"celerygap.example/service/reserver"
)

// readStep is how much of a body is read before more memory is reserved. A body up to this size is not counted: there are
// at most as many as requests in flight.
const readStep = identifier.Bytes(64 << 10)

var (
	errBodyTooLarge    = errors.New("response body exceeds the limit")
	errBudgetExhausted = errors.New("response bodies take up all of the memory reserved for them")
)

// Budget bounds the memory of the response bodies and events that are being read at the same time. Without it, a few bodies without end
// would use up the memory of the process before any of them reaches its own limit.
type Budget struct {
	limit  identifier.Bytes
	memory *reserver.Account
	used   atomic.Int64
}

// NewBudget returns a budget of limit bytes, whose use is charged to memory as well; memory may be nil.
func NewBudget(limit identifier.Bytes, memory *reserver.Account) *Budget {
	return &Budget{limit: limit, memory: memory}
}

// Used returns the bytes that are reserved.
func (b *Budget) Used() identifier.Bytes { return identifier.Bytes(b.used.Load()) }

func (b *Budget) reserve(size identifier.Bytes) bool {
	if identifier.Bytes(b.used.Add(int64(size))) <= b.limit {
		return true
	}
	b.used.Add(-int64(size))
	return false
}

// Hold is what one reader has reserved from a Budget. It is not safe for concurrent use.
type Hold struct {
	budget   *Budget
	reserved identifier.Bytes
	charge   *reserver.Reservation
}

// Hold returns an empty Hold, which its reader must release.
func (b *Budget) Hold() *Hold { return &Hold{budget: b} }

// Grow reserves memory for size bytes altogether, of which the first readStep is not counted. It returns an error that IsTooLarge
// recognizes if the budget is used up.
func (h *Hold) Grow(size identifier.Bytes) error {
	for h.reserved+readStep < size {
		if !h.budget.reserve(readStep) {
			return errBudgetExhausted
		}
		if h.charge == nil {
			h.charge = h.budget.memory.Charge(0)
		}
		h.reserved += readStep
		h.charge.Set(max(h.charge.Size(), h.reserved))
	}
	return nil
}

// Release ends the reservation; the Hold may grow again.
func (h *Hold) Release() {
	h.budget.used.Add(-int64(h.reserved))
	h.charge.Release()
	h.reserved, h.charge = 0, nil
}

// ReadBody reads a body of at most limit bytes to its end. It returns an error that IsTooLarge recognizes if the body, or all
// bodies that are held with the budget together, are larger. The budget is used until the end of the request that ctx belongs to,
// if it has a reserver.Holder, as the response of a slow caller stays in memory.
func (b *Budget) ReadBody(ctx context.Context, body io.Reader, limit identifier.Bytes) ([]byte, error) {
	hold := &Hold{budget: b, charge: b.memory.Charge(0)}
	var text []byte
	for {
		step := min(readStep, limit+1-identifier.Bytes(len(text)))
		chunk, err := io.ReadAll(io.LimitReader(body, int64(step)))
		text = append(text, chunk...)
		hold.charge.Set(identifier.Bytes(cap(text)))
		switch {
		case err != nil:
		case identifier.Bytes(len(text)) > limit:
			err = errBodyTooLarge
		case identifier.Bytes(len(chunk)) < step:
			reserver.HolderOf(ctx).Keep(hold.Release)
			return text, nil
		default:
			err = hold.Grow(identifier.Bytes(len(text)) + readStep)
		}
		if err != nil {
			hold.Release()
			return nil, err
		}
	}
}

// IsTooLarge reports whether ReadBody failed because of the size of the body.
func IsTooLarge(err error) bool {
	return errors.Is(err, errBodyTooLarge) || errors.Is(err, errBudgetExhausted)
}
