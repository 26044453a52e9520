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

// client is one Acquire call of the model.
type client struct {
	permit  string
	key     string
	started time.Time
	// ended tells that the call returned, granted that it returned a permit at grantedAt.
	ended     bool
	granted   bool
	grantedAt time.Time
	notRun    bool
	answer    string
}

// operation is a store call of an owner; ghosts are writes that were reported as uncertain and may still arrive.
type operation struct {
	owner   int
	command Command
	ghost   bool
}

// world runs several owners of one shard against one store, with virtual time and any order of events.
type world struct {
	io         *Permitter
	now        time.Time
	owners     []*Shard
	operations []operation
	clients    []*client
	tokens     map[Token]*client
	wakes      []time.Time
}

func newWorld(owners int) *world {
	w := &world{
		io:     &Permitter{settings: Settings{Store: storekeeper.New(), Log: logger.Discard(), StoreTimeout: time.Minute, ListTimeout: time.Minute}},
		now:    time.Date(2026, 1, 1, 0, 0, 0, 0, time.UTC),
		tokens: make(map[Token]*client),
		wakes:  make([]time.Time, owners),
	}
	for i := range owners {
		host := identifier.HostID(fmt.Sprintf("h%d", i))
		w.owners = append(w.owners, NewShard(Config{Host: host, FullRecords: 3, Rand: rand.New(rand.NewPCG(uint64(i), 1))}))
	}
	return w
}

func (w *world) handle(t *rapid.T, owner int, event Event) {
	for _, command := range w.owners[owner].Handle(w.now, event) {
		switch c := command.(type) {
		case Reply:
			w.reply(t, w.tokens[c.Token], c.Reply)
		case SetTimer:
			w.wakes[owner] = c.At
		case Confirm:
		default:
			w.operations = append(w.operations, operation{owner: owner, command: command})
		}
	}
}

// reply delivers a decision to its call, unless the call has ended.
func (w *world) reply(t *rapid.T, c *client, reply codec.PermitReply) {
	if c.ended {
		return
	}
	c.ended = true
	switch reply.Decision {
	case codec.PermitDecisionGranted:
		c.granted = true
		c.grantedAt = w.now
		w.checkOnlyUse(t, c)
	case codec.PermitDecisionAnswered:
		w.checkAnswer(t, c, string(reply.Answer.Body))
	case codec.PermitDecisionRefused, codec.PermitDecisionOutcomeUnknown, codec.PermitDecisionKeyReused:
	}
}

func (w *world) checkOnlyUse(t *rapid.T, c *client) {
	for _, other := range w.clients {
		if other != c && other.key == c.key && other.granted && !other.notRun {
			t.Fatalf("key %s: permits %s (at %s) and %s (at %s) are both in use", c.key, other.permit, other.grantedAt, c.permit, c.grantedAt)
		}
	}
}

func (w *world) checkAnswer(t *rapid.T, c *client, body string) {
	for _, other := range w.clients {
		if other.key == c.key && other.granted && !other.notRun && other.answer == body {
			return
		}
	}
	t.Fatalf("key %s: answer %q belongs to no run of this key", c.key, body)
}

// execute applies an operation to the store and returns the event for its owner.
func (w *world) execute(command Command) Event {
	ctx := context.Background()
	switch c := command.(type) {
	case List:
		return w.io.list(ctx, 0)
	case Get:
		return w.io.get(ctx, 0, c)
	case Put:
		return w.io.put(ctx, 0, c)
	case Delete:
		return w.io.delete(ctx, 0, c)
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

func (w *world) take(t *rapid.T) operation {
	if len(w.operations) == 0 {
		t.Skip("no operation")
	}
	i := rapid.IntRange(0, len(w.operations)-1).Draw(t, "operation")
	chosen := w.operations[i]
	w.operations = append(w.operations[:i:i], w.operations[i+1:]...)
	return chosen
}

func (w *world) succeed(t *rapid.T) {
	chosen := w.take(t)
	event := w.execute(chosen.command)
	if !chosen.ghost {
		w.handle(t, chosen.owner, event)
	}
}

func (w *world) lose(t *rapid.T) {
	chosen := w.take(t)
	if chosen.ghost {
		return
	}
	if rapid.Bool().Draw(t, "effect") {
		w.execute(chosen.command)
	} else {
		w.operations = append(w.operations, operation{command: chosen.command, ghost: true})
	}
	w.handle(t, chosen.owner, fail(chosen.command, StoreOutcomeUnknown))
}

func (w *world) refuse(t *rapid.T) {
	chosen := w.take(t)
	if !chosen.ghost {
		result := rapid.SampledFrom([]StoreResult{StoreDown, StoreThrottled}).Draw(t, "result")
		w.handle(t, chosen.owner, fail(chosen.command, result))
	}
}

func (w *world) request(t *rapid.T) {
	// A caller does not repeat a key later than the retention, so each key is used in one period only.
	key := fmt.Sprintf("%d-%d", w.now.Unix()/int64(DefaultRetention/time.Second), rapid.IntRange(0, 2).Draw(t, "key"))
	c := &client{permit: fmt.Sprintf("p%d", len(w.clients)), key: key, started: w.now}
	w.clients = append(w.clients, c)
	w.send(t, c)
}

func (w *world) send(t *rapid.T, c *client) {
	token := Token(len(w.tokens) + 1)
	w.tokens[token] = c
	request := codec.PermitRequest{From: "caller", Entry: "orders", Key: c.key, Fingerprint: "f", PermitID: c.permit}
	w.handle(t, w.drawOwner(t), Requested{Token: token, Request: request})
}

func (w *world) drawOwner(t *rapid.T) int { return rapid.IntRange(0, len(w.owners)-1).Draw(t, "owner") }

func (w *world) drawClient(t *rapid.T, matches func(*client) bool) *client {
	var found []*client
	for _, c := range w.clients {
		if matches(c) {
			found = append(found, c)
		}
	}
	if len(found) == 0 {
		t.Skip("no such call")
	}
	return rapid.SampledFrom(found).Draw(t, "call")
}

// repeat sends the request of a waiting call again, as after a lost reply.
func (w *world) repeat(t *rapid.T) {
	w.send(t, w.drawClient(t, func(c *client) bool { return !c.ended }))
}

// complete reports the end of a granted call, and withdraws the permit of a call that ended without one.
func (w *world) complete(t *rapid.T) {
	c := w.drawClient(t, func(c *client) bool { return c.ended })
	completion := codec.PermitCompletion{From: "caller", Entry: "orders", Key: c.key, PermitID: c.permit}
	switch {
	case !c.granted, c.notRun:
		completion.NotRun = true
	case c.answer == "" && rapid.Bool().Draw(t, "unsent"):
		c.notRun = true
		completion.NotRun = true
	default:
		c.answer = "answer of " + c.permit
		completion.Answer = &codec.StoredAnswer{Status: 200, Body: []byte(c.answer)}
	}
	token := Token(len(w.tokens) + 1)
	w.tokens[token] = c
	w.handle(t, w.drawOwner(t), Completed{Token: token, Completion: completion})
}

func (w *world) advance(t *rapid.T) {
	w.now = w.now.Add(rapid.SampledFrom([]time.Duration{10 * time.Millisecond, DefaultBatchWindow, time.Second, 11 * time.Minute}).Draw(t, "time"))
	for _, c := range w.clients {
		c.ended = c.ended || w.now.Sub(c.started) > time.Minute
	}
}

// wake lets one owner notice the time; the others stay frozen.
func (w *world) wake(t *rapid.T) {
	owner := w.drawOwner(t)
	if w.wakes[owner].IsZero() || w.now.Before(w.wakes[owner]) {
		t.Skip("not due")
	}
	w.wakes[owner] = time.Time{}
	w.handle(t, owner, TimerFired{})
}

// Guards against a permit that two calls may use, and an answer of another request: several owners of one shard at
// once, frozen owners, lost and late store responses, store outages, takeovers, rollover and deletion of segments.
func TestShardGrantsEachKeyOnce(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		defer asserter.SetHandler(func(name asserter.Invariant, text string) { t.Fatalf("invariant %s: %s", name, text) })()
		w := newWorld(3)
		t.Repeat(map[string]func(*rapid.T){
			"request": w.request, "repeat": w.repeat, "complete": w.complete,
			"succeed": w.succeed, "succeed_too": w.succeed, "lose": w.lose, "refuse": w.refuse,
			"advance": w.advance, "wake": w.wake, "wake_too": w.wake,
			"release": func(t *rapid.T) { w.handle(t, w.drawOwner(t), Released{}) },
		})
		w.finish(t)
	})
}

// finish lets all owners and the store work without faults; every call must then get its decision.
func (w *world) finish(t *rapid.T) {
	calls := 0
	for range 100 {
		for len(w.operations) > 0 {
			calls++
			require.Less(t, calls, 10_000, "the owners do not come to rest")
			chosen := w.operations[0]
			w.operations = w.operations[1:]
			event := w.execute(chosen.command)
			if !chosen.ghost {
				w.handle(t, chosen.owner, event)
			}
		}
		w.now = w.now.Add(DefaultBatchWindow)
		for owner := range w.owners {
			w.handle(t, owner, TimerFired{})
		}
	}
	for _, c := range w.clients {
		require.True(t, c.ended, "call %s for key %s got no decision", c.permit, c.key)
	}
}
