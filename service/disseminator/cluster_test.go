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

// exchange carries messages between state machines in virtual time, with a store, loss, delay, cuts, freezes and crashes.
type exchange struct {
	fail    func(format string, args ...any)
	rand    *rand.Rand
	now     time.Time
	queue   []task
	hosts   []*host
	loss    float64
	cut     bool // between the regions; the store is in region 0
	down    bool
	stale   bool // watches may deliver older revisions late
	stored  []codec.Catalogue
	times   []time.Time
	faultAt time.Time
}

type host struct {
	*disseminator.Disseminator
	self     codec.Member
	region   int
	current  *codec.Catalogue
	ready    bool
	watching bool
	crashed  bool
	frozen   time.Time
	life     int
}

type task struct {
	at  time.Time
	run func()
}

func newExchange(n int, seed uint64, fail func(string, ...any)) *exchange {
	x := &exchange{fail: fail, rand: rand.New(rand.NewPCG(seed, 1)), now: time.Unix(1_700_000_000, 0)}
	x.stored = []codec.Catalogue{{Entries: []codec.Entry{}, Pools: []codec.Pool{}, Edits: []codec.Edit{}}}
	x.times = []time.Time{x.now}
	for i := range n {
		x.hosts = append(x.hosts, &host{region: i % 2, self: codec.Member{
			ID: identifier.HostID(fmt.Sprintf("h%03d", i)), Address: fmt.Sprint(i), Zone: identifier.Zone(fmt.Sprintf("z%d", i%4)),
		}})
	}
	for _, h := range x.hosts {
		x.start(h)
	}
	return x
}

func (x *exchange) start(h *host) {
	h.life++
	h.crashed, h.ready, h.watching, h.frozen = false, false, false, time.Time{}
	h.current = &x.stored[0]
	h.Disseminator = disseminator.New(disseminator.Config{Self: h.self, Rand: rand.New(rand.NewPCG(x.rand.Uint64(), 2))})
	x.members()
	x.tick(h, h.life)
}

// crash ends a host; the others learn of it as late as membership may tell them.
func (x *exchange) crash(h *host) {
	h.crashed = true
	x.after(12*time.Second, x.members)
}

func (x *exchange) members() {
	var live []codec.Member
	for _, h := range x.hosts {
		if !h.crashed {
			live = append(live, h.self)
		}
	}
	for _, h := range x.hosts {
		if !h.crashed && h.Disseminator != nil {
			x.give(h, disseminator.MembersChanged{Self: h.self, Live: live})
		}
	}
}

func (x *exchange) after(d time.Duration, run func()) {
	at := x.now.Add(d)
	place, _ := slices.BinarySearchFunc(x.queue, at, func(t task, at time.Time) int {
		if t.at.After(at) {
			return 1
		}
		return -1
	})
	x.queue = slices.Insert(x.queue, place, task{at: at, run: run})
}

func (x *exchange) advance(d time.Duration) {
	end := x.now.Add(d)
	for len(x.queue) > 0 && !x.queue[0].at.After(end) {
		next := x.queue[0]
		x.queue = x.queue[1:]
		x.now = next.at
		next.run()
	}
	x.now = end
}

func (x *exchange) tick(h *host, life int) {
	if h.life != life || h.crashed {
		return
	}
	if x.awake(h) {
		x.give(h, disseminator.Tick{})
	}
	x.after(250*time.Millisecond, func() { x.tick(h, life) })
}

func (x *exchange) awake(h *host) bool { return !h.crashed && !x.now.Before(h.frozen) }

func (x *exchange) storeReaches(h *host) bool { return !x.down && (!x.cut || h.region == 0) }

// edit accepts one edit in the store, if it is up, and tells the watchers.
func (x *exchange) edit() {
	if x.down {
		return
	}
	last := x.stored[len(x.stored)-1]
	next := codec.Catalogue{Revision: last.Revision + 1, Entries: slices.Clone(last.Entries), Pools: []codec.Pool{{Name: "p"}}}
	if len(next.Entries) > 0 && x.rand.IntN(3) == 0 {
		next.Entries = slices.Delete(next.Entries, 0, 1)
	}
	name := identifier.EntryName(fmt.Sprintf("e%02d", x.rand.IntN(20)))
	next.Entries = slices.DeleteFunc(next.Entries, func(e codec.Entry) bool { return e.Name == name })
	next.Entries = append(next.Entries, codec.Entry{Name: name, Owner: fmt.Sprint(x.rand.Uint64())})
	edit := codec.Edit{EditID: identifier.EditID(fmt.Sprint(next.Revision)), Revision: next.Revision, At: x.now.UTC()}
	next.Edits = append(slices.Clone(last.Edits), edit)
	next.Edits = next.Edits[max(0, len(next.Edits)-64):]
	x.stored, x.times = append(x.stored, next), append(x.times, x.now)
	for _, h := range x.hosts {
		x.notify(h, next.Revision)
	}
}

// notify delivers a revision to a watcher; a stale watch may deliver it late, after higher ones.
func (x *exchange) notify(h *host, revision identifier.Revision) {
	delay := x.delay()
	if x.stale {
		delay += time.Duration(x.rand.IntN(8000)) * time.Millisecond
	}
	life := h.life
	x.after(delay, func() {
		if h.life == life && h.watching && x.awake(h) && x.storeReaches(h) {
			x.give(h, disseminator.StoreSeen{List: x.list(revision)})
		}
	})
}

func (x *exchange) list(revision identifier.Revision) codec.ObjectList {
	if revision == 0 {
		return codec.ObjectList{}
	}
	value, _ := json.Marshal(x.stored[revision])
	return codec.ObjectList{Objects: []codec.Object{{Key: disseminator.Key, Value: value}}}
}

func (x *exchange) latest() identifier.Revision { return identifier.Revision(len(x.stored) - 1) }

// watch stands for the retries of a watch: it sees the newest revision within 5 s once the store can be reached.
func (x *exchange) watch(h *host, life int) {
	if h.life != life || !h.watching {
		return
	}
	if x.awake(h) && x.storeReaches(h) {
		x.give(h, disseminator.StoreSeen{List: x.list(x.latest())})
	}
	x.after(4*time.Second, func() { x.watch(h, life) })
}

func (x *exchange) give(h *host, event disseminator.Event) (answer *codec.CatalogueAnswer) {
	for _, command := range h.Handle(x.now, event) {
		life := h.life
		switch c := command.(type) {
		case disseminator.ReadStore:
			x.after(x.delay(), func() { x.read(h, life) })
		case disseminator.Watch:
			h.watching = c.Enabled
			x.after(x.delay(), func() { x.watch(h, life) })
		case disseminator.Push:
			x.call(h, c.To, disseminator.Pushed{Delta: c.Delta})
		case disseminator.Compare:
			x.call(h, c.To, disseminator.Compared{Digest: c.Digest})
		case disseminator.Reply:
			answer = &c.Answer
		case disseminator.Apply:
			x.applied(h, c.Catalogue)
		case disseminator.Rejected:
			if strings.Contains(c.Reason, "digest") {
				x.fail("%s received a wrong delta from %s: %s", h.self.ID, c.From, c.Reason)
			}
		case disseminator.SetReady:
			h.ready = c.Ready
			x.readied(h)
		}
	}
	return answer
}

// applied guards against reverts, and against content that the store never held at that revision.
func (x *exchange) applied(h *host, c *codec.Catalogue) {
	if c.Revision <= h.current.Revision {
		x.fail("%s applied revision %d after %d", h.self.ID, c.Revision, h.current.Revision)
	}
	got, _ := json.Marshal(sorted(*c))
	want, _ := json.Marshal(sorted(x.stored[c.Revision]))
	if string(got) != string(want) {
		x.fail("%s holds other content at revision %d:\n%s\n%s", h.self.ID, c.Revision, got, want)
	}
	h.current = c
}

func sorted(c codec.Catalogue) codec.Catalogue {
	c.Entries = slices.Clone(c.Entries)
	slices.SortFunc(c.Entries, func(a, b codec.Entry) int { return slices.Compare([]byte(a.Name), []byte(b.Name)) })
	return c
}

// readied guards against a host that is ready with a revision below one that the store accepted earlier, when store and
// messages had no fault since.
func (x *exchange) readied(h *host) {
	const confirmed = 5 * time.Second
	if !h.ready || x.down || x.cut || x.loss > 0 || x.now.Sub(x.faultAt) < confirmed {
		return
	}
	for revision, at := range x.times {
		if x.now.Sub(at) >= confirmed && int(h.current.Revision) < revision {
			x.fail("%s is ready with revision %d, %v after revision %d", h.self.ID, h.current.Revision, x.now.Sub(at), revision)
		}
	}
}

func (x *exchange) read(h *host, life int) {
	if h.life != life || !x.awake(h) {
		return
	}
	if !x.storeReaches(h) {
		x.give(h, disseminator.StoreFailed{})
		return
	}
	x.give(h, disseminator.StoreSeen{List: x.list(x.latest()), Full: true})
}

func (x *exchange) call(from *host, to codec.Member, request disseminator.Event) {
	target := x.hosts[slices.IndexFunc(x.hosts, func(h *host) bool { return h.self.ID == to.ID })]
	life, finished := from.life, false
	finish := func(event disseminator.Event) {
		if !finished && from.life == life && x.awake(from) {
			finished = true
			x.give(from, event)
		}
	}
	x.after(3*time.Second, func() { finish(disseminator.Failed{To: to}) })
	x.after(x.delay(), func() {
		if x.lost(from, target) || !x.awake(target) {
			return
		}
		answer := x.give(target, request)
		x.after(x.delay(), func() {
			if !x.lost(from, target) {
				finish(disseminator.Answered{From: to, Answer: *answer})
			}
		})
	})
}

func (x *exchange) delay() time.Duration { return time.Duration(1+x.rand.IntN(20)) * time.Millisecond }

func (x *exchange) lost(a, b *host) bool {
	return x.cut && a.region != b.region || x.rand.Float64() < x.loss
}

// behind returns the running hosts that do not hold the latest revision or are not ready.
func (x *exchange) behind() []identifier.HostID {
	var ids []identifier.HostID
	for _, h := range x.hosts {
		if !h.crashed && (h.current.Revision != x.latest() || !h.ready) {
			ids = append(ids, h.self.ID)
		}
	}
	return ids
}

// settle returns how long it takes until every running host holds the latest revision and is ready, or the limit.
func (x *exchange) settle(limit time.Duration) time.Duration {
	start := x.now
	for x.now.Sub(start) < limit && len(x.behind()) > 0 {
		x.advance(100 * time.Millisecond)
	}
	return x.now.Sub(start)
}

// strict makes failed invariants fail the test.
func (x *exchange) strict() (restore func()) {
	return asserter.SetHandler(func(name asserter.Invariant, text string) { x.fail("%s: %s", name, text) })
}
