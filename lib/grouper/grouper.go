package grouper

import (
	"context"
	"runtime"

	"github.com/oklog/run"
	"golang.org/x/sync/errgroup"
)

// Duty is a long-running function that returns when its context ends.
type Duty struct {
	Name string
	Run  func(context.Context) error
}

// Config configures Supervise.
type Config struct {
	// LockThreads locks the goroutine of each duty to its own OS thread.
	LockThreads bool
}

// Supervise runs the duties until one returns or ctx ends, then cancels the others and waits for them. It returns the
// error of the duty that returned first, and nil if ctx ended first.
func Supervise(ctx context.Context, config Config, duties ...Duty) error {
	var group run.Group
	for _, duty := range duties {
		dutyCtx, cancel := context.WithCancel(ctx)
		group.Add(func() error {
			if config.LockThreads {
				runtime.LockOSThread()
			}
			return duty.Run(dutyCtx)
		}, func(error) { cancel() })
	}
	stopCtx, stop := context.WithCancel(ctx)
	group.Add(func() error {
		<-stopCtx.Done()
		return nil
	}, func(error) { stop() })
	return group.Run()
}

// Group runs short-lived functions in goroutines, with bounded concurrency, and waits for them.
type Group struct {
	group errgroup.Group
}

// NewGroup returns a group in which at most limit functions run at the same time; a negative limit means no limit.
func NewGroup(limit int) *Group {
	g := &Group{}
	g.group.SetLimit(limit)
	return g
}

// Go starts f. Before that, it blocks while the limit of running functions is reached.
func (g *Group) Go(f func()) {
	g.group.Go(func() error {
		f()
		return nil
	})
}

// TryGo starts f unless the limit of running functions is reached, and reports whether it did.
func (g *Group) TryGo(f func()) bool {
	return g.group.TryGo(func() error {
		f()
		return nil
	})
}

// Wait blocks until all started functions have returned.
func (g *Group) Wait() { _ = g.group.Wait() }
