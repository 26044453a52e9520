package scaler

import "time"

// peakWindow is the time over which the peak of the work counts.
const peakWindow = 30 * time.Second

// peak holds the greatest value of each of the last seconds.
type peak struct {
	values [int(peakWindow / time.Second)]float64
	// second is the newest one of values, in seconds since origin.
	second int64
	origin time.Time
}

// add records a value.
func (p *peak) add(now time.Time, value float64) {
	p.advance(now)
	i := p.second % int64(len(p.values))
	p.values[i] = max(p.values[i], value)
}

// advance clears the seconds that have passed since the last call.
func (p *peak) advance(now time.Time) {
	if p.origin.IsZero() {
		p.origin = now
	}
	second := int64(now.Sub(p.origin) / time.Second)
	for steps := min(second-p.second, int64(len(p.values))); steps > 0; steps-- {
		p.values[(second-steps+1)%int64(len(p.values))] = 0
	}
	p.second = max(p.second, second)
}

// highest returns the greatest value of the window.
func (p *peak) highest(now time.Time) float64 { return p.highestOf(now, peakWindow) }

// highestOf returns the greatest value of the last part of the window.
func (p *peak) highestOf(now time.Time, window time.Duration) float64 {
	p.advance(now)
	highest := 0.0
	for back := range min(int64(window/time.Second), p.second+1, int64(len(p.values))) {
		highest = max(highest, p.values[(p.second-back)%int64(len(p.values))])
	}
	return highest
}
