package disseminator_test

import (
	"encoding/json"
	"fmt"
	"math/rand/v2"
	"slices"
	"strings"
	"time"

	"celerygap.example/lib/asserter"
	"celerygap.example/lib/codec"
	"celerygap.example/lib/identifier"
	"celerygap.example/service/disseminator"
)

// cluster runs the state machines of several hosts and a store in virtual time, with loss and delay of messages, a
// partition between the regions, freezes and crashes.
type cluster struct {
	fail        func(format string, args ...any)
	rand        *rand.Rand
	now         time.Time
	queue       []task
	hosts       []*host
	loss        float64
	partitioned bool // between the regions; the store is in region 0
	storeDown   bool
	staleWatch  bool // watches may deliver older revisions late
	stored      []codec.Catalogue
	storedAt    []time.Time
	faultAt     time.Time
}

type host struct {
	*disseminator.Disseminator
	self       codec.Member
	region     int
	current    *codec.Catalogue
	ready      bool
	watching   bool
	crashed    bool
	frozen     time.Time
	generation int
}

type task struct {
	at  time.Time
	run func()
}

func newCluster(n int, seed uint64, fail func(string, ...any)) *cluster {
	c := &cluster{fail: fail, rand: rand.New(rand.NewPCG(seed, 1)), now: time.Unix(1_700_000_000, 0)}
	c.stored = []codec.Catalogue{{Entries: []codec.Entry{}, Pools: []codec.Pool{}, Edits: []codec.Edit{}}}
	c.storedAt = []time.Time{c.now}
	for i := range n {
		c.hosts = append(c.hosts, &host{region: i % 2, self: codec.Member{
			ID: identifier.HostID(fmt.Sprintf("h%03d", i)), Address: fmt.Sprint(i), Zone: identifier.Zone(fmt.Sprintf("z%d", i%4)),
		}})
	}
	for _, h := range c.hosts {
		c.start(h)
	}
	return c
}

func (c *cluster) start(h *host) {
	h.generation++
	h.crashed, h.ready, h.watching, h.frozen = false, false, false, time.Time{}
	h.current = &c.stored[0]
	h.Disseminator = disseminator.New(disseminator.Config{Self: h.self, Rand: rand.New(rand.NewPCG(c.rand.Uint64(), 2))})
	c.notifyMembers()
	c.tick(h, h.generation)
}

// crash stops a host; its peers learn of it after 12 s, the longest time that membership may take.
func (c *cluster) crash(h *host) {
	h.crashed = true
	c.after(12*time.Second, c.notifyMembers)
}

func (c *cluster) notifyMembers() {
	var live []codec.Member
	for _, h := range c.hosts {
		if !h.crashed {
			live = append(live, h.self)
		}
	}
	for _, h := range c.hosts {
		if !h.crashed && h.Disseminator != nil {
			c.handle(h, disseminator.MembersChanged{Self: h.self, Live: live})
		}
	}
}

func (c *cluster) after(d time.Duration, run func()) {
	at := c.now.Add(d)
	place, _ := slices.BinarySearchFunc(c.queue, at, func(t task, at time.Time) int {
		if t.at.After(at) {
			return 1
		}
		return -1
	})
	c.queue = slices.Insert(c.queue, place, task{at: at, run: run})
}

func (c *cluster) advance(d time.Duration) {
	end := c.now.Add(d)
	for len(c.queue) > 0 && !c.queue[0].at.After(end) {
		next := c.queue[0]
		c.queue = c.queue[1:]
		c.now = next.at
		next.run()
	}
	c.now = end
}

func (c *cluster) tick(h *host, generation int) {
	if h.generation != generation || h.crashed {
		return
	}
	if c.isRunning(h) {
		c.handle(h, disseminator.Tick{})
	}
	c.after(250*time.Millisecond, func() { c.tick(h, generation) })
}

func (c *cluster) isRunning(h *host) bool { return !h.crashed && !c.now.Before(h.frozen) }

func (c *cluster) storeReachable(h *host) bool {
	return !c.storeDown && (!c.partitioned || h.region == 0)
}

// edit stores one edit, if the store is up, and notifies the watchers.
func (c *cluster) edit() {
	if c.storeDown {
		return
	}
	last := c.stored[len(c.stored)-1]
	next := codec.Catalogue{Revision: last.Revision + 1, Entries: slices.Clone(last.Entries), Pools: []codec.Pool{{Name: "p"}}}
	if len(next.Entries) > 0 && c.rand.IntN(3) == 0 {
		next.Entries = slices.Delete(next.Entries, 0, 1)
	}
	name := identifier.EntryName(fmt.Sprintf("e%02d", c.rand.IntN(20)))
	next.Entries = slices.DeleteFunc(next.Entries, func(e codec.Entry) bool { return e.Name == name })
	next.Entries = append(next.Entries, codec.Entry{Name: name, Owner: fmt.Sprint(c.rand.Uint64())})
	edit := codec.Edit{EditID: identifier.EditID(fmt.Sprint(next.Revision)), Revision: next.Revision, At: c.now.UTC()}
	next.Edits = append(slices.Clone(last.Edits), edit)
	next.Edits = next.Edits[max(0, len(next.Edits)-64):]
	c.stored, c.storedAt = append(c.stored, next), append(c.storedAt, c.now)
	for _, h := range c.hosts {
		c.notify(h, next.Revision)
	}
}

// notify delivers a revision to a watcher; a stale watch may deliver it late, after higher ones.
func (c *cluster) notify(h *host, revision identifier.Revision) {
	delay := c.delay()
	if c.staleWatch {
		delay += time.Duration(c.rand.IntN(8000)) * time.Millisecond
	}
	generation := h.generation
	c.after(delay, func() {
		if h.generation == generation && h.watching && c.isRunning(h) && c.storeReachable(h) {
			c.handle(h, disseminator.StoreListed{List: c.list(revision)})
		}
	})
}

func (c *cluster) list(revision identifier.Revision) codec.ObjectList {
	if revision == 0 {
		return codec.ObjectList{}
	}
	value, _ := json.Marshal(c.stored[revision])
	return codec.ObjectList{Objects: []codec.Object{{Key: disseminator.Key, Value: value}}}
}

func (c *cluster) latest() identifier.Revision { return identifier.Revision(len(c.stored) - 1) }

// watch models the retries of a watch: it delivers the newest revision within 5 s once the store is reachable.
func (c *cluster) watch(h *host, generation int) {
	if h.generation != generation || !h.watching {
		return
	}
	if c.isRunning(h) && c.storeReachable(h) {
		c.handle(h, disseminator.StoreListed{List: c.list(c.latest())})
	}
	c.after(4*time.Second, func() { c.watch(h, generation) })
}

func (c *cluster) handle(h *host, event disseminator.Event) (response *codec.CatalogueAnswer) {
	for _, command := range h.Handle(c.now, event) {
		generation := h.generation
		switch cmd := command.(type) {
		case disseminator.ReadStore:
			c.after(c.delay(), func() { c.read(h, generation) })
		case disseminator.Watch:
			h.watching = cmd.Enabled
			c.after(c.delay(), func() { c.watch(h, generation) })
		case disseminator.Push:
			c.call(h, cmd.To, disseminator.Pushed{Delta: cmd.Delta})
		case disseminator.Compare:
			c.call(h, cmd.To, disseminator.Compared{Digest: cmd.Digest})
		case disseminator.Reply:
			response = &cmd.Response
		case disseminator.Apply:
			c.checkApplied(h, cmd.Catalogue)
		case disseminator.Rejected:
			if strings.Contains(cmd.Reason, "digest") {
				c.fail("%s rejected a delta from %s: %s", h.self.ID, cmd.From, cmd.Reason)
			}
		case disseminator.SetReady:
			h.ready = cmd.Ready
			c.checkReady(h)
		}
	}
	return response
}

// checkApplied fails the test if a revision reverts or has other content than the store held at that revision.
func (c *cluster) checkApplied(h *host, catalogue *codec.Catalogue) {
	if catalogue.Revision <= h.current.Revision {
		c.fail("%s applied revision %d after %d", h.self.ID, catalogue.Revision, h.current.Revision)
	}
	got, _ := json.Marshal(sorted(*catalogue))
	want, _ := json.Marshal(sorted(c.stored[catalogue.Revision]))
	if string(got) != string(want) {
		c.fail("%s holds other content at revision %d:\n%s\n%s", h.self.ID, catalogue.Revision, got, want)
	}
	h.current = catalogue
}

func sorted(c codec.Catalogue) codec.Catalogue {
	c.Entries = slices.Clone(c.Entries)
	slices.SortFunc(c.Entries, func(a, b codec.Entry) int { return slices.Compare([]byte(a.Name), []byte(b.Name)) })
	return c
}

// checkReady fails the test if a host becomes ready with a revision below one that the store accepted at least 5 s earlier,
// unless the store or the messages had a fault in that time.
func (c *cluster) checkReady(h *host) {
	const confirmed = 5 * time.Second
	if !h.ready || c.storeDown || c.partitioned || c.loss > 0 || c.now.Sub(c.faultAt) < confirmed {
		return
	}
	for revision, at := range c.storedAt {
		if c.now.Sub(at) >= confirmed && int(h.current.Revision) < revision {
			c.fail("%s is ready with revision %d, %v after revision %d", h.self.ID, h.current.Revision, c.now.Sub(at), revision)
		}
	}
}

func (c *cluster) read(h *host, generation int) {
	if h.generation != generation || !c.isRunning(h) {
		return
	}
	if !c.storeReachable(h) {
		c.handle(h, disseminator.StoreFailed{})
		return
	}
	c.handle(h, disseminator.StoreListed{List: c.list(c.latest()), Full: true})
}

func (c *cluster) call(from *host, to codec.Member, request disseminator.Event) {
	target := c.hosts[slices.IndexFunc(c.hosts, func(h *host) bool { return h.self.ID == to.ID })]
	generation, finished := from.generation, false
	finish := func(event disseminator.Event) {
		if !finished && from.generation == generation && c.isRunning(from) {
			finished = true
			c.handle(from, event)
		}
	}
	c.after(3*time.Second, func() { finish(disseminator.Failed{To: to}) })
	c.after(c.delay(), func() {
		if c.lost(from, target) || !c.isRunning(target) {
			return
		}
		response := c.handle(target, request)
		c.after(c.delay(), func() {
			if !c.lost(from, target) {
				finish(disseminator.Responded{From: to, Response: *response})
			}
		})
	})
}

func (c *cluster) delay() time.Duration { return time.Duration(1+c.rand.IntN(20)) * time.Millisecond }

func (c *cluster) lost(a, b *host) bool {
	return c.partitioned && a.region != b.region || c.rand.Float64() < c.loss
}

// behind returns the running hosts that do not hold the latest revision or are not ready.
func (c *cluster) behind() []identifier.HostID {
	var ids []identifier.HostID
	for _, h := range c.hosts {
		if !h.crashed && (h.current.Revision != c.latest() || !h.ready) {
			ids = append(ids, h.self.ID)
		}
	}
	return ids
}

// runUntilCurrent advances the time and returns how long it takes until every running host holds the latest revision and
// is ready, or the limit.
func (c *cluster) runUntilCurrent(limit time.Duration) time.Duration {
	start := c.now
	for c.now.Sub(start) < limit && len(c.behind()) > 0 {
		c.advance(100 * time.Millisecond)
	}
	return c.now.Sub(start)
}

// failOnViolation makes failed invariants fail the test.
func (c *cluster) failOnViolation() (restore func()) {
	return asserter.SetHandler(func(name asserter.Invariant, text string) { c.fail("%s: %s", name, text) })
}
