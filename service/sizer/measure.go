package sizer

import (
	"context"
	"crypto/tls"
	"fmt"
	"runtime"
	"slices"
	"syscall"
	"time"

	"celerygap.example/lib/annotator"
	"celerygap.example/service/disseminator"
)

// Config selects what is measured.
type Config struct {
	// Warm is the time before the measurement.
	Warm time.Duration
	// Quiet is the time of the measurement without changes.
	Quiet time.Duration
	// Changes is the number of catalogue changes.
	Changes int
	// Entries is the number of catalogue entries.
	Entries int
	// Idle is how long the peer connectors keep an unused connection; zero means their default. With 30 s, 360 hosts in
	// one process have more than 20,000 connection ends, which is above the usual limit of open files.
	Idle time.Duration
	// TLS, when set, protects the connections between hosts.
	TLS *tls.Config
}

// Result is what one size costs; rates are per second and host.
type Result struct {
	Hosts            int
	BytesSent        float64
	BytesReceived    float64
	MessagesSent     float64
	MessagesReceived float64
	Dials            float64
	Connections      float64
	// Processor is the share of a core per host, with the kernel's part and both ends of each connection.
	Processor float64
	// Memory is the heap and stacks per host in bytes, without the kernel's socket buffers.
	Memory float64
	// StoreCalls is the number of calls per second of the whole fleet; a waiting watch counts as one call.
	StoreCalls float64
	// BytesPerChange and ProcessorPerChange are the costs of one catalogue change per host, above the quiet ones.
	BytesPerChange     float64
	ProcessorPerChange time.Duration
	InEffectMedian     time.Duration
	InEffectMax        time.Duration
	Settled            time.Duration
	// CatalogueBytes is the size of the catalogue in the store, which each watcher reads at each change.
	CatalogueBytes int
}

// Measure runs a fleet of n hosts and returns its costs.
func Measure(ctx context.Context, n int, config Config) (Result, error) {
	before := memory()
	started := time.Now()
	f, err := startFleet(ctx, n, config)
	if err != nil {
		return Result{}, err
	}
	defer f.close()
	result := Result{Hosts: n}
	for !f.settled() {
		if time.Since(started) > time.Minute {
			return result, fmt.Errorf("%d hosts are not ready after a minute", n)
		}
		time.Sleep(10 * time.Millisecond)
	}
	result.Settled = time.Since(started)
	time.Sleep(time.Until(started.Add(config.Warm)))
	f.quiet(&result, config.Quiet)
	if err := f.changes(ctx, &result, config.Changes); err != nil {
		return result, err
	}
	result.Memory = float64(memory()-before) / float64(n)
	object, err := f.store.Get(ctx, disseminator.Key)
	result.CatalogueBytes = len(object.Value)
	if err != nil {
		return result, annotator.Wrap("read catalogue", "store", err)
	}
	return result, nil
}

// sample holds the totals of a fleet at one time.
type sample struct {
	at                         time.Time
	sent, received             int64
	messagesSent, messagesRead int64
	dials                      int64
	connections                int
	processor                  time.Duration
	storeCalls                 int64
}

func (f *fleet) sample() sample {
	s := sample{at: time.Now(), processor: processorTime()}
	for _, h := range f.hosts {
		traffic := h.peers.Traffic()
		s.sent += traffic.BytesSent
		s.received += traffic.BytesReceived
		s.messagesSent += traffic.MessagesSent
		s.messagesRead += traffic.MessagesReceived
		s.dials += traffic.Dials
		s.connections += traffic.Connections
	}
	counts := f.store.Counts()
	s.storeCalls = counts.Reads + counts.Writes + counts.Watches
	return s
}

// quiet measures the costs without changes.
func (f *fleet) quiet(result *Result, duration time.Duration) {
	from := f.sample()
	time.Sleep(duration)
	to := f.sample()
	hosts := float64(len(f.hosts))
	perHost := func(total int64) float64 { return float64(total) / hosts / to.at.Sub(from.at).Seconds() }
	result.BytesSent = perHost(to.sent - from.sent)
	result.BytesReceived = perHost(to.received - from.received)
	result.MessagesSent = perHost(to.messagesSent - from.messagesSent)
	result.MessagesReceived = perHost(to.messagesRead - from.messagesRead)
	result.Dials = perHost(to.dials - from.dials)
	result.Connections = float64(to.connections) / hosts
	result.Processor = perHost(int64(to.processor-from.processor)) / float64(time.Second)
	result.StoreCalls = perHost(to.storeCalls-from.storeCalls) * hosts
}

// changes measures how long changes take and what they cost above the quiet rates.
func (f *fleet) changes(ctx context.Context, result *Result, n int) error {
	from := f.sample()
	var times []time.Duration
	for range n {
		took, err := f.change(ctx)
		if err != nil {
			return err
		}
		times = append(times, took)
	}
	// Pushes to hosts that hold the revision already are still under way when the last host gets it.
	time.Sleep(100 * time.Millisecond)
	to := f.sample()
	if n == 0 {
		return nil
	}
	slices.Sort(times)
	result.InEffectMedian = times[len(times)/2]
	result.InEffectMax = times[len(times)-1]
	hosts, elapsed := float64(len(f.hosts)), to.at.Sub(from.at).Seconds()
	bytes := float64(to.sent-from.sent+to.received-from.received)/hosts - elapsed*(result.BytesSent+result.BytesReceived)
	processor := (to.processor-from.processor).Seconds()/hosts - elapsed*result.Processor
	result.BytesPerChange = bytes / float64(n)
	result.ProcessorPerChange = time.Duration(processor / float64(n) * float64(time.Second))
	return nil
}

func processorTime() time.Duration {
	var usage syscall.Rusage
	if err := syscall.Getrusage(syscall.RUSAGE_SELF, &usage); err != nil {
		return 0
	}
	return time.Duration(usage.Utime.Nano() + usage.Stime.Nano())
}

// memory returns the bytes of live heap and of stacks.
func memory() int64 {
	runtime.GC()
	runtime.GC()
	var stats runtime.MemStats
	runtime.ReadMemStats(&stats)
	return int64(stats.HeapAlloc + stats.StackInuse)
}
