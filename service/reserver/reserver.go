package reserver

import (
	"context"
	"fmt"
	"slices"
	"sync"
	"time"

	"celerygap.example/lib/identifier"
)

const (
	// SmallSize is the largest size of a reservation that does not wait behind larger ones.
	SmallSize = identifier.Bytes(64 << 10)
	// smallShare is the part of the limit that only small reservations use.
	smallShare = 8
	// DefaultMaxWait is how long a reservation waits: less than the time in which callers give up a connection that does not read.
	DefaultMaxWait = 600 * time.Millisecond
	// DefaultMaxWaiting bounds the reservations that wait, each of which holds a connection with unread bytes.
	DefaultMaxWaiting = 64
	// minRetryAfter and maxRetryAfter bound FullError.RetryAfter.
	minRetryAfter = 500 * time.Millisecond
	maxRetryAfter = 10 * time.Second
	// holdWeight is the weight of the newest value in the average time for which reservations are held.
	holdWeight = 0.2
)

// Config configures an Account.
type Config struct {
	// Limit is the memory to divide; zero or less means no limit.
	Limit identifier.Bytes
	// MaxWait is how long a reservation waits, and MaxWaiting how many do; zero means the defaults.
	MaxWait    time.Duration
	MaxWaiting int
}

// FullError means that the memory for callers is taken.
type FullError struct {
	// Size is what was asked for, Used what is taken, of Limit.
	Size, Used, Limit identifier.Bytes
	// RetryAfter is the estimated time until there is room.
	RetryAfter time.Duration
}

// Error contains the sizes.
func (e *FullError) Error() string {
	return fmt.Sprintf("the memory for callers is taken: %d of %d bytes in use, %d more needed", e.Used, e.Limit, e.Size)
}

// Account divides the memory of a process; a nil Account has no limit. It is safe for concurrent use.
type Account struct {
	config Config

	mu   sync.Mutex
	used identifier.Bytes
	peak identifier.Bytes
	// onFull is called when a reservation does not fit; it may be nil.
	onFull func()
	// waiting holds the large reservations that wait, the oldest first.
	waiting []*waiter
	// hold is the average time for which large reservations are held.
	hold time.Duration
}

type waiter struct {
	size    identifier.Bytes
	granted chan struct{}
}

// Reservation is memory that its holder may use until Release; a nil one is empty.
type Reservation struct {
	account *Account
	size    identifier.Bytes
	since   time.Time
}

// New returns an account of which nothing is used.
func New(config Config) *Account {
	if config.MaxWait <= 0 {
		config.MaxWait = DefaultMaxWait
	}
	if config.MaxWaiting <= 0 {
		config.MaxWaiting = DefaultMaxWaiting
	}
	return &Account{config: config, hold: minRetryAfter}
}

// OnFull sets a function that is called when a reservation has to wait or is refused. It may release others.
func (a *Account) OnFull(call func()) {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.onFull = call
}

// Limit returns the limit, or 0 if there is none.
func (a *Account) Limit() identifier.Bytes {
	if a == nil {
		return 0
	}
	return max(a.config.Limit, 0)
}

// Used returns the number of bytes that are reserved.
func (a *Account) Used() identifier.Bytes {
	if a == nil {
		return 0
	}
	a.mu.Lock()
	defer a.mu.Unlock()
	return a.used
}

// Peak returns the largest number of bytes that were reserved at the same time.
func (a *Account) Peak() identifier.Bytes {
	if a == nil {
		return 0
	}
	a.mu.Lock()
	defer a.mu.Unlock()
	return a.peak
}

// Reserve reserves memory, after a wait if necessary. Instead of more than there can be for one reservation it reserves all of
// that, so that its holder runs alone. The error is a *FullError or that of ctx.
func (a *Account) Reserve(ctx context.Context, size identifier.Bytes) (*Reservation, error) {
	if a == nil || a.config.Limit <= 0 {
		return nil, nil
	}
	size = min(size, a.largest())
	if err := a.take(ctx, size); err != nil {
		return nil, err
	}
	return &Reservation{account: a, size: size, since: time.Now()}, nil
}

// Charge reserves memory for work that is accepted already, whether or not there is room.
func (a *Account) Charge(size identifier.Bytes) *Reservation {
	if a == nil || a.config.Limit <= 0 {
		return nil
	}
	a.mu.Lock()
	defer a.mu.Unlock()
	a.add(size)
	return &Reservation{account: a, size: size, since: time.Now()}
}

// take adds size to what is used, after a wait if necessary.
func (a *Account) take(ctx context.Context, size identifier.Bytes) error {
	a.mu.Lock()
	small := size <= SmallSize
	if (small || len(a.waiting) == 0) && a.fits(size) {
		a.add(size)
		a.mu.Unlock()
		return nil
	}
	onFull := a.onFull
	if len(a.waiting) >= a.config.MaxWaiting {
		err := a.full(size)
		a.mu.Unlock()
		call(onFull)
		return err
	}
	w := &waiter{size: size, granted: make(chan struct{})}
	if small {
		a.waiting = slices.Insert(a.waiting, 0, w)
	} else {
		a.waiting = append(a.waiting, w)
	}
	a.mu.Unlock()
	call(onFull)
	limit := time.NewTimer(a.config.MaxWait)
	defer limit.Stop()
	select {
	case <-w.granted:
		return nil
	case <-limit.C:
	case <-ctx.Done():
	}
	a.mu.Lock()
	defer a.mu.Unlock()
	index := slices.Index(a.waiting, w)
	if index < 0 {
		return nil
	}
	err := ctx.Err()
	if err == nil {
		err = a.full(size)
	}
	a.waiting = slices.Delete(a.waiting, index, index+1)
	a.grant()
	return err
}

func call(f func()) {
	if f != nil {
		f()
	}
}

// fits reports whether there is room; a.mu must be held.
func (a *Account) fits(size identifier.Bytes) bool {
	room := a.config.Limit
	if size > SmallSize {
		room = a.largest()
	}
	return a.used+size <= room
}

// Largest returns the largest size of one reservation, or 0 if there is no limit.
func (a *Account) Largest() identifier.Bytes {
	if a.Limit() == 0 {
		return 0
	}
	return a.largest()
}

// largest returns the largest size of one reservation.
func (a *Account) largest() identifier.Bytes { return a.config.Limit - a.config.Limit/smallShare }

// full returns the error for a reservation that gets no room. What waits before it is served in turns of the average time for which
// reservations are held. a.mu must be held.
func (a *Account) full(size identifier.Bytes) error {
	ahead := identifier.Bytes(0)
	for _, w := range a.waiting {
		ahead += w.size
	}
	turns := 1 + int(ahead/max(a.config.Limit, 1))
	return &FullError{
		Size: size, Used: a.used, Limit: a.config.Limit,
		RetryAfter: min(max(time.Duration(turns)*a.hold, minRetryAfter), maxRetryAfter),
	}
}

func (a *Account) add(size identifier.Bytes) {
	a.used += size
	a.peak = max(a.peak, a.used)
}

// grant serves those that wait, in their order; a.mu must be held.
func (a *Account) grant() {
	for len(a.waiting) > 0 && a.fits(a.waiting[0].size) {
		w := a.waiting[0]
		a.waiting = slices.Delete(a.waiting, 0, 1)
		a.add(w.size)
		close(w.granted)
	}
}

// Size returns the bytes of the reservation.
func (r *Reservation) Size() identifier.Bytes {
	if r == nil {
		return 0
	}
	return r.size
}

// Grow adds to the reservation, after a wait if necessary. Its errors are those of Account.Reserve, and ErrTooLarge if there can
// never be as much room.
func (r *Reservation) Grow(ctx context.Context, more identifier.Bytes) error {
	if r == nil {
		return nil
	}
	if r.size+more > r.account.largest() {
		return ErrTooLarge
	}
	if err := r.account.take(ctx, more); err != nil {
		return err
	}
	r.size += more
	return nil
}

// Set changes the size of the reservation to what its holder uses, whether or not there is room.
func (r *Reservation) Set(size identifier.Bytes) {
	if r == nil || size == r.size {
		return
	}
	a := r.account
	a.mu.Lock()
	defer a.mu.Unlock()
	a.add(size - r.size)
	r.size = size
	a.grant()
}

// Release ends the reservation; it may be called again.
func (r *Reservation) Release() {
	if r == nil || r.size == 0 {
		return
	}
	if r.size > SmallSize {
		held := time.Since(r.since)
		r.account.mu.Lock()
		r.account.hold += time.Duration(holdWeight * float64(held-r.account.hold))
		r.account.mu.Unlock()
	}
	r.Set(0)
}
