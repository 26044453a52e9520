package batcher

import (
	"celerygap.example/lib/identifier"
	"celerygap.example/service/estimator"
)

const (
	// maxModels bounds the models of which lengths are learned; further ones have the prior.
	maxModels = 256
	// lengthPrior is how many texts the prior counts for, and lengthMemory after how many texts an old one counts half.
	lengthPrior  = 16
	lengthMemory = 512
	// usualLength and lengthSpread describe the lengths before any text is complete: texts of about 64 events, most between half
	// and twice as many, and as far off where the length is expected.
	usualLength  = 64
	lengthSpread = 0.9
	// lowestRatio is the smallest ratio of a length to the expected one that is told apart.
	lowestRatio = 1.0 / 256
)

// lengths is the learned distribution of the lengths of texts by model: in relation to the expected length where the item names
// one, and in events where it does not.
type lengths struct {
	models map[identifier.ModelName]*modelLengths
	prior  *modelLengths
}

type modelLengths struct{ ratios, events *estimator.Histogram }

func newModelLengths() *modelLengths {
	return &modelLengths{ratios: newLengthHistogram(lowestRatio, 1), events: newLengthHistogram(1, usualLength)}
}

func newLengthHistogram(lowest, median float64) *estimator.Histogram {
	return estimator.NewHistogram(estimator.HistogramConfig{
		Lowest: lowest, PriorMedian: median, PriorSpread: lengthSpread, PriorWeight: lengthPrior, Memory: lengthMemory,
	})
}

func newLengths() *lengths {
	return &lengths{models: make(map[identifier.ModelName]*modelLengths), prior: newModelLengths()}
}

// learn adds a complete text.
func (l *lengths) learn(model identifier.ModelName, expected identifier.Tokens, events int) {
	known, ok := l.models[model]
	if !ok {
		if len(l.models) >= maxModels {
			return
		}
		known = newModelLengths()
		l.models[model] = known
	}
	known.events.Add(float64(events))
	if expected > 0 {
		known.ratios.Add(float64(events) / float64(expected))
	}
}

// remaining returns the expected number of events that a text of a model still gets.
func (l *lengths) remaining(model identifier.ModelName, expected identifier.Tokens, events int) float64 {
	known := l.of(model)
	if expected > 0 {
		return max(known.ratios.Remaining(float64(expected), float64(events)), 1)
	}
	return max(known.events.Remaining(1, float64(events)), 1)
}

// mean returns the expected length of a text of a model.
func (l *lengths) mean(model identifier.ModelName) float64 { return l.of(model).events.Mean() }

func (l *lengths) of(model identifier.ModelName) *modelLengths {
	if known, ok := l.models[model]; ok {
		return known
	}
	return l.prior
}
