package binder

import (
	"container/list"
	"time"

	"celerygap.example/lib/codec"
	"celerygap.example/lib/identifier"
)

const (
	// maxRecords bounds the records of a host, some 400 bytes each. Beyond it the oldest ones are forgotten.
	maxRecords = 1 << 16
	// maxIDLength is the length in bytes of the longest stream id that is recorded: callers choose the ids.
	maxIDLength = 256
)

// record is the origin of one stream.
type record struct {
	stream identifier.StreamID
	// origins holds the origin, or two that contradict each other.
	origins []codec.StreamOrigin
	until   time.Time
	// own is set if this process began the stream; otherwise recorder is the process that did, as far as it is known.
	own      bool
	recorder Process
	// holders holds the processes that have confirmed the record.
	holders []Process
}

func (r *record) contradicted() bool { return len(r.origins) > 1 }

// Records holds the origins of streams. It is not safe for concurrent use.
type Records struct {
	byStream map[identifier.StreamID]*list.Element
	// order holds the records, the oldest first.
	order *list.List
}

// NewRecords returns an empty Records.
func NewRecords() *Records {
	return &Records{byStream: make(map[identifier.StreamID]*list.Element), order: list.New()}
}

// Put records the origin of a stream until a moment. Another origin for the same stream makes it unknown: a caller who got no
// event may send its attempt again under its id, and which of the two began what the caller holds cannot be told.
func (r *Records) Put(stream identifier.StreamID, origin codec.StreamOrigin, until time.Time) {
	if stream == "" || len(stream) > maxIDLength {
		return
	}
	if element, ok := r.byStream[stream]; ok {
		known := element.Value.(*record)
		if !known.contradicted() && known.origins[0] != origin {
			known.origins = append(known.origins, origin)
			// The holders have one of the two.
			known.holders = nil
		}
		if until.After(known.until) {
			known.until = until
		}
		return
	}
	if r.order.Len() >= maxRecords {
		r.remove(r.order.Front())
	}
	r.byStream[stream] = r.order.PushBack(&record{stream: stream, origins: []codec.StreamOrigin{origin}, until: until})
}

// Get returns the origin of a stream and until when it is kept; ok is false if it is not known.
func (r *Records) Get(now time.Time, stream identifier.StreamID) (origin codec.StreamOrigin, until time.Time, ok bool) {
	element, ok := r.byStream[stream]
	if !ok {
		return codec.StreamOrigin{}, time.Time{}, false
	}
	known := element.Value.(*record)
	return known.origins[0], known.until, now.Before(known.until) && !known.contradicted()
}

// Contradicted reports whether two origins were recorded for a stream.
func (r *Records) Contradicted(stream identifier.StreamID) bool {
	element, ok := r.byStream[stream]
	return ok && element.Value.(*record).contradicted()
}

// lookup returns the record of a stream.
func (r *Records) lookup(stream identifier.StreamID) (*record, bool) {
	element, ok := r.byStream[stream]
	if !ok {
		return nil, false
	}
	return element.Value.(*record), true
}

// each calls a function with each stream, the oldest first.
func (r *Records) each(call func(identifier.StreamID)) {
	for element := r.order.Front(); element != nil; element = element.Next() {
		call(element.Value.(*record).stream)
	}
}

// Len returns the number of records.
func (r *Records) Len() int { return r.order.Len() }

// Expire forgets the records whose time is over.
func (r *Records) Expire(now time.Time) {
	for element := r.order.Front(); element != nil; {
		next := element.Next()
		if !now.Before(element.Value.(*record).until) {
			r.remove(element)
		}
		element = next
	}
}

func (r *Records) remove(element *list.Element) {
	delete(r.byStream, element.Value.(*record).stream)
	r.order.Remove(element)
}
