package accountant

import (
	"maps"
	"slices"
	"time"

	"celerygap.example/lib/codec"
	"celerygap.example/lib/identifier"
)

const (
	// sendInterval is the least time between two messages to a collecting host, and so bounds what is lost with a host.
	sendInterval = time.Second
	// flushDelay is how long after the end of a window its last counts are sent without waiting for sendInterval. It covers
	// the time until it is known that an attempt was not rejected, and leaves most of the time before the report for the message.
	flushDelay = 500 * time.Millisecond
)

// Destination is a process of a host that collects counts.
type Destination struct {
	Host        identifier.HostID
	Incarnation identifier.Incarnation
}

// Counter is the state machine that counts the requests of one host process and decides what is sent when.
type Counter struct {
	windows Windows
	counts  map[identifier.UsageWindow]Counts
	sent    map[Destination]*progress
}

// progress is what a destination has confirmed.
type progress struct {
	confirmed map[identifier.UsageWindow]Counts
	sentAt    time.Time
	// busy is set while a message is outstanding, which carries sending.
	busy    bool
	sending []codec.WindowCounts
}

// NewCounter returns a Counter without counts.
func NewCounter(windows Windows) *Counter {
	return &Counter{windows: windows, counts: make(map[identifier.UsageWindow]Counts), sent: make(map[Destination]*progress)}
}

// Started counts a request that began at a true time.
func (c *Counter) Started(customer identifier.CustomerName, at time.Time) {
	window := c.windows.At(at)
	if c.counts[window] == nil {
		c.counts[window] = make(Counts)
	}
	c.counts[window][customer]++
}

// Send is the command to send counts to a destination; Ended must be called with the result.
type Send struct {
	To      Destination
	Windows []codec.WindowCounts
}

// Due returns the messages that are due to the destinations; others are forgotten. With flush, messages do not wait.
func (c *Counter) Due(now time.Time, destinations []Destination, flush bool) []Send {
	c.forget(now, destinations)
	var sends []Send
	for _, to := range destinations {
		p, known := c.sent[to]
		if !known {
			p = &progress{confirmed: make(map[identifier.UsageWindow]Counts)}
			c.sent[to] = p
		}
		if p.busy || !flush && !c.due(now, p) {
			continue
		}
		// The first message is sent even without counts, because it shows whether the host knows the method.
		if changed := c.changed(p); len(changed) > 0 || !known {
			p.sentAt, p.busy, p.sending = now, true, changed
			sends = append(sends, Send{To: to, Windows: changed})
		}
	}
	return sends
}

// due reports whether a message may be sent: sendInterval has passed, or the last one was too early for the last window's end.
func (c *Counter) due(now time.Time, p *progress) bool {
	flushAt := c.windows.End(c.windows.At(now) - 1).Add(flushDelay)
	return now.Sub(p.sentAt) >= sendInterval || p.sentAt.Before(flushAt) && !now.Before(flushAt)
}

func (c *Counter) forget(now time.Time, destinations []Destination) {
	maps.DeleteFunc(c.counts, func(window identifier.UsageWindow, _ Counts) bool { return !c.windows.kept(window, now) })
	maps.DeleteFunc(c.sent, func(to Destination, _ *progress) bool { return !slices.Contains(destinations, to) })
	for _, p := range c.sent {
		maps.DeleteFunc(p.confirmed, func(window identifier.UsageWindow, _ Counts) bool { return !c.windows.kept(window, now) })
	}
}

// Confirmed reports whether the destinations have confirmed all counts.
func (c *Counter) Confirmed(destinations []Destination) bool {
	return !slices.ContainsFunc(destinations, func(to Destination) bool {
		p := c.sent[to]
		return p == nil || p.busy || len(c.changed(p)) > 0
	})
}

// changed returns the counts that a destination has not confirmed, in order of the window.
func (c *Counter) changed(p *progress) []codec.WindowCounts {
	var changed []codec.WindowCounts
	for _, window := range slices.Sorted(maps.Keys(c.counts)) {
		counts := make(Counts)
		for customer, count := range c.counts[window] {
			if count > p.confirmed[window][customer] {
				counts[customer] = count
			}
		}
		if len(counts) > 0 {
			changed = append(changed, codec.WindowCounts{Window: window, Counts: counts})
		}
	}
	return changed
}

// Ended records the result of a Send.
func (c *Counter) Ended(to Destination, confirmed bool) {
	p := c.sent[to]
	if p == nil {
		return
	}
	for _, sent := range p.sending {
		if !confirmed {
			break
		}
		if p.confirmed[sent.Window] == nil {
			p.confirmed[sent.Window] = make(Counts)
		}
		mergeLargest(p.confirmed[sent.Window], sent.Counts)
	}
	p.busy, p.sending = false, nil
}
