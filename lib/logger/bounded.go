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
	// DefaultLinesPerSecond bounds the lines of one host: a busy host writes about a hundred a second.
	DefaultLinesPerSecond = 400
	// burstSeconds is how many seconds of the budget may be written at once.
	burstSeconds = 2
	// ringLines is how many lines wait for a slow reader of the output before further ones are dropped.
	ringLines = 4096
)

// BoundedConfig configures the output of NewBounded; zero values mean the defaults.
type BoundedConfig struct {
	Output         io.Writer
	Level          zerolog.Level
	LinesPerSecond int
}

// NewBounded returns a logger of JSON lines that never blocks its callers and writes a bounded number of lines a second.
// Lines that are left out are counted, and the count is written as event LinesLeftOut. The returned function writes what
// is still waiting.
func NewBounded(config BoundedConfig) (log *Logger, flush func()) {
	if config.LinesPerSecond <= 0 {
		config.LinesPerSecond = DefaultLinesPerSecond
	}
	b := &budget{limiter: rate.NewLimiter(rate.Limit(config.LinesPerSecond), burstSeconds*config.LinesPerSecond)}
	ring := diode.NewWriter(config.Output, ringLines, 0, b.miss)
	b.output = ring
	zerolog.TimeFieldFormat = time.RFC3339Nano
	return New(Config{Output: b, Format: FormatJSON, Level: config.Level}), func() { _ = ring.Close() }
}

// budget passes lines on at a bounded rate.
type budget struct {
	output  io.Writer
	limiter *rate.Limiter

	mu      sync.Mutex
	missing int
}

// Write passes a line on or counts it.
func (b *budget) Write(line []byte) (int, error) {
	now := time.Now()
	if !b.limiter.AllowN(now, 1) {
		b.miss(1)
		return len(line), nil
	}
	b.mu.Lock()
	missing := b.missing
	b.missing = 0
	b.mu.Unlock()
	if missing > 0 {
		note := fmt.Sprintf("{\"level\":\"warn\",\"event\":%d,\"title\":%q,\"count\":%d,\"time\":%q}\n",
			LinesLeftOut, titles[LinesLeftOut], missing, now.Format(time.RFC3339Nano))
		if _, err := b.output.Write([]byte(note)); err != nil {
			return 0, err
		}
	}
	return b.output.Write(line)
}

func (b *budget) miss(count int) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.missing += count
}
