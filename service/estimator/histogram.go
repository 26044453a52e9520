package estimator

import "math"

const (
	// buckets covers a range of 2 to the power of 16, in steps of a fourth root of two.
	buckets       = 64
	bucketsPerTwo = 4
	// maxWeight is the weight of the newest value at which all weights are scaled down again.
	maxWeight = 1e9
)

// sizes holds the value at the centre of each bucket, in relation to bucket 0.
var sizes = func() (sizes [buckets]float64) {
	for i := range sizes {
		sizes[i] = math.Exp2(float64(i) / bucketsPerTwo)
	}
	return sizes
}()

// HistogramConfig configures a Histogram.
type HistogramConfig struct {
	// Lowest is the value of the lowest bucket; the highest one is 2 to the power of 16 times as high.
	Lowest float64
	// PriorMedian, PriorSpread and PriorWeight describe the values before any is added: their median, the standard deviation of
	// their logarithm to base 2, and how many values this counts for.
	PriorMedian, PriorSpread, PriorWeight float64
	// Memory is the number of values after which an old one counts half.
	Memory float64
}

// Histogram is a distribution of positive values that forgets old ones.
type Histogram struct {
	config  HistogramConfig
	weights [buckets]float64
	newest  float64
	total   float64
	// sum is the weighted sum of the bucket values, so that Mean does not scan.
	sum float64
}

// NewHistogram returns a histogram that holds the prior.
func NewHistogram(config HistogramConfig) *Histogram {
	h := &Histogram{config: config, newest: 1}
	center := math.Log2(config.PriorMedian/config.Lowest) * bucketsPerTwo
	var total float64
	for i := range h.weights {
		deviation := (float64(i) - center) / bucketsPerTwo / config.PriorSpread
		h.weights[i] = math.Exp(-deviation * deviation / 2)
		total += h.weights[i]
	}
	h.scale(config.PriorWeight / total)
	return h
}

func (h *Histogram) scale(factor float64) {
	h.total, h.sum = 0, 0
	for i := range h.weights {
		h.weights[i] *= factor
		h.total += h.weights[i]
		h.sum += h.weights[i] * sizes[i]
	}
}

// Add adds a value; one outside of the range counts as the lowest or highest.
func (h *Histogram) Add(value float64) {
	h.newest *= 1 + math.Ln2/h.config.Memory
	bucket := h.bucket(value)
	h.weights[bucket] += h.newest
	h.total += h.newest
	h.sum += h.newest * sizes[bucket]
	if h.newest > maxWeight {
		h.scale(1 / h.newest)
		h.newest = 1
	}
}

func (h *Histogram) bucket(value float64) int {
	if !(value > h.config.Lowest) {
		return 0
	}
	return min(int(math.Round(bucketsPerTwo*math.Log2(value/h.config.Lowest))), buckets-1)
}

// Forget makes all values count for that many new ones.
func (h *Histogram) Forget(weight float64) { h.scale(weight * h.newest / h.total) }

// Weight returns how many new values the distribution counts for.
func (h *Histogram) Weight() float64 { return h.total / h.newest }

// Mean returns the mean value.
func (h *Histogram) Mean() float64 { return h.config.Lowest * h.sum / h.total }

// Quantile returns the value below which a share of the values lies.
func (h *Histogram) Quantile(share float64) float64 {
	below := 0.0
	for i, w := range h.weights {
		if below += w; below >= share*h.total {
			return h.config.Lowest * sizes[i]
		}
	}
	return h.config.Lowest * sizes[buckets-1]
}

// Remaining returns the expected excess over a value of those that are larger, in values that are multiplied by a factor.
func (h *Histogram) Remaining(factor, value float64) float64 {
	var weight, sum float64
	unit := factor * h.config.Lowest
	for i, w := range h.weights {
		if size := unit * sizes[i]; size > value {
			weight += w
			sum += w * (size - value)
		}
	}
	if weight < 1e-6*h.newest {
		// The value exceeds all others: with heavy tails, the excess is a share of it.
		return value / 4
	}
	return sum / weight
}
