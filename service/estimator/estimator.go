package estimator

import (
	"cmp"
	"math"
	"math/bits"

	"celerygap.example/lib/identifier"
)

const (
	// DefaultMaxClasses bounds the classes; each takes about 600 bytes.
	DefaultMaxClasses = 2048
	// memory is the number of requests after which an old one counts half.
	memory = 256
	// priorSpread is the spread of the prior as a logarithm to base 2: costs of which nothing is known differ fourfold.
	priorSpread = 2
	// ownWeight is the number of requests at which the estimate of a class counts as much as that of its route.
	ownWeight = 8
	// jumpShare is the share of the recent costs outside of the middle nine tenths of the distribution above which the
	// distribution no longer holds; recentWeight is the weight of the newest cost in that share.
	jumpShare    = 0.7
	recentWeight = 0.15
	lowTail      = 0.05
	highTail     = 0.95
	// weightAfterJump is what counts of a distribution that no longer holds.
	weightAfterJump = 2
	// maxTail caps a cost at this multiple of the 95th percentile, so that one request of a heavy tail is not taken for the mean.
	maxTail = 8
	// calibrationWeight is the weight of the newest request in the calibration.
	calibrationWeight = 0.01
)

// Config configures an Estimator.
type Config struct {
	// Lowest and PriorMedian are the lowest cost that is told apart and the median of those of which nothing is known.
	Lowest, PriorMedian float64
	// MaxClasses bounds the classes; zero means DefaultMaxClasses.
	MaxClasses int
}

// Key is what is known of a request before it runs.
type Key struct {
	Route    identifier.EntryName
	Model    identifier.ModelName
	Customer identifier.CustomerName
	// Size is the class of the body size, from SizeOf.
	Size int
}

// SizeOf returns the class of a body size: the number of its bits.
func SizeOf(body identifier.Bytes) int { return bits.Len64(uint64(max(body, 0))) }

// Estimate is the expected cost of a request.
type Estimate struct {
	Mean float64
	// High is the cost that nine of ten requests do not exceed.
	High float64
	// Known is the number of earlier requests on which the estimate rests.
	Known float64
}

// Calibration compares the estimates with the costs that were seen afterwards.
type Calibration struct {
	// Ratio is the mean of the seen costs in relation to the mean of the estimates, and Covered the share of the seen costs that
	// did not exceed the high estimate; it should be nine tenths.
	Ratio, Covered float64
}

// class is the distribution of the costs of one class.
type class struct {
	costs *Histogram
	// surprise is the share of recent costs in the tails.
	surprise float64
	used     bool
}

// Estimator is the state machine; it is not safe for concurrent use.
type Estimator struct {
	config  Config
	classes map[Key]*class
	// order holds the keys of all classes; next is where the search for one to drop goes on.
	order []Key
	next  int
	// estimated and seen are the moving averages of the estimates and the costs; covered that of the share below the high estimate.
	estimated, seen, covered float64
	prior                    *Histogram
}

// New returns an estimator that knows only the prior.
func New(config Config) *Estimator {
	config.MaxClasses = cmp.Or(config.MaxClasses, DefaultMaxClasses)
	e := &Estimator{config: config}
	e.Forget()
	return e
}

// Forget discards all that was learned, after a change of the configuration.
func (e *Estimator) Forget() {
	e.classes = make(map[Key]*class)
	e.order, e.next = nil, 0
	e.estimated, e.seen, e.covered = 0, 0, highShare
	e.prior = e.newHistogram()
}

// highShare is the share of the requests that do not exceed Estimate.High.
const highShare = 0.9

func (e *Estimator) newHistogram() *Histogram {
	return NewHistogram(HistogramConfig{
		Lowest: e.config.Lowest, PriorMedian: e.config.PriorMedian, PriorSpread: priorSpread, PriorWeight: 1, Memory: memory,
	})
}

// levels returns the classes of a request, from the most general one.
func levels(key Key) [3]Key {
	return [3]Key{{Route: key.Route, Size: -1}, {Route: key.Route, Size: key.Size}, key}
}

// Estimate returns the expected cost of a request.
func (e *Estimator) Estimate(key Key) Estimate {
	estimate := Estimate{Mean: e.prior.Mean(), High: e.prior.Quantile(highShare)}
	for _, level := range levels(key) {
		c, ok := e.classes[level]
		if !ok {
			continue
		}
		c.used = true
		weight := c.costs.Weight()
		share := weight / (weight + ownWeight)
		estimate.Mean += share * (c.costs.Mean() - estimate.Mean)
		estimate.High += share * (c.costs.Quantile(highShare) - estimate.High)
		estimate.Known = max(estimate.Known, weight-1)
	}
	return estimate
}

// Learn adds the cost of a request that ended. Costs that are not positive are ignored.
func (e *Estimator) Learn(key Key, cost float64) {
	if !(cost > 0) || math.IsInf(cost, 0) {
		return
	}
	e.calibrate(e.Estimate(key), cost)
	for _, level := range levels(key) {
		e.classOf(level).learn(cost)
	}
}

func (c *class) learn(cost float64) {
	low, high := c.costs.Quantile(lowTail), c.costs.Quantile(highTail)
	outside := 0.0
	if cost > 1.5*high || cost < low/1.5 {
		outside = 1
	}
	c.surprise += recentWeight * (outside - c.surprise)
	if c.surprise > jumpShare {
		c.costs.Forget(weightAfterJump)
		c.surprise = 0
	}
	if c.costs.Weight() > ownWeight {
		cost = min(cost, maxTail*high)
	}
	c.costs.Add(cost)
}

func (e *Estimator) calibrate(estimate Estimate, cost float64) {
	if e.estimated == 0 {
		e.estimated, e.seen = estimate.Mean, estimate.Mean
	}
	e.estimated += calibrationWeight * (estimate.Mean - e.estimated)
	e.seen += calibrationWeight * (cost - e.seen)
	covered := 0.0
	if cost <= estimate.High {
		covered = 1
	}
	e.covered += calibrationWeight * (covered - e.covered)
}

// Calibration returns the calibration of the last hundred or so estimates.
func (e *Estimator) Calibration() Calibration {
	if e.estimated <= 0 {
		return Calibration{Ratio: 1, Covered: e.covered}
	}
	return Calibration{Ratio: e.seen / e.estimated, Covered: e.covered}
}

// classOf returns the class of a key. If there are too many, it drops one that was not used since the search last came by.
func (e *Estimator) classOf(key Key) *class {
	if c, ok := e.classes[key]; ok {
		return c
	}
	c := &class{costs: e.newHistogram()}
	e.classes[key] = c
	if len(e.order) < e.config.MaxClasses {
		e.order = append(e.order, key)
		return c
	}
	for {
		e.next = (e.next + 1) % len(e.order)
		if candidate := e.classes[e.order[e.next]]; candidate.used {
			candidate.used = false
			continue
		}
		delete(e.classes, e.order[e.next])
		e.order[e.next] = key
		return c
	}
}
