package follower

import (
	"maps"
	"time"

	"celerygap.example/lib/codec"
)

// Mirror is the state machine that decides which objects of a kind count as present. Objects may expire during an outage of
// the store, and their owners write them again shortly after it recovers. So an object that is missing after an outage is
// kept until the hold time has passed since the recovery.
type Mirror struct {
	hold    time.Duration
	objects map[string]codec.Object
	// missing holds the keys of the objects that the store no longer has and that are still kept.
	missing  map[string]struct{}
	revision int64
	// failed reports whether the last call to the store failed.
	failed bool
	// recoveredAt is the time of the first successful call after the last outage.
	recoveredAt time.Time
}

// NewMirror returns an empty mirror; a hold of zero removes missing objects at once.
func NewMirror(hold time.Duration) *Mirror {
	return &Mirror{hold: hold, objects: make(map[string]codec.Object), missing: make(map[string]struct{})}
}

// Revision returns the store's revision up to which changes are known.
func (m *Mirror) Revision() int64 { return m.revision }

// Objects returns a copy of the objects that count as present.
func (m *Mirror) Objects() map[string]codec.Object { return maps.Clone(m.objects) }

// Fail records a failed call to the store; the outage lasts until the next Replace or Apply.
func (m *Mirror) Fail() { m.failed = true }

// Replace applies a complete list.
func (m *Mirror) Replace(now time.Time, list codec.ObjectList) {
	m.succeed(now)
	listed := make(map[string]struct{}, len(list.Objects))
	for _, object := range list.Objects {
		listed[object.Key] = struct{}{}
		m.put(object)
	}
	for key := range m.objects {
		if _, ok := listed[key]; !ok {
			m.remove(now, key)
		}
	}
	m.revision = max(m.revision, list.Revision)
}

// Apply applies changes in their order and reports whether there were any.
func (m *Mirror) Apply(now time.Time, changes codec.ObjectList) (changed bool) {
	m.succeed(now)
	for _, object := range changes.Objects {
		if object.Deleted {
			m.remove(now, object.Key)
		} else {
			m.put(object)
		}
	}
	m.revision = max(m.revision, changes.Revision)
	return len(changes.Objects) > 0
}

// Expire removes the missing objects once the hold time is over and reports whether it removed any.
func (m *Mirror) Expire(now time.Time) (changed bool) {
	if len(m.missing) == 0 || m.failed || now.Before(m.recoveredAt.Add(m.hold)) {
		return false
	}
	for key := range m.missing {
		delete(m.objects, key)
	}
	clear(m.missing)
	return true
}

// HasMissing reports whether any missing objects are kept.
func (m *Mirror) HasMissing() bool { return len(m.missing) > 0 }

func (m *Mirror) succeed(now time.Time) {
	if m.failed {
		m.failed = false
		m.recoveredAt = now
	}
}

// put stores an object unless a newer version of it is known.
func (m *Mirror) put(object codec.Object) {
	current, ok := m.objects[object.Key]
	if ok && current.Version > object.Version {
		return
	}
	m.objects[object.Key] = object
	delete(m.missing, object.Key)
}

// remove removes an object, or marks it as missing while the hold time after an outage lasts.
func (m *Mirror) remove(now time.Time, key string) {
	if _, ok := m.objects[key]; !ok {
		return
	}
	if now.Before(m.recoveredAt.Add(m.hold)) {
		m.missing[key] = struct{}{}
		return
	}
	delete(m.objects, key)
	delete(m.missing, key)
}
