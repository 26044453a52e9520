package logger

import (
	"fmt"
	"io"
	"sync"
	"time"

	"github.com/rs/zerolog"
	"github.com/rs/zerolog/diode"
	"golang.org/x/time/rate"
)

const (
	// DefaultLinesPerSecond is the default limit of log lines of one host; a busy host writes about 100 a second.
	DefaultLinesPerSecond = 400
	// burstSeconds is the burst size of the limit: how many seconds' worth of lines may be written at once.
	burstSeconds = 2
	// ringLines is how many lines are buffered for a slow output before further ones are dropped.
	ringLines = 4096
)

// BoundedConfig configures the output of NewBounded; zero values mean the defaults.
type BoundedConfig struct {
	Output         io.Writer
	Level          zerolog.Level
	LinesPerSecond int
}

// NewBounded returns a logger of JSON lines that never blocks its callers. Lines over the limit, and lines that a slow
// output cannot take, are dropped and counted; the count is written as event LinesDropped. The function flush writes the
// buffered lines and closes the buffer; lines that are logged later are lost.
func NewBounded(config BoundedConfig) (log *Logger, flush func()) {
	if config.LinesPerSecond <= 0 {
		config.LinesPerSecond = DefaultLinesPerSecond
	}
	w := &limitedWriter{limiter: rate.NewLimiter(rate.Limit(config.LinesPerSecond), burstSeconds*config.LinesPerSecond)}
	ring := diode.NewWriter(config.Output, ringLines, 0, w.countDropped)
	w.output = ring
	zerolog.TimeFieldFormat = time.RFC3339Nano
	return New(Config{Output: w, Format: FormatJSON, Level: config.Level}), func() { _ = ring.Close() }
}

// limitedWriter forwards lines at a bounded rate and counts the lines that it drops.
type limitedWriter struct {
	output  io.Writer
	limiter *rate.Limiter

	mu      sync.Mutex
	dropped int
}

// Write forwards a line, or counts it as dropped if the limit is reached. Before the first line after dropped ones, it
// writes an event with their count.
func (w *limitedWriter) Write(line []byte) (int, error) {
	now := time.Now()
	if !w.limiter.AllowN(now, 1) {
		w.countDropped(1)
		return len(line), nil
	}
	w.mu.Lock()
	dropped := w.dropped
	w.dropped = 0
	w.mu.Unlock()
	if dropped > 0 {
		note := fmt.Sprintf("{\"level\":\"warn\",\"event\":%d,\"title\":%q,\"count\":%d,\"time\":%q}\n",
			LinesDropped, titles[LinesDropped], dropped, now.Format(time.RFC3339Nano))
		if _, err := w.output.Write([]byte(note)); err != nil {
			return 0, err
		}
	}
	return w.output.Write(line)
}

func (w *limitedWriter) countDropped(count int) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.dropped += count
}
