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
	// Warm is the time from the start of the fleet to the measurement.
	Warm time.Duration
	// Quiet is the duration of the measurement without catalogue changes.
	Quiet time.Duration
	// Changes is the number of catalogue changes that are measured after it.
	Changes int
	// Entries is the number of catalogue entries.
	Entries int
	// Idle is how long the peer connectors keep an unused connection; zero means their default. With 30 s, 360 hosts in
	// one process have more than 20,000 ends of connections, each an open file, which is above the usual limit.
	Idle time.Duration
	// TLS, when set, protects the connections between hosts.
	TLS *tls.Config
}

// Result has the costs of a fleet of one size. Unless stated otherwise, rates are per second and host, without changes.
type Result struct {
	Hosts            int
	BytesSent        float64
	BytesReceived    float64
	MessagesSent     float64
	MessagesReceived float64
	Dials            float64
	// Connections is the number of open connections per host; each counts at both of its hosts.
	Connections float64
	// CPU is the share of a core per host, including the kernel's part and both ends of each connection.
	CPU float64
	// Memory is the heap and the stacks per host in bytes, without the kernel's socket buffers.
	Memory float64
	// StoreCalls is the number of calls per second of the whole fleet; a watch counts once, however long it waits.
	StoreCalls float64
	// BytesPerChange and CPUPerChange are the costs of one catalogue change per host, without those that arise
	// without changes.
	BytesPerChange float64
	CPUPerChange   time.Duration
	// InEffectMedian and InEffectMax are the times from a change until it is in effect on every host.
	InEffectMedian time.Duration
	InEffectMax    time.Duration
	// Settled is the time from the start until all hosts are ready and have each other as live members.
	Settled time.Duration
	// CatalogueBytes is the size of the catalogue in the store, which each host that watches the store reads at each
	// change.
	CatalogueBytes int
}

// Measure runs a fleet of n hosts in this process and returns its costs.
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
			return result, fmt.Errorf("%d hosts are not all ready with each other as live members after a minute", n)
		}
		time.Sleep(10 * time.Millisecond)
	}
	result.Settled = time.Since(started)
	time.Sleep(time.Until(started.Add(config.Warm)))
	f.measureQuiet(&result, config.Quiet)
	if err := f.measureChanges(ctx, &result, config.Changes); err != nil {
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

// totals has the traffic, the CPU time and the store calls of a fleet up to one time.
type totals struct {
	at                             time.Time
	sent, received                 int64
	messagesSent, messagesReceived int64
	dials                          int64
	connections                    int
	cpu                            time.Duration
	storeCalls                     int64
}

func (f *fleet) readTotals() totals {
	s := totals{at: time.Now(), cpu: cpuTime()}
	for _, h := range f.hosts {
		traffic := h.peers.Traffic()
		s.sent += traffic.BytesSent
		s.received += traffic.BytesReceived
		s.messagesSent += traffic.MessagesSent
		s.messagesReceived += traffic.MessagesReceived
		s.dials += traffic.Dials
		s.connections += traffic.Connections
	}
	counts := f.store.Counts()
	s.storeCalls = counts.Reads + counts.Writes + counts.Watches
	return s
}

// measureQuiet measures the costs without changes.
func (f *fleet) measureQuiet(result *Result, duration time.Duration) {
	from := f.readTotals()
	time.Sleep(duration)
	to := f.readTotals()
	hosts := float64(len(f.hosts))
	perHost := func(total int64) float64 { return float64(total) / hosts / to.at.Sub(from.at).Seconds() }
	result.BytesSent = perHost(to.sent - from.sent)
	result.BytesReceived = perHost(to.received - from.received)
	result.MessagesSent = perHost(to.messagesSent - from.messagesSent)
	result.MessagesReceived = perHost(to.messagesReceived - from.messagesReceived)
	result.Dials = perHost(to.dials - from.dials)
	result.Connections = float64(to.connections) / hosts
	result.CPU = perHost(int64(to.cpu-from.cpu)) / float64(time.Second)
	result.StoreCalls = perHost(to.storeCalls-from.storeCalls) * hosts
}

// measureChanges measures how long n changes take and what they cost in addition to the rates of measureQuiet.
func (f *fleet) measureChanges(ctx context.Context, result *Result, n int) error {
	from := f.readTotals()
	var times []time.Duration
	for range n {
		took, err := f.change(ctx)
		if err != nil {
			return err
		}
		times = append(times, took)
	}
	// When the last host gets the revision, pushes to hosts that already have it are still under way and must be
	// counted.
	time.Sleep(100 * time.Millisecond)
	to := f.readTotals()
	if n == 0 {
		return nil
	}
	slices.Sort(times)
	result.InEffectMedian = times[len(times)/2]
	result.InEffectMax = times[len(times)-1]
	hosts, elapsed := float64(len(f.hosts)), to.at.Sub(from.at).Seconds()
	bytes := float64(to.sent-from.sent+to.received-from.received)/hosts - elapsed*(result.BytesSent+result.BytesReceived)
	cpu := (to.cpu-from.cpu).Seconds()/hosts - elapsed*result.CPU
	result.BytesPerChange = bytes / float64(n)
	result.CPUPerChange = time.Duration(cpu / float64(n) * float64(time.Second))
	return nil
}

// cpuTime returns the CPU time of this process, or 0 if the kernel does not report it.
func cpuTime() time.Duration {
	var usage syscall.Rusage
	if err := syscall.Getrusage(syscall.RUSAGE_SELF, &usage); err != nil {
		return 0
	}
	return time.Duration(usage.Utime.Nano() + usage.Stime.Nano())
}

// memory returns the bytes of the heap after garbage collection and of the stacks.
func memory() int64 {
	runtime.GC()
	runtime.GC()
	var stats runtime.MemStats
	runtime.ReadMemStats(&stats)
	return int64(stats.HeapAlloc + stats.StackInuse)
}
