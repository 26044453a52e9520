package measurer

import (
	"fmt"
	"io"
	"slices"
	"sync"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"

	"celerygap.example/lib/grouper"
)

// Config configures a measurement.
type Config struct {
	// Seeds is the number of runs of each scenario; the seeds are 1 to Seeds.
	Seeds int
	// Steps is the number of measured steps of each trainer in a run.
	Steps int
	// Parallel bounds the number of runs at one time.
	Parallel int
}

// row is a row of a table: a scenario with the result of each seed.
type row struct {
	scenario Scenario
	results  []Result
}

// Measure runs all scenarios and writes the tables in Markdown. It returns the error of a run or of writing.
func Measure(config Config, output io.Writer) error {
	rows := policyRows(config)
	lengths := lengthRows(config)
	weights := weightRows(config)
	if err := runScenarios(config, slices.Concat(rows, lengths, weights)); err != nil {
		return err
	}
	w := &writer{output: output}
	for _, deployment := range Deployments {
		w.policies(deployment, rows)
	}
	w.targets(rows)
	w.weights(weights)
	w.lengths(lengths)
	return w.err
}

func policyRows(config Config) []*row {
	var rows []*row
	for _, deployment := range Deployments {
		for _, condition := range Conditions {
			for _, policy := range []Policy{Synchronous, RunAhead} {
				for _, placement := range []Placement{RoundRobin, LeastInFlight} {
					rows = append(rows, &row{scenario: Scenario{
						Deployment: deployment, Condition: condition, Policy: policy, Placement: placement,
						HonourSeeds: true, Steps: config.Steps,
					}})
				}
			}
		}
	}
	return rows
}

func lengthRows(config Config) []*row {
	var rows []*row
	for _, deployment := range Deployments {
		for _, condition := range Conditions {
			for _, honour := range []bool{true, false} {
				rows = append(rows, &row{scenario: Scenario{
					Deployment: deployment, Condition: condition, Policy: RunAhead, Placement: LeastInFlight,
					HonourSeeds: honour, Steps: config.Steps,
				}})
			}
		}
	}
	return rows
}

func weightRows(config Config) []*row {
	var rows []*row
	for _, deployment := range Deployments {
		for _, condition := range []Condition{Calm, Overload} {
			for _, weight := range []float64{0, 0.25, 0.5, 0.75, 1} {
				deployment.IdleWeight = weight
				rows = append(rows, &row{scenario: Scenario{
					Deployment: deployment, Condition: condition, Policy: RunAhead, Placement: LeastInFlight,
					HonourSeeds: true, Steps: config.Steps,
				}})
			}
		}
	}
	return rows
}

// runScenarios runs the scenario of each row with each seed and returns one of the errors.
func runScenarios(config Config, rows []*row) error {
	var mu sync.Mutex
	var failed error
	group := grouper.NewGroup(config.Parallel)
	for _, r := range rows {
		r.results = make([]Result, config.Seeds)
		for seed := range config.Seeds {
			group.Go(func() {
				result, err := Run(r.scenario, uint64(seed+1))
				mu.Lock()
				defer mu.Unlock()
				r.results[seed] = result
				if err != nil {
					failed = err
				}
			})
		}
	}
	group.Wait()
	return failed
}

func (r *row) idle() []float64 {
	var values []float64
	for _, result := range r.results {
		values = append(values, 100*result.IdleShare)
	}
	return values
}

func (r *row) useful() []float64 {
	var values []float64
	for _, result := range r.results {
		values = append(values, 100*result.Useful)
	}
	return values
}

func (r *row) staleness() *hdrhistogram.Histogram {
	return r.mergeHistograms(func(result Result) *hdrhistogram.Histogram { return result.Staleness })
}

func (r *row) mergeHistograms(pick func(Result) *hdrhistogram.Histogram) *hdrhistogram.Histogram {
	first := pick(r.results[0])
	merged := hdrhistogram.New(first.LowestTrackableValue(), first.HighestTrackableValue(), int(first.SignificantFigures()))
	for _, result := range r.results {
		merged.Merge(pick(result))
	}
	return merged
}

func (r *row) counts() (duplicates, tooOld int, step time.Duration) {
	for _, result := range r.results {
		duplicates += result.Duplicates
		tooOld += result.TooOld
		step += result.StepTime / time.Duration(len(r.results))
	}
	return duplicates, tooOld, step
}

// formatSpread formats the mean, the lowest and the highest of percentages.
func formatSpread(values []float64) string {
	return fmt.Sprintf("%.1f%% (%.1f to %.1f)", mean(values), slices.Min(values), slices.Max(values))
}

func mean(values []float64) float64 {
	var sum float64
	for _, value := range values {
		sum += value
	}
	return sum / float64(len(values))
}

// writer writes tables and keeps the first error.
type writer struct {
	output io.Writer
	err    error
}

func (w *writer) printf(format string, args ...any) {
	if w.err == nil {
		_, w.err = fmt.Fprintf(w.output, format, args...)
	}
}

func (w *writer) policies(deployment Deployment, rows []*row) {
	w.printf("### %s: %d engines, %d trainer(s), %d samples a step, bound %d, idle_weight %g\n\n", deployment.Name,
		deployment.Engines, deployment.Trainers, deployment.Groups*deployment.GroupSize, deployment.Bound, deployment.IdleWeight)
	w.printf("| condition | policy | placement | idle share | staleness mean | p99 | max | useful tokens | step time |" +
		" duplicates | too old |\n|---|---|---|---|---|---|---|---|---|---|---|\n")
	for _, r := range rows {
		s := r.scenario
		if s.Deployment.Name != deployment.Name {
			continue
		}
		staleness := r.staleness()
		duplicates, tooOld, step := r.counts()
		w.printf("| %s | %s | %s | %s | %.2f | %d | %d | %s | %s | %d | %d |\n", s.Condition, s.Policy, s.Placement,
			formatSpread(r.idle()), staleness.Mean(), staleness.ValueAtQuantile(99), staleness.Max(), formatSpread(r.useful()),
			step.Round(100*time.Millisecond), duplicates, tooOld)
	}
	w.printf("\n")
}

// targets compares running ahead with the synchronous baseline of the same placement.
func (w *writer) targets(rows []*row) {
	w.printf("### Target: idle share under half of the synchronous baseline's\n\n")
	w.printf("| deployment | condition | placement | synchronous | run ahead | ratio | target |\n|---|---|---|---|---|---|---|\n")
	for _, r := range rows {
		if r.scenario.Policy != RunAhead {
			continue
		}
		base := r.scenario
		base.Policy = Synchronous
		baseline := mean(rows[slices.IndexFunc(rows, func(other *row) bool { return other.scenario == base })].idle())
		share := mean(r.idle())
		verdict := "met"
		if share >= baseline/2 {
			verdict = fmt.Sprintf("missed by %.1f points", share-baseline/2)
		}
		w.printf("| %s | %s | %s | %.1f%% | %.1f%% | %.2f | %s |\n", base.Deployment.Name, base.Condition, base.Placement,
			baseline, share, share/baseline, verdict)
	}
	w.printf("\n")
}

// weights shows idle share and staleness for several values of idle_weight.
func (w *writer) weights(rows []*row) {
	w.printf("### idle_weight, run ahead, least in flight\n\n")
	w.printf("| deployment | condition | idle_weight | idle share | staleness mean | p99 |\n|---|---|---|---|---|---|\n")
	for _, r := range rows {
		staleness := r.staleness()
		w.printf("| %s | %s | %g | %s | %.2f | %d |\n", r.scenario.Deployment.Name, r.scenario.Condition,
			r.scenario.Deployment.IdleWeight, formatSpread(r.idle()), staleness.Mean(), staleness.ValueAtQuantile(99))
	}
	w.printf("\n")
}

// lengths compares the lengths of delivered samples with those drawn for the first attempt of their slots.
func (w *writer) lengths(rows []*row) {
	w.printf("### Lengths of delivered samples against requested ones, run ahead, least in flight\n\n")
	w.printf("| deployment | condition | seeds | samples | mean requested | mean delivered | p50 | p90 | p99 |\n" +
		"|---|---|---|---|---|---|---|---|---|\n")
	for _, r := range rows {
		requested := r.mergeHistograms(func(result Result) *hdrhistogram.Histogram { return result.Requested })
		delivered := r.mergeHistograms(func(result Result) *hdrhistogram.Histogram { return result.Delivered })
		seeds := "honoured"
		if !r.scenario.HonourSeeds {
			seeds = "ignored"
		}
		w.printf("| %s | %s | %s | %d | %.1f | %.1f |", r.scenario.Deployment.Name, r.scenario.Condition, seeds,
			delivered.TotalCount(), requested.Mean(), delivered.Mean())
		for _, quantile := range []float64{50, 90, 99} {
			w.printf(" %d / %d |", requested.ValueAtQuantile(quantile), delivered.ValueAtQuantile(quantile))
		}
		w.printf("\n")
	}
	w.printf("\nQuantiles: requested / delivered, in tokens.\n")
}
