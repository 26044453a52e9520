package timer

import (
	"context"
	"sync"
	"time"
)

// DefaultResolution is the shortest time between two ticks.
const DefaultResolution = 5 * time.Millisecond

// maxWait is how long Run sleeps if there is no subscription.
const maxWait = time.Hour

// Service provides the current time and sends ticks to its subscribers.
type Service struct {
	resolution time.Duration
	changed    chan struct{}

	mu            sync.Mutex
	next          int
	subscriptions map[int]*subscription
}

type subscription struct {
	interval time.Duration
	due      time.Time
	ticks    chan time.Time
}

// Config configures a time service.
type Config struct {
	// Resolution is the shortest time between two ticks; zero means DefaultResolution.
	Resolution time.Duration
}

// New returns a time service; ticks start with Run.
func New(config Config) *Service {
	if config.Resolution <= 0 {
		config.Resolution = DefaultResolution
	}
	return &Service{
		resolution:    config.Resolution,
		changed:       make(chan struct{}, 1),
		subscriptions: make(map[int]*subscription),
	}
}

// Now returns the current time with its monotonic reading.
func (s *Service) Now() time.Time { return time.Now() }

// Subscribe returns a channel that receives a tick each interval, and a function that ends the subscription.
// A tick that the subscriber has not taken is dropped, so a slow subscriber never gets a backlog.
func (s *Service) Subscribe(interval time.Duration) (ticks <-chan time.Time, cancel func()) {
	s.mu.Lock()
	defer s.mu.Unlock()
	id := s.next
	s.next++
	sub := &subscription{interval: interval, due: time.Now().Add(interval), ticks: make(chan time.Time, 1)}
	s.subscriptions[id] = sub
	select {
	case s.changed <- struct{}{}:
	default:
	}
	return sub.ticks, func() {
		s.mu.Lock()
		defer s.mu.Unlock()
		delete(s.subscriptions, id)
	}
}

// Each calls a function each interval until the context ends. Ticks that come due during a call are dropped but for one, so a slow
// function never gets a backlog.
func (s *Service) Each(ctx context.Context, interval time.Duration, call func()) {
	ticks, cancel := s.Subscribe(interval)
	defer cancel()
	for {
		select {
		case <-ctx.Done():
			return
		case <-ticks:
			call()
		}
	}
}

// Run sends ticks until the context ends. It sleeps until the next subscription is due: a fixed tick of 5 ms would wake
// each idle host 200 times a second.
func (s *Service) Run(ctx context.Context) error {
	wakeUp := time.NewTimer(s.wait(time.Now()))
	defer wakeUp.Stop()
	for {
		select {
		case <-ctx.Done():
			return nil
		case <-s.changed:
		case now := <-wakeUp.C:
			s.fire(now)
		}
		wakeUp.Reset(s.wait(time.Now()))
	}
}

// wait returns the time until the next subscription is due, at least the resolution, so that subscriptions that are due
// close together share a wake-up.
func (s *Service) wait(now time.Time) time.Duration {
	s.mu.Lock()
	defer s.mu.Unlock()
	next := maxWait
	for _, sub := range s.subscriptions {
		next = min(next, sub.due.Sub(now))
	}
	return max(next, s.resolution)
}

func (s *Service) fire(now time.Time) {
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, sub := range s.subscriptions {
		if now.Before(sub.due) {
			continue
		}
		sub.due = now.Add(sub.interval)
		select {
		case sub.ticks <- now:
		default:
		}
	}
}
