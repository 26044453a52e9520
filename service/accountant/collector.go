package accountant

import (
	"maps"
	"slices"
	"strconv"
	"time"

	"celerygap.example/lib/codec"
	"celerygap.example/lib/identifier"
)

// processSeparator separates the host from the process in the keys of a UsageQuery.
const processSeparator = "#"

// process identifies the process that a count comes from.
type process struct {
	host  identifier.HostID
	start identifier.Incarnation
}

func (p process) key() string {
	return string(p.host) + processSeparator + strconv.FormatInt(int64(p.start), 10)
}

// Collector merges the counts of all processes. Counts are cumulative, so repeated, late and reordered messages do no harm.
type Collector struct {
	windows Windows
	counts  map[identifier.UsageWindow]map[process]Counts
}

// NewCollector returns a Collector without counts.
func NewCollector(windows Windows) *Collector {
	return &Collector{windows: windows, counts: make(map[identifier.UsageWindow]map[process]Counts)}
}

// Received merges the counts of a process. Windows that are too old or in the future are ignored.
func (c *Collector) Received(now time.Time, message codec.UsageCounts) {
	maps.DeleteFunc(c.counts, func(window identifier.UsageWindow, _ map[process]Counts) bool { return !c.windows.kept(window, now) })
	from := process{message.From, message.Process}
	for _, received := range message.Windows {
		if !c.windows.kept(received.Window, now) {
			continue
		}
		if c.counts[received.Window] == nil {
			c.counts[received.Window] = make(map[process]Counts)
		}
		if c.counts[received.Window][from] == nil {
			c.counts[received.Window][from] = make(Counts)
		}
		mergeLargest(c.counts[received.Window][from], received.Counts)
	}
}

// Query returns the request for the counts of a window that another collecting host may have and this one lacks.
func (c *Collector) Query(window identifier.UsageWindow) codec.UsageQuery {
	query := codec.UsageQuery{Window: window, Held: make(map[string]int64)}
	for from, counts := range c.counts[window] {
		query.Held[from.key()] = total(counts)
	}
	return query
}

// Reply returns the counts of the processes of which the sender of a query holds fewer.
func (c *Collector) Reply(query codec.UsageQuery) codec.UsageReply {
	reply := codec.UsageReply{Counts: []codec.UsageCounts{}}
	for from, counts := range c.counts[query.Window] {
		if total(counts) > query.Held[from.key()] {
			reply.Counts = append(reply.Counts, codec.UsageCounts{
				From: from.host, Process: from.start, Windows: []codec.WindowCounts{{Window: query.Window, Counts: maps.Clone(counts)}},
			})
		}
	}
	return reply
}

// All returns the counts of all processes, one message for each.
func (c *Collector) All() []codec.UsageCounts {
	byProcess := make(map[process][]codec.WindowCounts)
	for window, processes := range c.counts {
		for from, counts := range processes {
			byProcess[from] = append(byProcess[from], codec.WindowCounts{Window: window, Counts: maps.Clone(counts)})
		}
	}
	messages := make([]codec.UsageCounts, 0, len(byProcess))
	for from, windows := range byProcess {
		messages = append(messages, codec.UsageCounts{From: from.host, Process: from.start, Windows: windows})
	}
	return messages
}

// Sum returns the requests of all processes in a window, and from how many processes they come.
func (c *Collector) Sum(window identifier.UsageWindow) (sum Counts, processes int) {
	sum = make(Counts)
	for _, counts := range c.counts[window] {
		for customer, count := range counts {
			sum[customer] += count
		}
	}
	return sum, len(c.counts[window])
}

// First returns the oldest window with counts; ok is false without any.
func (c *Collector) First() (window identifier.UsageWindow, ok bool) {
	if len(c.counts) == 0 {
		return 0, false
	}
	return slices.Min(slices.Collect(maps.Keys(c.counts))), true
}
