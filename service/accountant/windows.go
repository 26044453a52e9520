package accountant

import (
	"time"

	"celerygap.example/lib/codec"
	"celerygap.example/lib/identifier"
)

const (
	// keepTime is how long after its end a window is kept and may be reported.
	keepTime = 60 * time.Second
	// aheadTime is how far a window of another host may lie in the future; true times of hosts differ by less.
	aheadTime = 10 * time.Second
)

// Counts holds requests by customer.
type Counts = codec.CustomerCounts

// Windows relates windows to true time.
type Windows struct{ Length time.Duration }

// At returns the window that contains a time.
func (w Windows) At(at time.Time) identifier.UsageWindow {
	return identifier.UsageWindow(at.UnixNano() / int64(w.Length))
}

// End returns the end of a window.
func (w Windows) End(window identifier.UsageWindow) time.Time {
	return time.Unix(0, (int64(window)+1)*int64(w.Length))
}

// kept reports whether a window is neither too old nor in the future.
func (w Windows) kept(window identifier.UsageWindow, now time.Time) bool {
	age := now.Sub(w.End(window))
	return age <= keepTime && age >= -w.Length-aheadTime
}

// oldest returns the oldest window that may still be reported.
func (w Windows) oldest(now time.Time) identifier.UsageWindow { return w.At(now.Add(-keepTime)) }

// total returns the requests of all customers.
func total(counts Counts) int64 {
	sum := int64(0)
	for _, count := range counts {
		sum += count
	}
	return sum
}

// mergeLargest sets each count of into to the larger one of both. Counts of a process only grow, so the larger one is the newer.
func mergeLargest(into, from Counts) {
	for customer, count := range from {
		into[customer] = max(into[customer], count)
	}
}
