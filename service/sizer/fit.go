package sizer

import (
	"fmt"
	"io"
	"text/tabwriter"
	"time"
)

// Line is a straight line; Base is its value at 0.
type Line struct {
	Base  float64
	Slope float64
}

// At returns the value of the line at x.
func (l Line) At(x float64) float64 { return l.Base + l.Slope*x }

// Fit returns the least-squares line through the points. If all x are equal, the line is horizontal at the mean of y.
func Fit(x, y []float64) Line {
	var sumX, sumY, sumXX, sumXY float64
	for i := range x {
		sumX += x[i]
		sumY += y[i]
		sumXX += x[i] * x[i]
		sumXY += x[i] * y[i]
	}
	n := float64(len(x))
	spread := n*sumXX - sumX*sumX
	if spread == 0 {
		return Line{Base: sumY / max(n, 1)}
	}
	slope := (n*sumXY - sumX*sumY) / spread
	return Line{Base: (sumY - slope*sumX) / n, Slope: slope}
}

// quantity is one row of the report.
type quantity struct {
	name  string
	value func(Result) float64
}

var quantities = []quantity{
	{"bytes sent per second and host", func(r Result) float64 { return r.BytesSent }},
	{"bytes received per second and host", func(r Result) float64 { return r.BytesReceived }},
	{"messages sent per second and host", func(r Result) float64 { return r.MessagesSent }},
	{"messages received per second and host", func(r Result) float64 { return r.MessagesReceived }},
	{"dials per second and host", func(r Result) float64 { return r.Dials }},
	{"connection ends per host", func(r Result) float64 { return r.Connections }},
	{"processor time per host, % of a core", func(r Result) float64 { return 100 * r.CPU }},
	{"memory per host, KiB", func(r Result) float64 { return r.Memory / 1024 }},
	{"store calls per second, whole fleet", func(r Result) float64 { return r.StoreCalls }},
	{"bytes per change and host", func(r Result) float64 { return r.BytesPerChange }},
	{"processor time per change and host, us", func(r Result) float64 { return micros(r.CPUPerChange) }},
	{"change in force everywhere, median, ms", func(r Result) float64 { return micros(r.InEffectMedian) / 1000 }},
	{"change in force everywhere, max, ms", func(r Result) float64 { return micros(r.InEffectMax) / 1000 }},
	{"catalogue in the store, bytes", func(r Result) float64 { return float64(r.CatalogueBytes) }},
	{"all hosts ready after, ms", func(r Result) float64 { return micros(r.Settled) / 1000 }},
}

func micros(d time.Duration) float64 { return float64(d) / float64(time.Microsecond) }

// Report writes a table with the results and, for each quantity, the fitted line over the number of hosts.
func Report(out io.Writer, results []Result) error {
	table := tabwriter.NewWriter(out, 0, 0, 2, ' ', tabwriter.AlignRight)
	fmt.Fprint(table, "quantity\t")
	hosts := make([]float64, len(results))
	for i, r := range results {
		hosts[i] = float64(r.Hosts)
		fmt.Fprintf(table, "%d hosts\t", r.Hosts)
	}
	fmt.Fprintln(table, "base\tper host\t")
	for _, q := range quantities {
		values := make([]float64, len(results))
		fmt.Fprintf(table, "%s\t", q.name)
		for i, r := range results {
			values[i] = q.value(r)
			fmt.Fprintf(table, "%.2f\t", values[i])
		}
		line := Fit(hosts, values)
		fmt.Fprintf(table, "%.2f\t%.4f\t\n", line.Base, line.Slope)
	}
	return table.Flush()
}
