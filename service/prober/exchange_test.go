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

// exchange carries messages between state machines in virtual time, with loss, delay, partition, freeze and crash.
type exchange struct {
	fail  func(format string, args ...any)
	rand  *rand.Rand
	now   time.Time
	queue []task
	hosts []*host
	loss  float64
	// cut reports whether a partition is between two hosts.
	cut func(a, b *host) bool
	// largest is the largest number of piggybacked updates of a message.
	largest int
	bytes   int
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
	life             int
	// suspicions counts the hosts that this one held suspect.
	suspicions int
	deadSeen   map[identifier.HostID]time.Time
}

type task struct {
	at  time.Time
	run func()
}

func newExchange(n int, seed uint64, fail func(string, ...any)) *exchange {
	x := &exchange{
		fail: fail, rand: rand.New(rand.NewPCG(seed, 1)), now: time.Unix(1_700_000_000, 0),
		cut: func(_, _ *host) bool { return false },
	}
	for i := range n {
		h := &host{self: codec.Member{
			ID: identifier.HostID(fmt.Sprintf("h%03d", i)), Address: fmt.Sprintf("address-%d", i),
			Zone: identifier.Zone(fmt.Sprintf("z%d", i%3)),
		}}
		x.hosts = append(x.hosts, h)
	}
	for _, h := range x.hosts {
		x.start(h)
	}
	return x
}

// start begins a new process of a host, which knows the platform's list.
func (x *exchange) start(h *host) {
	h.life++
	h.crashed, h.left, h.frozen = false, false, time.Time{}
	h.self.Incarnation = identifier.Incarnation(x.now.UnixMilli())
	h.live, h.seen = nil, make(map[identifier.HostID]codec.Member)
	h.proven, h.suspects = make(map[identifier.Fingerprint]bool), make(map[identifier.Fingerprint]bool)
	h.deadSeen = make(map[identifier.HostID]time.Time)
	h.Prober = prober.New(prober.Config{Self: h.self, Rand: rand.New(rand.NewPCG(x.rand.Uint64(), 2))})
	var listed []prober.ListedMember
	for _, other := range x.hosts {
		listed = append(listed, prober.ListedMember{Member: other.self})
	}
	x.give(h, prober.Listed{Hosts: listed})
	x.tick(h, h.life)
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
	if !x.now.Before(h.frozen) {
		x.give(h, prober.Tick{})
	}
	x.after(200*time.Millisecond, func() { x.tick(h, life) })
}

// give handles an event and carries out the commands; it returns the answer to a request.
func (x *exchange) give(h *host, event prober.Event) (answer prober.Command) {
	for _, command := range h.Handle(x.now, event) {
		switch c := command.(type) {
		case prober.Send:
			x.call(h, c.To, prober.Received{Message: c.Message}, c.Message, prober.DefaultTiming.ProbeTimeout, func(reply *codec.ProbeMessage) {
				if reply == nil {
					x.give(h, prober.Failed{ID: c.ID})
					return
				}
				x.give(h, prober.Answered{ID: c.ID, Reply: *reply})
			})
		case prober.SendIndirect:
			x.call(h, c.Via, prober.RelayRequested{Message: c.Message}, c.Message, prober.DefaultTiming.ProbeTimeout, func(reply *codec.ProbeMessage) {
				if reply != nil {
					x.give(h, prober.Relayed{ID: c.ID, Reached: true, Reply: *reply})
				}
			})
		case prober.Reply, prober.Relay:
			answer = c
		case prober.Publish:
			x.check(h, c)
		case prober.Changed:
			if c.Member.State == codec.MemberStateSuspect {
				h.suspicions++
			}
			if c.Member.State == codec.MemberStateDead {
				h.deadSeen[c.Member.ID] = x.now
			}
		case prober.Learned:
			for _, f := range c.Proven {
				h.proven[f.Fingerprint] = true
			}
			for _, f := range c.Suspects {
				h.suspects[f.Fingerprint] = true
			}
		}
	}
	return answer
}

// check guards against a list that is not sorted, or in which an incarnation goes back.
func (x *exchange) check(h *host, c prober.Publish) {
	if c.Self.Incarnation < h.self.Incarnation {
		x.fail("%s lowered its own incarnation", h.self.ID)
	}
	h.self = c.Self
	for i, m := range c.Live {
		if i > 0 && c.Live[i-1].ID >= m.ID {
			x.fail("live list of %s is not sorted", h.self.ID)
		}
		if former, ok := h.seen[m.ID]; ok && m.Incarnation < former.Incarnation {
			x.fail("%s sees %s go back from incarnation %d to %d", h.self.ID, m.ID, former.Incarnation, m.Incarnation)
		}
		h.seen[m.ID] = m
	}
	h.live = c.Live
}

// call delivers a request and its reply; done gets nil after the timeout.
func (x *exchange) call(from *host, to codec.Member, request prober.Event, message codec.ProbeMessage, timeout time.Duration, done func(*codec.ProbeMessage)) {
	x.largest = max(x.largest, len(message.Updates))
	target := x.hosts[slices.IndexFunc(x.hosts, func(h *host) bool { return h.self.Address == to.Address })]
	life, finished := from.life, false
	finish := func(reply *codec.ProbeMessage) {
		if !finished && from.life == life && !from.crashed && !x.now.Before(from.frozen) {
			finished = true
			done(reply)
		}
	}
	x.after(timeout, func() { finish(nil) })
	x.after(x.delay(), func() {
		if x.lost(from, target) {
			return
		}
		if target.crashed {
			x.after(x.delay(), func() { finish(nil) })
			return
		}
		x.deliver(from, target, request, finish)
	})
}

func (x *exchange) deliver(from, target *host, request prober.Event, finish func(*codec.ProbeMessage)) {
	if x.now.Before(target.frozen) {
		return
	}
	back := func(reply *codec.ProbeMessage) {
		x.after(x.delay(), func() {
			if !x.lost(target, from) {
				finish(reply)
			}
		})
	}
	switch c := x.give(target, request).(type) {
	case prober.Reply:
		x.largest = max(x.largest, len(c.Message.Updates))
		back(&c.Message)
	case prober.Relay:
		x.call(target, c.To, prober.Received{Message: c.Message}, c.Message, prober.DefaultTiming.DirectTimeout, func(reply *codec.ProbeMessage) {
			if reply != nil {
				back(reply)
			}
		})
	}
}

func (x *exchange) delay() time.Duration {
	return time.Duration(1+x.rand.IntN(20)) * time.Millisecond
}

func (x *exchange) lost(a, b *host) bool { return x.cut(a, b) || x.rand.Float64() < x.loss }

// running returns the ids of the hosts that run and have not left.
func (x *exchange) running() []identifier.HostID {
	var ids []identifier.HostID
	for _, h := range x.hosts {
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
func (x *exchange) agreed() bool {
	running := x.running()
	for _, h := range x.hosts {
		if !h.crashed && !h.left && !slices.Equal(h.liveIDs(), running) {
			return false
		}
	}
	return true
}

// settle returns how long it takes until the running hosts agree, or the limit.
func (x *exchange) settle(limit time.Duration) time.Duration {
	start := x.now
	for x.now.Sub(start) < limit && !x.agreed() {
		x.advance(200 * time.Millisecond)
	}
	return x.now.Sub(start)
}
