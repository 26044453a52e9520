package dispatcher_test

import (
	"context"
	"flag"
	"fmt"
	"math/rand/v2"
	"net/http"
	"sync"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"celerygap.example/lib/codec"
	"celerygap.example/lib/grouper"
	"celerygap.example/lib/refuser"
	"celerygap.example/service/connector"
)

var (
	randomRequests = flag.Int("random-requests", 300, "number of requests of TestRandomFaults")
	randomSeed     = flag.Uint64("random-seed", 1, "seed of TestRandomFaults")
)

// faultInjector serves requests with random faults and counts how often it ran each prompt.
type faultInjector struct {
	mu     sync.Mutex
	random *rand.Rand
	ran    map[string]int
}

func (f *faultInjector) draw(n int) int {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.random.IntN(n)
}

func (f *faultInjector) serve(w http.ResponseWriter, r codec.EngineRequest) {
	fault := f.draw(24)
	if fault == 0 {
		w.Header().Set("X-Not-Started", "true")
		w.WriteHeader(http.StatusServiceUnavailable)
		return
	}
	f.mu.Lock()
	f.ran[r.Prompt]++
	f.mu.Unlock()
	chunks := validChunks(r, 1)
	cut := f.draw(len(chunks))
	switch fault {
	case 1:
		abort(w)
	case 2:
		writeChunks(w, chunks[:cut]...)
		abort(w)
	case 3:
		writeChunks(w, chunks[:cut]...)
		writeDone(w)
	case 4:
		chunks[cut].AttemptID = "another"
	case 5:
		chunks = append(chunks[:cut], chunks[cut+1:]...)
	case 6:
		chunks = append(chunks[:cut:cut], chunks[max(0, cut-1):]...)
	case 7:
		w.WriteHeader(http.StatusBadGateway)
		return
	case 8:
		time.Sleep(time.Duration(cut) * 10 * time.Millisecond)
	}
	writeChunks(w, chunks...)
	writeDone(w)
}

// Guards against incomplete responses, against a false "not run" and against counts of running requests that do not
// return to zero, under random mixtures of faults.
func TestRandomFaults(t *testing.T) {
	f := &faultInjector{random: rand.New(rand.NewPCG(*randomSeed, 1)), ran: make(map[string]int)}
	var addresses []string
	for range 4 {
		engine := newEngine(t)
		engine.script = f.serve
		addresses = append(addresses, addressOf(engine.server))
	}
	d := newFixture(t, append(addresses, "127.0.0.1:1")...)
	group := grouper.NewGroup(16)
	var completed, refused int
	for i := range *randomRequests {
		group.Go(func() {
			prompt := fmt.Sprint(i)
			wanted := request(prompt)
			wanted.Deadline = time.Now().Add(time.Duration(f.draw(400)) * time.Millisecond)
			var parts string
			result, err := d.Generate(context.Background(), wanted, func(c connector.Chunk) error {
				parts += c.Text
				return nil
			})
			f.mu.Lock()
			defer f.mu.Unlock()
			if err == nil {
				completed++
				assert.Equal(t, completeText, result.Text)
				assert.Equal(t, completeText, parts)
				return
			}
			refused++
			refusal, ok := refuser.As(err)
			assert.True(t, ok)
			assert.False(t, refusal.Outcome == codec.OutcomeNotRun && f.ran[prompt] > 0, "%s ran %d times: %v", prompt, f.ran[prompt], err)
		})
	}
	group.Wait()
	require.NoError(t, d.Drain(context.Background()))
	status := d.Status()
	require.Zero(t, status.InFlight+status.Waiting)
	for _, upstream := range status.Upstreams {
		require.Zero(t, upstream.InFlight, upstream.ID)
	}
	t.Logf("%d requests completed, %d refused, status %v", completed, refused, status)
	require.Greater(t, completed, refused)
}
