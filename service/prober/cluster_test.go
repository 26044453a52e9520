package prober_test

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"time"

	"celerygap.example/lib/codec"
	"celerygap.example/lib/identifier"
	"celerygap.example/service/prober"
)

// cluster runs the state machines of several hosts in virtual time, with loss and delay of messages, partitions, freezes
// and crashes.
type cluster struct {
	fail  func(format string, args ...any)
	rand  *rand.Rand
	now   time.Time
	queue []task
	hosts []*host
	loss  float64
	// partitioned reports whether a partition separates two hosts.
	partitioned func(a, b *host) bool
	// maxUpdates is the largest number of piggybacked updates in a message so far.
	maxUpdates int
	bytes      int
}

type host struct {
	*prober.Prober
	self             codec.Member
	live             []codec.Member
	seen             map[identifier.HostID]codec.Member
	proven, suspects map[identifier.Fingerprint]bool
	crashed          bool
	left             bool
	frozen           time.Time
	generation       int
	// suspicions counts how often this host began to suspect a member.
	suspicions   int
	declaredDead map[identifier.HostID]time.Time
}

type task struct {
	at  time.Time
	run func()
}

func newCluster(n int, seed uint64, fail func(string, ...any)) *cluster {
	c := &cluster{
		fail: fail, rand: rand.New(rand.NewPCG(seed, 1)), now: time.Unix(1_700_000_000, 0),
		partitioned: func(_, _ *host) bool { return false },
	}
	for i := range n {
		h := &host{self: codec.Member{
			ID: identifier.HostID(fmt.Sprintf("h%03d", i)), Address: fmt.Sprintf("address-%d", i),
			Zone: identifier.Zone(fmt.Sprintf("z%d", i%3)),
		}}
		c.hosts = append(c.hosts, h)
	}
	for _, h := range c.hosts {
		c.start(h)
	}
	return c
}

// start begins a new process of a host and gives it the platform's list.
func (c *cluster) start(h *host) {
	h.generation++
	h.crashed, h.left, h.frozen = false, false, time.Time{}
	h.self.Incarnation = identifier.Incarnation(c.now.UnixMilli())
	h.live, h.seen = nil, make(map[identifier.HostID]codec.Member)
	h.proven, h.suspects = make(map[identifier.Fingerprint]bool), make(map[identifier.Fingerprint]bool)
	h.declaredDead = make(map[identifier.HostID]time.Time)
	h.Prober = prober.New(prober.Config{Self: h.self, Rand: rand.New(rand.NewPCG(c.rand.Uint64(), 2))})
	var listed []prober.ListedMember
	for _, other := range c.hosts {
		listed = append(listed, prober.ListedMember{Member: other.self})
	}
	c.handle(h, prober.Listed{Hosts: listed})
	c.tick(h, h.generation)
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
	if !c.now.Before(h.frozen) {
		c.handle(h, prober.Tick{})
	}
	c.after(200*time.Millisecond, func() { c.tick(h, generation) })
}

// handle feeds an event to a host and executes the commands; it returns the Reply or Relay for a request.
func (c *cluster) handle(h *host, event prober.Event) (result prober.Command) {
	for _, command := range h.Handle(c.now, event) {
		switch cmd := command.(type) {
		case prober.Send:
			c.call(h, cmd.To, prober.Received{Message: cmd.Message}, cmd.Message, prober.DefaultTiming.ProbeTimeout, func(response *codec.ProbeMessage) {
				if response == nil {
					c.handle(h, prober.Failed{ID: cmd.ID})
					return
				}
				c.handle(h, prober.Responded{ID: cmd.ID, Response: *response})
			})
		case prober.SendIndirect:
			c.call(h, cmd.Via, prober.RelayRequested{Message: cmd.Message}, cmd.Message, prober.DefaultTiming.ProbeTimeout, func(response *codec.ProbeMessage) {
				if response != nil {
					c.handle(h, prober.Relayed{ID: cmd.ID, Reached: true, Response: *response})
				}
			})
		case prober.Reply, prober.Relay:
			result = cmd
		case prober.Publish:
			c.check(h, cmd)
		case prober.Changed:
			if cmd.Member.State == codec.MemberStateSuspect {
				h.suspicions++
			}
			if cmd.Member.State == codec.MemberStateDead {
				h.declaredDead[cmd.Member.ID] = c.now
			}
		case prober.Learned:
			for _, f := range cmd.Proven {
				h.proven[f.Fingerprint] = true
			}
			for _, f := range cmd.Suspects {
				h.suspects[f.Fingerprint] = true
			}
		}
	}
	return result
}

// check fails the test if a published list is not sorted by id or an incarnation decreases.
func (c *cluster) check(h *host, published prober.Publish) {
	if published.Self.Incarnation < h.self.Incarnation {
		c.fail("%s lowered its own incarnation", h.self.ID)
	}
	h.self = published.Self
	for i, m := range published.Live {
		if i > 0 && published.Live[i-1].ID >= m.ID {
			c.fail("live list of %s is not sorted", h.self.ID)
		}
		if former, ok := h.seen[m.ID]; ok && m.Incarnation < former.Incarnation {
			c.fail("%s published a lower incarnation of %s: %d, then %d", h.self.ID, m.ID, former.Incarnation, m.Incarnation)
		}
		h.seen[m.ID] = m
	}
	h.live = published.Live
}

// call delivers a request and its response; done receives nil after the timeout or from a crashed target.
func (c *cluster) call(from *host, to codec.Member, request prober.Event, message codec.ProbeMessage, timeout time.Duration, done func(*codec.ProbeMessage)) {
	c.maxUpdates = max(c.maxUpdates, len(message.Updates))
	target := c.hosts[slices.IndexFunc(c.hosts, func(h *host) bool { return h.self.Address == to.Address })]
	generation, finished := from.generation, false
	finish := func(response *codec.ProbeMessage) {
		if !finished && from.generation == generation && !from.crashed && !c.now.Before(from.frozen) {
			finished = true
			done(response)
		}
	}
	c.after(timeout, func() { finish(nil) })
	c.after(c.delay(), func() {
		if c.lost(from, target) {
			return
		}
		if target.crashed {
			c.after(c.delay(), func() { finish(nil) })
			return
		}
		c.deliver(from, target, request, finish)
	})
}

func (c *cluster) deliver(from, target *host, request prober.Event, finish func(*codec.ProbeMessage)) {
	if c.now.Before(target.frozen) {
		return
	}
	respond := func(response *codec.ProbeMessage) {
		c.after(c.delay(), func() {
			if !c.lost(target, from) {
				finish(response)
			}
		})
	}
	switch cmd := c.handle(target, request).(type) {
	case prober.Reply:
		c.maxUpdates = max(c.maxUpdates, len(cmd.Message.Updates))
		respond(&cmd.Message)
	case prober.Relay:
		c.call(target, cmd.To, prober.Received{Message: cmd.Message}, cmd.Message, prober.DefaultTiming.DirectTimeout, func(response *codec.ProbeMessage) {
			if response != nil {
				respond(response)
			}
		})
	}
}

func (c *cluster) delay() time.Duration {
	return time.Duration(1+c.rand.IntN(20)) * time.Millisecond
}

func (c *cluster) lost(a, b *host) bool { return c.partitioned(a, b) || c.rand.Float64() < c.loss }

// running returns the ids of the hosts that run and have not left.
func (c *cluster) running() []identifier.HostID {
	var ids []identifier.HostID
	for _, h := range c.hosts {
		if !h.crashed && !h.left {
			ids = append(ids, h.self.ID)
		}
	}
	return ids
}

func (h *host) liveIDs() []identifier.HostID {
	var ids []identifier.HostID
	for _, m := range h.live {
		ids = append(ids, m.ID)
	}
	return ids
}

// agreed reports whether each running host sees exactly the running hosts.
func (c *cluster) agreed() bool {
	running := c.running()
	for _, h := range c.hosts {
		if !h.crashed && !h.left && !slices.Equal(h.liveIDs(), running) {
			return false
		}
	}
	return true
}

// runUntilAgreed advances the time and returns how long it takes until the running hosts agree, or the limit.
func (c *cluster) runUntilAgreed(limit time.Duration) time.Duration {
	start := c.now
	for c.now.Sub(start) < limit && !c.agreed() {
		c.advance(200 * time.Millisecond)
	}
	return c.now.Sub(start)
}
