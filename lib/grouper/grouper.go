package grouper

import (
	"context"
	"runtime"

	"github.com/oklog/run"
	"golang.org/x/sync/errgroup"
)

// Duty is a long-lived function that returns when its context ends.
type Duty struct {
	Name string
	Run  func(context.Context) error
}

// Config configures a supervisor group.
type Config struct {
	// LockThreads gives each duty an OS thread of its own.
	LockThreads bool
}

// Supervise runs the duties until one returns or the context ends, then stops all of them and waits.
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

// Group runs short-lived functions and waits for them; at most limit run at once.
type Group struct {
	group errgroup.Group
}

// NewGroup returns a group in which at most limit functions run at once; a negative limit means no limit.
func NewGroup(limit int) *Group {
	g := &Group{}
	g.group.SetLimit(limit)
	return g
}

// Go runs f, waiting first for a free place.
func (g *Group) Go(f func()) {
	g.group.Go(func() error {
		f()
		return nil
	})
}

// TryGo runs f if a place is free and reports whether it did.
func (g *Group) TryGo(f func()) bool {
	return g.group.TryGo(func() error {
		f()
		return nil
	})
}

// Wait waits for all functions.
func (g *Group) Wait() { _ = g.group.Wait() }
