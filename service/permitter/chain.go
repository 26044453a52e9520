package permitter

import (
	"time"

	"celerygap.example/lib/asserter"
	"celerygap.example/lib/codec"
	"celerygap.example/lib/identifier"
)

const (
	// DefaultFullRecords is the number of records at which a segment is full.
	DefaultFullRecords = 256
	// FullBytes is the size at which a segment is full. A batch of this size takes no more records either, so that a segment
	// stays well below the store's limit of one megabyte.
	FullBytes identifier.Bytes = 256 << 10
	// recordOverhead bounds the encoded size of a record's fixed fields.
	recordOverhead identifier.Bytes = 512
	// maxEscapedSize is the most bytes that JSON needs for one byte of text.
	maxEscapedSize = 6
)

type identity struct {
	entry identifier.EntryName
	key   string
}

func identityOf(record *codec.PermitRecord) identity {
	return identity{entry: record.Entry, key: record.Key}
}

type closedSegment struct {
	number  int64
	version int64
	newest  time.Time
}

type grantTime struct {
	id     identity
	permit string
	at     time.Time
}

// chain is the sequence of a shard's segments, with the permits in them, as known to an owner.
type chain struct {
	config    *ShardConfig
	tail      Segment
	tailBytes identifier.Bytes
	closed    []closedSegment
	index     map[identity]*codec.PermitRecord
	grants    []grantTime
}

func newChain(config *ShardConfig) chain {
	return chain{config: config, tail: Segment{Number: 1}, index: make(map[identity]*codec.PermitRecord)}
}

// size returns an upper bound of the encoded size of a record. It depends on the record only, so all owners agree on it.
func size(record *codec.PermitRecord) identifier.Bytes {
	n := recordOverhead
	n += maxEscapedSize * identifier.Bytes(len(record.Key)+len(record.Entry)+len(record.Fingerprint)+len(record.Host))
	if record.Answer != nil {
		n += identifier.Bytes(len(record.Answer.Body))*4/3 + maxEscapedSize*identifier.Bytes(len(record.Answer.ContentType))
	}
	return n
}

func (c *chain) full() bool {
	return len(c.tail.Value.Records) >= c.config.FullRecords || c.tailBytes >= FullBytes
}

// advance closes a full tail and continues with the next segment, which does not exist yet.
func (c *chain) advance() {
	c.closed = append(c.closed, closedSegment{number: c.tail.Number, version: c.tail.Version, newest: newest(c.tail.Value.Records)})
	c.tail = Segment{Number: c.tail.Number + 1}
	c.tailBytes = 0
}

// replaceTail replaces the tail by a later version of the same segment, and indexes the records that were added.
func (c *chain) replaceTail(segment Segment) {
	from := len(c.tail.Value.Records)
	c.tail = segment
	for i := from; i < len(segment.Value.Records); i++ {
		record := &segment.Value.Records[i]
		c.tailBytes += size(record)
		c.apply(record)
	}
}

// load replaces the chain by the listed segments, of which the last is the tail. Recreated segments count only as closed
// segments that are to be deleted later.
func (c *chain) load(segments []Segment) {
	*c = newChain(c.config)
	for _, segment := range segments {
		if segment.recreated() {
			c.closed = append(c.closed, closedSegment{number: segment.Number, version: segment.Version, newest: newest(segment.Value.Records)})
			continue
		}
		if c.tail.Version > 0 {
			c.advance()
		}
		c.tail = Segment{Number: segment.Number}
		c.tailBytes = 0
		c.replaceTail(segment)
	}
}

func (c *chain) apply(record *codec.PermitRecord) {
	id := identityOf(record)
	known := c.index[id]
	if record.Completed {
		if known != nil && known.PermitID == record.PermitID && !known.Completed {
			c.index[id] = clone(record)
		}
		return
	}
	if known != nil && known.PermitID == record.PermitID {
		return
	}
	c.checkGrant(known, record)
	c.index[id] = clone(record)
	c.grants = append(c.grants, grantTime{id: id, permit: record.PermitID, at: record.GrantedAt})
}

// clone detaches a record from its segment, whose array would otherwise stay in memory for as long as the record.
func clone(record *codec.PermitRecord) *codec.PermitRecord {
	copied := *record
	return &copied
}

// checkGrant checks that a key has one usable permit at a time. A new permit is accepted after half of the retention, which
// allows for differences between the clocks of hosts, since each owner measures the retention by its own clock.
func (c *chain) checkGrant(known, record *codec.PermitRecord) {
	holds := known == nil || known.NotRun || record.GrantedAt.Sub(known.GrantedAt) > c.config.Retention/2
	if holds {
		asserter.Check(asserter.PermitUsedOnce, true, "")
		return
	}
	asserter.Check(asserter.PermitUsedOnce, false, "entry %q key %q has permits %s (host %s) and %s (host %s)",
		record.Entry, record.Key, known.PermitID, known.Host, record.PermitID, record.Host)
}

// lookup returns the record that decides on requests with a key, or nil if the key is free.
func (c *chain) lookup(id identity, now time.Time) *codec.PermitRecord {
	record := c.index[id]
	if record == nil || now.Sub(record.GrantedAt) > c.config.Retention {
		return nil
	}
	return record
}

// expired reports whether a permit that lookup no longer returns is still indexed. It is never granted again: a new record
// of it would be ignored, since a permit has one grant.
func (c *chain) expired(id identity, permit string) bool {
	record := c.index[id]
	return record != nil && record.PermitID == permit
}

// prune removes the permits whose retention has passed from the index.
func (c *chain) prune(now time.Time) {
	n := 0
	for n < len(c.grants) && now.Sub(c.grants[n].at) > c.config.Retention {
		grant := c.grants[n]
		if record := c.index[grant.id]; record != nil && record.PermitID == grant.permit {
			delete(c.index, grant.id)
		}
		n++
	}
	c.grants = c.grants[n:]
}

func newest(records []codec.PermitRecord) time.Time {
	var latest time.Time
	for i := range records {
		if records[i].GrantedAt.After(latest) {
			latest = records[i].GrantedAt
		}
	}
	return latest
}
