package permitter

import (
	"context"
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"

	"celerygap.example/lib/asserter"
	"celerygap.example/lib/codec"
	"celerygap.example/lib/identifier"
	"celerygap.example/lib/logger"
	"celerygap.example/service/storekeeper"
)

// acquireCall is one simulated Acquire call.
type acquireCall struct {
	permit  string
	key     string
	started time.Time
	// ended is set once the call has returned, and granted if it returned a permit, at grantedAt.
	ended     bool
	granted   bool
	grantedAt time.Time
	notRun    bool
	response  string
}

// operation is a store call of an owner; late marks a call whose outcome was reported as unknown and that may still take
// effect.
type operation struct {
	owner   int
	command Command
	late    bool
}

// simulation runs several owners of one shard against one store, with virtual time and events in any order.
type simulation struct {
	permitter    *Permitter
	now          time.Time
	owners       []*Shard
	operations   []operation
	acquireCalls []*acquireCall
	tokens       map[Token]*acquireCall
	wakes        []time.Time
}

func newSimulation(owners int) *simulation {
	s := &simulation{
		permitter: &Permitter{config: Config{Store: storekeeper.New(), Log: logger.Discard(), StoreTimeout: time.Minute, ListTimeout: time.Minute}},
		now:       time.Date(2026, 1, 1, 0, 0, 0, 0, time.UTC),
		tokens:    make(map[Token]*acquireCall),
		wakes:     make([]time.Time, owners),
	}
	for i := range owners {
		host := identifier.HostID(fmt.Sprintf("h%d", i))
		s.owners = append(s.owners, NewShard(ShardConfig{Host: host, FullRecords: 3, Rand: rand.New(rand.NewPCG(uint64(i), 1))}))
	}
	return s
}

func (s *simulation) handle(t *rapid.T, owner int, event Event) {
	for _, command := range s.owners[owner].Handle(s.now, event) {
		switch c := command.(type) {
		case Reply:
			s.reply(t, s.tokens[c.Token], c.Reply)
		case SetTimer:
			s.wakes[owner] = c.At
		case Confirm:
		default:
			s.operations = append(s.operations, operation{owner: owner, command: command})
		}
	}
}

// reply delivers a decision to its call, unless the call has ended.
func (s *simulation) reply(t *rapid.T, c *acquireCall, reply codec.PermitReply) {
	if c.ended {
		return
	}
	c.ended = true
	switch reply.Decision {
	case codec.PermitDecisionGranted:
		c.granted = true
		c.grantedAt = s.now
		s.checkOnlyUse(t, c)
	case codec.PermitDecisionAnswered:
		s.checkResponse(t, c, string(reply.Answer.Body))
	case codec.PermitDecisionRefused, codec.PermitDecisionOutcomeUnknown, codec.PermitDecisionKeyReused:
	}
}

func (s *simulation) checkOnlyUse(t *rapid.T, c *acquireCall) {
	for _, other := range s.acquireCalls {
		if other != c && other.key == c.key && other.granted && !other.notRun {
			t.Fatalf("key %s: permits %s (at %s) and %s (at %s) are both in use", c.key, other.permit, other.grantedAt, c.permit, c.grantedAt)
		}
	}
}

func (s *simulation) checkResponse(t *rapid.T, c *acquireCall, body string) {
	for _, other := range s.acquireCalls {
		if other.key == c.key && other.granted && !other.notRun && other.response == body {
			return
		}
	}
	t.Fatalf("key %s: response %q belongs to no run of this key", c.key, body)
}

// execute applies an operation to the store and returns the event for its owner.
func (s *simulation) execute(command Command) Event {
	ctx := context.Background()
	switch c := command.(type) {
	case List:
		return s.permitter.list(ctx, 0)
	case Get:
		return s.permitter.get(ctx, 0, c)
	case Put:
		return s.permitter.put(ctx, 0, c)
	case Delete:
		return s.permitter.delete(ctx, 0, c)
	default:
		panic(fmt.Sprintf("unexpected command %T", command))
	}
}

// fail returns the event of a failed call.
func fail(command Command, result StoreResult) Event {
	switch c := command.(type) {
	case List:
		return Listed{Result: result}
	case Get:
		return Fetched{Result: result}
	case Delete:
		return Deleted{Result: result, Number: c.Number}
	default:
		return Written{Result: result}
	}
}

func (s *simulation) take(t *rapid.T) operation {
	if len(s.operations) == 0 {
		t.Skip("no operation")
	}
	i := rapid.IntRange(0, len(s.operations)-1).Draw(t, "operation")
	chosen := s.operations[i]
	s.operations = append(s.operations[:i:i], s.operations[i+1:]...)
	return chosen
}

func (s *simulation) succeed(t *rapid.T) {
	chosen := s.take(t)
	event := s.execute(chosen.command)
	if !chosen.late {
		s.handle(t, chosen.owner, event)
	}
}

func (s *simulation) lose(t *rapid.T) {
	chosen := s.take(t)
	if chosen.late {
		return
	}
	if rapid.Bool().Draw(t, "effect") {
		s.execute(chosen.command)
	} else {
		s.operations = append(s.operations, operation{command: chosen.command, late: true})
	}
	s.handle(t, chosen.owner, fail(chosen.command, StoreOutcomeUnknown))
}

func (s *simulation) refuse(t *rapid.T) {
	chosen := s.take(t)
	if !chosen.late {
		result := rapid.SampledFrom([]StoreResult{StoreUnavailable, StoreThrottled}).Draw(t, "result")
		s.handle(t, chosen.owner, fail(chosen.command, result))
	}
}

func (s *simulation) request(t *rapid.T) {
	// A caller does not repeat a key later than the retention, so each key is used in one period only.
	key := fmt.Sprintf("%d-%d", s.now.Unix()/int64(DefaultRetention/time.Second), rapid.IntRange(0, 2).Draw(t, "key"))
	c := &acquireCall{permit: fmt.Sprintf("p%d", len(s.acquireCalls)), key: key, started: s.now}
	s.acquireCalls = append(s.acquireCalls, c)
	s.send(t, c)
}

func (s *simulation) send(t *rapid.T, c *acquireCall) {
	token := Token(len(s.tokens) + 1)
	s.tokens[token] = c
	request := codec.PermitRequest{From: "caller", Entry: "orders", Key: c.key, Fingerprint: "f", PermitID: c.permit}
	s.handle(t, s.drawOwner(t), Requested{Token: token, Request: request})
}

func (s *simulation) drawOwner(t *rapid.T) int {
	return rapid.IntRange(0, len(s.owners)-1).Draw(t, "owner")
}

func (s *simulation) drawCall(t *rapid.T, matches func(*acquireCall) bool) *acquireCall {
	var found []*acquireCall
	for _, c := range s.acquireCalls {
		if matches(c) {
			found = append(found, c)
		}
	}
	if len(found) == 0 {
		t.Skip("no such call")
	}
	return rapid.SampledFrom(found).Draw(t, "call")
}

// repeat sends the permit request of a waiting call again, as after a lost reply.
func (s *simulation) repeat(t *rapid.T) {
	s.send(t, s.drawCall(t, func(c *acquireCall) bool { return !c.ended }))
}

// complete reports how a granted call ended, and withdraws the permit of a call that ended without a grant.
func (s *simulation) complete(t *rapid.T) {
	c := s.drawCall(t, func(c *acquireCall) bool { return c.ended })
	completion := codec.PermitCompletion{From: "caller", Entry: "orders", Key: c.key, PermitID: c.permit}
	switch {
	case !c.granted, c.notRun:
		completion.NotRun = true
	case c.response == "" && rapid.Bool().Draw(t, "unsent"):
		c.notRun = true
		completion.NotRun = true
	default:
		c.response = "response of " + c.permit
		completion.Answer = &codec.StoredAnswer{Status: 200, Body: []byte(c.response)}
	}
	token := Token(len(s.tokens) + 1)
	s.tokens[token] = c
	s.handle(t, s.drawOwner(t), Completed{Token: token, Completion: completion})
}

func (s *simulation) advance(t *rapid.T) {
	s.now = s.now.Add(rapid.SampledFrom([]time.Duration{10 * time.Millisecond, DefaultBatchWindow, time.Second, 11 * time.Minute}).Draw(t, "time"))
	for _, c := range s.acquireCalls {
		c.ended = c.ended || s.now.Sub(c.started) > time.Minute
	}
}

// wake fires the due timer of one owner; the others stay frozen.
func (s *simulation) wake(t *rapid.T) {
	owner := s.drawOwner(t)
	if s.wakes[owner].IsZero() || s.now.Before(s.wakes[owner]) {
		t.Skip("not due")
	}
	s.wakes[owner] = time.Time{}
	s.handle(t, owner, TimerFired{})
}

// Guards against two usable permits for one key, and against a response that belongs to another request. There are several
// owners of one shard at the same time, frozen owners, lost and late store responses, store outages, takeovers, and full and
// deleted segments. The actions succeed_too and wake_too double the probabilities of succeed and wake.
func TestShardGrantsEachKeyOnce(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		defer asserter.SetHandler(func(name asserter.Invariant, text string) { t.Fatalf("invariant %s: %s", name, text) })()
		s := newSimulation(3)
		t.Repeat(map[string]func(*rapid.T){
			"request": s.request, "repeat": s.repeat, "complete": s.complete,
			"succeed": s.succeed, "succeed_too": s.succeed, "lose": s.lose, "refuse": s.refuse,
			"advance": s.advance, "wake": s.wake, "wake_too": s.wake,
			"release": func(t *rapid.T) { s.handle(t, s.drawOwner(t), Released{}) },
		})
		s.finish(t)
	})
}

// finish runs all owners and the store without faults; every call must then get a decision.
func (s *simulation) finish(t *rapid.T) {
	calls := 0
	for range 100 {
		for len(s.operations) > 0 {
			calls++
			require.Less(t, calls, 10_000, "the owners do not stop calling the store")
			chosen := s.operations[0]
			s.operations = s.operations[1:]
			event := s.execute(chosen.command)
			if !chosen.late {
				s.handle(t, chosen.owner, event)
			}
		}
		s.now = s.now.Add(DefaultBatchWindow)
		for owner := range s.owners {
			s.handle(t, owner, TimerFired{})
		}
	}
	for _, c := range s.acquireCalls {
		require.True(t, c.ended, "call %s for key %s got no decision", c.permit, c.key)
	}
}
