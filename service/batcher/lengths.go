package batcher

import (
	"math"

	"celerygap.example/lib/identifier"
)

const (
	// lengthBuckets covers lengths from 1 to 65536 events in steps of a fourth root of two.
	lengthBuckets = 64
	bucketsPerTwo = 4
	// maxModels bounds the models of which lengths are learned; further ones have the prior.
	maxModels = 256
	// priorWeight is how many texts the prior counts for, and lengthMemory after how many texts an old one counts half.
	priorWeight  = 4
	lengthMemory = 512
	// priorSpread and priorLength describe the lengths before any text is complete, as logarithms to base 2: texts of about 32
	// events, most between 16 and 64.
	priorSpread = 0.9
	priorLength = 5
)

// histogram counts texts by bucket, with weights that grow so that older texts count less.
type histogram struct {
	weights [lengthBuckets]float64
	newest  float64
}

func newHistogram(center float64) *histogram {
	h := &histogram{newest: 1}
	var sum float64
	for i := range h.weights {
		deviation := (float64(i) - center) / bucketsPerTwo / priorSpread
		h.weights[i] = math.Exp(-deviation * deviation / 2)
		sum += h.weights[i]
	}
	for i := range h.weights {
		h.weights[i] *= priorWeight / sum
	}
	return h
}

func (h *histogram) add(bucket int) {
	h.newest *= 1 + math.Ln2/lengthMemory
	h.weights[min(max(bucket, 0), lengthBuckets-1)] += h.newest
	if h.newest > 1e9 {
		for i := range h.weights {
			h.weights[i] /= h.newest
		}
		h.newest = 1
	}
}

// remaining returns the expected number of events of a text beyond those that it has; scale is the length of bucket 0.
func (h *histogram) remaining(scale, events float64) float64 {
	var weight, sum float64
	for i, w := range h.weights {
		if length := scale * bucketSize[i]; length > events {
			weight += w
			sum += w * (length - events)
		}
	}
	if weight < 1e-6 {
		// The text is longer than all others: as with heavy tails, it goes on for a share of its length.
		return max(events/4, 1)
	}
	return max(sum/weight, 1)
}

// bucketSize holds the size at the centre of each bucket, in relation to bucket 0.
var bucketSize = func() (sizes [lengthBuckets]float64) {
	for i := range sizes {
		sizes[i] = math.Exp2(float64(i) / bucketsPerTwo)
	}
	return sizes
}()

// lengths is the learned distribution of the lengths of texts by model, divided by the hints of the items: what the submitter expects
// of one item in relation to the others of its job.
type lengths struct {
	models map[identifier.ModelName]*histogram
	prior  *histogram
}

func newLengths() *lengths {
	return &lengths{models: make(map[identifier.ModelName]*histogram), prior: newHistogram(priorLength * bucketsPerTwo)}
}

// learn adds a complete text.
func (l *lengths) learn(model identifier.ModelName, hint float64, events int) {
	known, ok := l.models[model]
	if !ok {
		if len(l.models) >= maxModels {
			return
		}
		known = newHistogram(priorLength * bucketsPerTwo)
		l.models[model] = known
	}
	known.add(int(math.Round(bucketsPerTwo * math.Log2(max(float64(events)/hint, 1)))))
}

// remaining returns the expected number of events that a text of a model still gets.
func (l *lengths) remaining(model identifier.ModelName, hint float64, events int) float64 {
	known, ok := l.models[model]
	if !ok {
		known = l.prior
	}
	return known.remaining(hint, float64(events))
}

// mean returns the expected length of a text of a model whose hint is 1.
func (l *lengths) mean(model identifier.ModelName) float64 { return l.remaining(model, 1, 0) }
