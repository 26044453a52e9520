package logger_test

import (
	"bytes"
	"io"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"celerygap.example/lib/logger"
)

// output collects lines. If blocked is set, each write waits until it is closed, like a write to a full pipe.
type output struct {
	mu      sync.Mutex
	buffer  bytes.Buffer
	blocked chan struct{}
}

func (o *output) Write(line []byte) (int, error) {
	if o.blocked != nil {
		<-o.blocked
	}
	o.mu.Lock()
	defer o.mu.Unlock()
	return o.buffer.Write(line)
}

// Guards against logs that grow without bound under load, and against dropped lines that are not counted.
func TestVolumeIsBounded(t *testing.T) {
	out := &output{}
	log, flush := logger.NewBounded(logger.BoundedConfig{Output: out, LinesPerSecond: 10})
	for range 500 {
		log.Info(logger.AttemptFailed).Send()
	}
	time.Sleep(150 * time.Millisecond)
	log.Info(logger.Stopped).Send()
	flush()
	text := out.buffer.String()
	require.Less(t, strings.Count(text, "\n"), 30)
	require.Contains(t, text, `"title":"log lines left out","count":4`)
}

// Guards against callers that are blocked by a slow reader of the logs.
func TestWritingNeverBlocks(t *testing.T) {
	out := &output{blocked: make(chan struct{})}
	log, flush := logger.NewBounded(logger.BoundedConfig{Output: out, LinesPerSecond: 100_000})
	done := make(chan struct{})
	timeout := time.AfterFunc(5*time.Second, func() { close(done) })
	for range 20_000 {
		log.Info(logger.AttemptFailed).Send()
	}
	require.True(t, timeout.Stop(), "writing waited for the output")
	close(out.blocked)
	flush()
}

// BenchmarkBoundedLine gives the processor time of one line, for the share of logs in docs/measurements.md.
func BenchmarkBoundedLine(b *testing.B) {
	log, flush := logger.NewBounded(logger.BoundedConfig{Output: io.Discard, LinesPerSecond: 1 << 30})
	defer flush()
	for b.Loop() {
		log.Warn(logger.AttemptFailed).Str("request", "d671f66509310662").Str("entry", "r-p4wx4db").Str("upstream", "i-56cfc1557d").
			Str("failure", "cancelled").Float64("took", 400.7).Send()
	}
}
