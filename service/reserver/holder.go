package reserver

import (
	"context"
	"sync"
)

// Holder keeps reservations until the end of the request that they belong to, such as that of a response until its caller has
// read it. It is safe for concurrent use.
type Holder struct {
	mu       sync.Mutex
	releases []func()
}

type holderKey struct{}

// WithHolder returns a context for a request, and the Holder of its reservations, which the caller must release.
func WithHolder(ctx context.Context) (context.Context, *Holder) {
	h := &Holder{}
	return context.WithValue(ctx, holderKey{}, h), h
}

// HolderOf returns the Holder of a request, or nil if it has none.
func HolderOf(ctx context.Context) *Holder {
	h, _ := ctx.Value(holderKey{}).(*Holder)
	return h
}

// Keep calls release at the end of the request, or at once for a nil Holder.
func (h *Holder) Keep(release func()) {
	if h == nil {
		release()
		return
	}
	h.mu.Lock()
	defer h.mu.Unlock()
	h.releases = append(h.releases, release)
}

// Release ends all reservations.
func (h *Holder) Release() {
	h.mu.Lock()
	defer h.mu.Unlock()
	for _, release := range h.releases {
		release()
	}
	h.releases = nil
}
