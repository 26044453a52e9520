package binder

import (
	"slices"

	"celerygap.example/lib/codec"
	"celerygap.example/lib/identifier"
	"celerygap.example/service/elector"
)

const (
	// directoryHosts is the number of other hosts that hold each record; spareHosts replace those that do not confirm it. A
	// lookup asks as many hosts as both together, because another host may see other live members.
	directoryHosts = 3
	spareHosts     = 3
	// electionPrefix distinguishes the choice of the directory hosts from other choices with the same key.
	electionPrefix = "streams/"
)

// Process is one process of a host.
type Process struct {
	Host        identifier.HostID
	Incarnation identifier.Incarnation
}

// Copier decides which records other hosts lack: after a change of the live hosts, it checks the records for which this host is
// responsible. These are the ones that it began and those whose recorder is gone. It is not safe for concurrent use.
type Copier struct {
	self    identifier.HostID
	records *Records
	live    []codec.Member
	// incarnations holds those of the live hosts.
	incarnations map[identifier.HostID]identifier.Incarnation
	// queue holds the streams whose records are to be checked, each once.
	queue  []identifier.StreamID
	queued map[identifier.StreamID]struct{}
	// unresponsive holds the hosts that did not confirm records since the live hosts changed or since the last call of Retry.
	unresponsive map[identifier.HostID]struct{}
	// short holds the streams whose records have too few copies because of that.
	short map[identifier.StreamID]struct{}
}

// Batch is records for one host.
type Batch struct {
	To      codec.Member
	Streams []identifier.StreamID
}

// NewCopier returns a Copier of the records of a host.
func NewCopier(self identifier.HostID, records *Records) *Copier {
	return &Copier{
		self: self, records: records, queued: make(map[identifier.StreamID]struct{}), unresponsive: make(map[identifier.HostID]struct{}),
		short: make(map[identifier.StreamID]struct{}),
	}
}

// Observe notes the live hosts. After a change all records are checked.
func (c *Copier) Observe(live []codec.Member) {
	if slices.EqualFunc(c.live, live, func(x, y codec.Member) bool {
		return x.ID == y.ID && x.Incarnation == y.Incarnation && x.Address == y.Address && x.Capacity == y.Capacity
	}) {
		return
	}
	c.live = slices.Clone(live)
	c.incarnations = make(map[identifier.HostID]identifier.Incarnation, len(live))
	for _, member := range live {
		c.incarnations[member.ID] = member.Incarnation
	}
	clear(c.unresponsive)
	c.CheckAll()
}

// CheckAll lets the next calls of Next check all records.
func (c *Copier) CheckAll() {
	clear(c.short)
	c.records.each(c.Check)
}

// Check lets the next call of Next check the record of a stream.
func (c *Copier) Check(stream identifier.StreamID) {
	if _, ok := c.queued[stream]; !ok {
		c.queued[stream] = struct{}{}
		c.queue = append(c.queue, stream)
	}
}

// Pending returns the number of records that are to be checked.
func (c *Copier) Pending() int { return len(c.queue) }

// Retry lets hosts that did not respond be asked again.
func (c *Copier) Retry() {
	clear(c.unresponsive)
	for stream := range c.short {
		c.Check(stream)
	}
	clear(c.short)
}

// Next checks at most limit records and returns those that hosts lack.
func (c *Copier) Next(limit int) []Batch {
	checked := c.queue[:min(limit, len(c.queue))]
	c.queue = slices.Clone(c.queue[len(checked):])
	byHost := make(map[identifier.HostID]int)
	var batches []Batch
	for _, stream := range checked {
		delete(c.queued, stream)
		for _, member := range c.lacking(stream) {
			index, ok := byHost[member.ID]
			if !ok {
				index = len(batches)
				byHost[member.ID] = index
				batches = append(batches, Batch{To: member})
			}
			batches[index].Streams = append(batches[index].Streams, stream)
		}
	}
	return batches
}

// lacking returns the hosts that this host has to send a record to.
func (c *Copier) lacking(stream identifier.StreamID) (members []codec.Member) {
	known, ok := c.records.lookup(stream)
	if !ok || !c.isResponsible(known) {
		return nil
	}
	copies, failed := 0, false
	for _, member := range Directory(stream, c.live, c.self) {
		if copies == directoryHosts {
			break
		}
		if _, ok := c.unresponsive[member.ID]; ok {
			failed = true
			continue
		}
		copies++
		if !slices.Contains(known.holders, Process{member.ID, member.Incarnation}) {
			members = append(members, member)
		}
	}
	if failed && copies < directoryHosts {
		c.short[stream] = struct{}{}
	}
	return members
}

// isResponsible reports whether this host passes a record on: nobody else does so while the process that began the stream is alive.
func (c *Copier) isResponsible(known *record) bool {
	if known.own || known.recorder.Host == "" {
		return true
	}
	incarnation, live := c.incarnations[known.recorder.Host]
	return !live || incarnation != known.recorder.Incarnation
}

// Confirmed notes that a host holds records now.
func (c *Copier) Confirmed(batch Batch) {
	for _, stream := range batch.Streams {
		if known, ok := c.records.lookup(stream); ok {
			c.addHolder(known, Process{batch.To.ID, batch.To.Incarnation})
		}
	}
}

// addHolder notes that a process holds a record and forgets the holders that are gone.
func (c *Copier) addHolder(known *record, holder Process) {
	known.holders = slices.DeleteFunc(known.holders, func(p Process) bool {
		incarnation, live := c.incarnations[p.Host]
		return p.Host == holder.Host || !live || incarnation != p.Incarnation
	})
	known.holders = append(known.holders, holder)
}

// Failed notes that a host did not confirm records; others are chosen for them.
func (c *Copier) Failed(batch Batch) {
	c.unresponsive[batch.To.ID] = struct{}{}
	for _, stream := range batch.Streams {
		c.Check(stream)
	}
}

// Directory returns the other hosts that may hold the record of a stream, in order.
func Directory(stream identifier.StreamID, live []codec.Member, self identifier.HostID) []codec.Member {
	return elector.Rank(electionPrefix+string(stream), live, directoryHosts+spareHosts, self)
}
