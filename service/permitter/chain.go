package permitter

import (
	"time"

	"celerygap.example/lib/asserter"
	"celerygap.example/lib/codec"
	"celerygap.example/lib/identifier"
)

const (
	// DefaultFullRecords is the number of records from which a segment takes no more.
	DefaultFullRecords = 256
	// FullBytes is the size from which a segment takes no more. A batch has at most the same size, so that a segment
	// stays well below the store's limit of one megabyte.
	FullBytes identifier.Bytes = 256 << 10
	// recordOverhead bounds the encoded size of a record's fixed fields.
	recordOverhead identifier.Bytes = 512
	// escapedByte is the most bytes that JSON needs for one byte of text.
	escapedByte = 6
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

// chain is what an owner knows of a shard's segments and of the permits in them.
type chain struct {
	config    *Config
	tail      Segment
	tailBytes identifier.Bytes
	closed    []closedSegment
	index     map[identity]*codec.PermitRecord
	grants    []grantTime
}

func newChain(config *Config) chain {
	return chain{config: config, tail: Segment{Number: 1}, index: make(map[identity]*codec.PermitRecord)}
}

// size bounds the encoded size of a record; it depends on nothing but the record, so all owners agree on it.
func size(record *codec.PermitRecord) identifier.Bytes {
	n := recordOverhead
	n += escapedByte * identifier.Bytes(len(record.Key)+len(record.Entry)+len(record.Fingerprint)+len(record.Host))
	if record.Answer != nil {
		n += identifier.Bytes(len(record.Answer.Body))*4/3 + escapedByte*identifier.Bytes(len(record.Answer.ContentType))
	}
	return n
}

func (c *chain) full() bool {
	return len(c.tail.Value.Records) >= c.config.FullRecords || c.tailBytes >= FullBytes
}

// advance moves to the next, not yet existing segment after a full tail.
func (c *chain) advance() {
	c.closed = append(c.closed, closedSegment{number: c.tail.Number, version: c.tail.Version, newest: newest(c.tail.Value.Records)})
	c.tail = Segment{Number: c.tail.Number + 1}
	c.tailBytes = 0
}

// adopt replaces the tail by a state that continues it and indexes the records that are new in it.
func (c *chain) adopt(segment Segment) {
	from := len(c.tail.Value.Records)
	c.tail = segment
	for i := from; i < len(segment.Value.Records); i++ {
		record := &segment.Value.Records[i]
		c.tailBytes += size(record)
		c.apply(record)
	}
}

// load replaces everything by the listed segments, of which the last is the tail. Void segments are kept only to be
// deleted later.
func (c *chain) load(segments []Segment) {
	*c = newChain(c.config)
	for _, segment := range segments {
		if segment.void() {
			c.closed = append(c.closed, closedSegment{number: segment.Number, version: segment.Version, newest: newest(segment.Value.Records)})
			continue
		}
		if c.tail.Version > 0 {
			c.advance()
		}
		c.tail = Segment{Number: segment.Number}
		c.tailBytes = 0
		c.adopt(segment)
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

// checkGrant checks that a key has one usable permit at a time. Half of the retention is left to differences between
// the clocks of hosts, since the end of the retention is judged by the owner's clock.
func (c *chain) checkGrant(known, record *codec.PermitRecord) {
	holds := known == nil || known.NotRun || record.GrantedAt.Sub(known.GrantedAt) > c.config.Retention/2
	if holds {
		asserter.Check(asserter.PermitUsedOnce, true, "")
		return
	}
	asserter.Check(asserter.PermitUsedOnce, false, "entry %q key %q has permits %s (host %s) and %s (host %s)",
		record.Entry, record.Key, known.PermitID, known.Host, record.PermitID, record.Host)
}

// lookup returns the record that decides on a key, or nil if the key is free.
func (c *chain) lookup(id identity, now time.Time) *codec.PermitRecord {
	record := c.index[id]
	if record == nil || now.Sub(record.GrantedAt) > c.config.Retention {
		return nil
	}
	return record
}

// expired reports whether a permit that lookup no longer finds is still known. It is never granted again: a new record
// for it would not count, since a permit has one grant.
func (c *chain) expired(id identity, permit string) bool {
	record := c.index[id]
	return record != nil && record.PermitID == permit
}

// prune forgets the permits whose retention has passed.
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
