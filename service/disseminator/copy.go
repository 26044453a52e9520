package disseminator

import (
	"cmp"
	"encoding/json"
	"fmt"
	"reflect"
	"slices"

	"github.com/cespare/xxhash/v2"

	"celerygap.example/lib/codec"
	"celerygap.example/lib/identifier"
)

const (
	// keptEdits is how many edits a catalogue keeps (section 5.1 of docs/design.md).
	keptEdits = 64
	// maxBases bounds the revisions from which deltas are made: at 9,200 changes a day, 64 cover ten minutes.
	maxBases = 64
	// maxRemoved bounds the recorded removals of names; a host whose revision is older than the discarded removals gets the
	// complete catalogue.
	maxRemoved = 256
)

// catalogueCopy is a catalogue with the revision of the last change of each part, from which deltas are made.
type catalogueCopy struct {
	catalogue *codec.Catalogue
	digest    string
	// bases holds the revisions that this host held and from which it can make deltas, in ascending order.
	bases   []identifier.Revision
	entries changes[identifier.EntryName]
	pools   changes[identifier.PoolName]
}

// changes holds the revision at which each name was last changed or removed. When a host learns several revisions in one
// update, all their changes count as made at the latest of them, which makes a delta larger but never incomplete.
type changes[N cmp.Ordered] struct {
	changed map[N]identifier.Revision
	removed map[N]identifier.Revision
}

func newChanges[N cmp.Ordered]() changes[N] {
	return changes[N]{changed: make(map[N]identifier.Revision), removed: make(map[N]identifier.Revision)}
}

func newCopy() *catalogueCopy {
	c := &catalogueCopy{
		catalogue: normalised(codec.Catalogue{}),
		entries:   newChanges[identifier.EntryName](),
		pools:     newChanges[identifier.PoolName](),
	}
	c.digest = digestOf(c.catalogue)
	return c
}

// normalised returns a copy of the catalogue in the order that digests require.
func normalised(c codec.Catalogue) *codec.Catalogue {
	c.Entries = append([]codec.Entry{}, c.Entries...)
	c.Pools = append([]codec.Pool{}, c.Pools...)
	c.Edits = append([]codec.Edit{}, c.Edits...)
	slices.SortStableFunc(c.Entries, func(a, b codec.Entry) int { return cmp.Compare(a.Name, b.Name) })
	slices.SortStableFunc(c.Pools, func(a, b codec.Pool) int { return cmp.Compare(a.Name, b.Name) })
	slices.SortStableFunc(c.Edits, func(a, b codec.Edit) int { return cmp.Compare(a.Revision, b.Revision) })
	return &c
}

// digestOf returns a hash of the content of a normalised catalogue.
func digestOf(c *codec.Catalogue) string {
	data, err := json.Marshal(c)
	if err != nil {
		return "unencodable: " + err.Error()
	}
	return fmt.Sprintf("%016x", xxhash.Sum64(data))
}

// replace installs a normalised catalogue and records which parts changed.
func (c *catalogueCopy) replace(next *codec.Catalogue, digest string) {
	former := c.catalogue
	recordChanges(c.entries, former.Entries, next.Entries, func(e codec.Entry) identifier.EntryName { return e.Name }, next.Revision)
	recordChanges(c.pools, former.Pools, next.Pools, func(p codec.Pool) identifier.PoolName { return p.Name }, next.Revision)
	c.catalogue = next
	c.digest = digest
	c.addBase(next.Revision, max(discardOldest(c.entries.removed), discardOldest(c.pools.removed)))
}

// addBase adds a revision as a base for deltas and drops the bases below the floor, whose removals were discarded.
func (c *catalogueCopy) addBase(revision, floor identifier.Revision) {
	if len(c.bases) == 0 || c.bases[len(c.bases)-1] < revision {
		c.bases = append(c.bases, revision)
	}
	c.bases = slices.DeleteFunc(c.bases, func(r identifier.Revision) bool { return r < floor })
	c.bases = slices.Delete(c.bases, 0, max(0, len(c.bases)-maxBases))
}

// baseFor returns the highest base that is not above the given revision of a host, or 0 for the complete catalogue. A
// delta from a base below the host's revision may give a wrong result: an entry may have been added and removed again
// between two revisions that this host held. The receiver detects that by the digest.
func (c *catalogueCopy) baseFor(revision identifier.Revision) identifier.Revision {
	var base identifier.Revision
	for _, held := range c.bases {
		if held <= revision {
			base = held
		}
	}
	return base
}

func recordChanges[N cmp.Ordered, T any](c changes[N], former, next []T, name func(T) N, revision identifier.Revision) {
	known := make(map[N]T, len(former))
	for _, item := range former {
		known[name(item)] = item
	}
	for _, item := range next {
		n := name(item)
		if old, ok := known[n]; !ok || !reflect.DeepEqual(old, item) {
			c.changed[n] = revision
		}
		delete(known, n)
		delete(c.removed, n)
	}
	for n := range known {
		delete(c.changed, n)
		c.removed[n] = revision
	}
}

// discardOldest drops the oldest removals above the bound and returns the highest revision dropped.
func discardOldest[N cmp.Ordered](removed map[N]identifier.Revision) identifier.Revision {
	var floor identifier.Revision
	for len(removed) > maxRemoved {
		oldest := identifier.Revision(-1)
		for _, revision := range removed {
			if oldest < 0 || revision < oldest {
				oldest = revision
			}
		}
		for name, revision := range removed {
			if revision == oldest {
				delete(removed, name)
			}
		}
		floor = oldest
	}
	return floor
}

// delta returns the changes for a host with the given revision, or the complete catalogue if that is too old.
func (c *catalogueCopy) delta(from identifier.HostID, revision identifier.Revision) codec.CatalogueDelta {
	base := c.baseFor(revision)
	delta := codec.CatalogueDelta{From: from, BaseRevision: base, Revision: c.catalogue.Revision, Digest: c.digest}
	for _, e := range c.catalogue.Entries {
		if base == 0 || c.entries.changed[e.Name] > base {
			delta.Entries = append(delta.Entries, e)
		}
	}
	for _, p := range c.catalogue.Pools {
		if base == 0 || c.pools.changed[p.Name] > base {
			delta.Pools = append(delta.Pools, p)
		}
	}
	for _, e := range c.catalogue.Edits {
		if e.Revision > base {
			delta.Edits = append(delta.Edits, e)
		}
	}
	if base > 0 {
		delta.RemovedEntries = removedSince(c.entries.removed, base)
		delta.RemovedPools = removedSince(c.pools.removed, base)
	}
	return delta
}

func removedSince[N cmp.Ordered](removed map[N]identifier.Revision, base identifier.Revision) []N {
	var names []N
	for name, revision := range removed {
		if revision > base {
			names = append(names, name)
		}
	}
	slices.Sort(names)
	return names
}

// patched returns the catalogue that results from a delta whose base is not above the revision of this copy.
func (c *catalogueCopy) patched(delta codec.CatalogueDelta) *codec.Catalogue {
	if delta.BaseRevision == 0 {
		return normalised(codec.Catalogue{
			Revision: delta.Revision, Entries: delta.Entries, Pools: delta.Pools, Edits: delta.Edits,
		})
	}
	next := codec.Catalogue{Revision: delta.Revision}
	entryName := func(e codec.Entry) identifier.EntryName { return e.Name }
	next.Entries = merge(c.catalogue.Entries, delta.Entries, delta.RemovedEntries, entryName)
	poolName := func(p codec.Pool) identifier.PoolName { return p.Name }
	next.Pools = merge(c.catalogue.Pools, delta.Pools, delta.RemovedPools, poolName)
	next.Edits = mergeEdits(c.catalogue.Edits, delta.Edits, c.catalogue.Revision)
	return normalised(next)
}

func merge[N cmp.Ordered, T any](former, changed []T, removed []N, name func(T) N) []T {
	replaced := make(map[N]bool, len(changed)+len(removed))
	for _, item := range changed {
		replaced[name(item)] = true
	}
	for _, n := range removed {
		replaced[n] = true
	}
	kept := slices.DeleteFunc(slices.Clone(former), func(item T) bool { return replaced[name(item)] })
	return append(kept, changed...)
}

func mergeEdits(former, added []codec.Edit, revision identifier.Revision) []codec.Edit {
	edits := slices.Clone(former)
	for _, e := range added {
		if e.Revision > revision {
			edits = append(edits, e)
		}
	}
	return edits[max(0, len(edits)-keptEdits):]
}
