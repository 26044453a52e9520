package permitter_test

import (
	"context"
	"strconv"
	"sync"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/require"

	"celerygap.example/lib/codec"
	"celerygap.example/lib/identifier"
	"celerygap.example/lib/refuser"
	"celerygap.example/service/permitter"
	"celerygap.example/service/storekeeper"
)

func complete(ctx context.Context, t require.TestingT, p *permitter.Permitter, key, permit string, response *codec.StoredAnswer) {
	completion := codec.PermitCompletion{Entry: "orders", Key: key, PermitID: permit, Answer: response, NotRun: response == nil}
	require.NoError(t, p.Complete(ctx, completion))
}

// Guards against a repeat that runs again or does not get the stored response.
func TestRepeatGetsStoredAnswer(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		failOnViolation(t)
		store := storekeeper.New()
		c := startCluster(t, permitter.Config{}, store, store, store)
		granted := acquire(t.Context(), t, c.permits(0), "k", "body")
		require.Equal(t, codec.PermitDecisionGranted, granted.Decision)
		response := &codec.StoredAnswer{Status: 201, Body: []byte("done")}
		complete(t.Context(), t, c.permits(0), "k", granted.PermitID, response)
		repeat := acquire(t.Context(), t, c.permits(1), "k", "body")
		require.Equal(t, codec.PermitDecisionAnswered, repeat.Decision)
		require.Equal(t, response, repeat.Answer)
		require.Equal(t, codec.PermitDecisionKeyReused, acquire(t.Context(), t, c.permits(2), "k", "other").Decision)
	})
}

// Guards against a not_run completion that leaves its key blocked, and against a request that runs again because its
// response is too large to be stored.
func TestNotRunFreesTheKeyAndLargeAnswerDoesNot(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		failOnViolation(t)
		store := storekeeper.New()
		c := startCluster(t, permitter.Config{}, store, store)
		for range 2 {
			granted := acquire(t.Context(), t, c.permits(0), "k", "body")
			require.Equal(t, codec.PermitDecisionGranted, granted.Decision)
			complete(t.Context(), t, c.permits(0), "k", granted.PermitID, nil)
		}
		granted := acquire(t.Context(), t, c.permits(1), "k", "body")
		large := &codec.StoredAnswer{Status: 200, Body: make([]byte, permitter.MaxStoredResponse+1)}
		complete(t.Context(), t, c.permits(1), "k", granted.PermitID, large)
		require.Equal(t, codec.PermitDecisionOutcomeUnknown, acquire(t.Context(), t, c.permits(0), "k", "body").Decision)
	})
}

// Guards against two runs, or a refusal, when callers send the same key to several hosts at the same time.
func TestSimultaneousCallersGetOneAnswer(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		failOnViolation(t)
		store := storekeeper.New()
		c := startCluster(t, permitter.Config{}, store, store, store)
		var group sync.WaitGroup
		var runs atomic.Int64
		for i := range 6 {
			group.Go(func() {
				reply := acquire(t.Context(), t, c.permits(i%3), "k", "body")
				if reply.Decision == codec.PermitDecisionGranted {
					runs.Add(1)
					time.Sleep(100 * time.Millisecond)
					complete(t.Context(), t, c.permits(i%3), "k", reply.PermitID, &codec.StoredAnswer{Status: 200, Body: []byte("one")})
					return
				}
				if reply.Decision != codec.PermitDecisionAnswered || string(reply.Answer.Body) != "one" {
					t.Errorf("unexpected reply %+v", reply)
				}
			})
		}
		group.Wait()
		require.EqualValues(t, 1, runs.Load())
	})
}

// Guards against a store outage during which requests are refused late or for another reason, or which leaves keys blocked
// afterwards.
func TestStoreDownRefusesAtOnce(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		failOnViolation(t)
		store := storekeeper.New()
		c := startCluster(t, permitter.Config{Shards: 1}, store, store)
		for _, key := range []string{"before the takeover", "after the takeover"} {
			store.SetFaults(storekeeper.Faults{Down: true})
			start := time.Now()
			reply := acquire(t.Context(), t, c.permits(0), key, "body")
			require.Equal(t, codec.PermitDecisionRefused, reply.Decision)
			require.Equal(t, string(refuser.StoreUnavailable), reply.Reason)
			require.Less(t, time.Since(start), time.Second)
			store.SetFaults(storekeeper.Faults{})
			require.Equal(t, codec.PermitDecisionGranted, acquire(t.Context(), t, c.permits(0), key, "body").Decision)
		}
	})
}

// Guards against a second permit, or a blocked key, when the call to the first owner is lost before or after its execution
// and the requester calls the next owner.
func TestLostReplyIsGrantedByTheNextOwner(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		failOnViolation(t)
		store := storekeeper.New()
		c := startCluster(t, permitter.Config{}, store, store, store)
		for i := range 30 {
			var lost atomic.Bool
			c.mu.Lock()
			c.loseCall = func(_ identifier.HostID, method string) (before, after bool) {
				first := method == permitter.MethodPermit && !lost.Swap(true)
				return first && i%2 == 0, first && i%2 == 1
			}
			c.mu.Unlock()
			key := strconv.Itoa(i)
			reply := acquire(t.Context(), t, c.permits(i%3), key, "body")
			require.Equal(t, codec.PermitDecisionGranted, reply.Decision, reply.Reason)
			complete(t.Context(), t, c.permits(i%3), key, reply.PermitID, &codec.StoredAnswer{Status: 200, Body: []byte(key)})
			require.Equal(t, codec.PermitDecisionAnswered, acquire(t.Context(), t, c.permits((i+1)%3), key, "body").Decision)
		}
	})
}

// Guards against a key that stays blocked after an Acquire call that was refused although its permit was recorded.
func TestUndeliveredPermitIsWithdrawn(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		failOnViolation(t)
		store := storekeeper.New()
		c := startCluster(t, permitter.Config{}, store, store, store, store)
		c.mu.Lock()
		c.loseCall = func(_ identifier.HostID, method string) (before, after bool) {
			return false, method == permitter.MethodPermit
		}
		c.mu.Unlock()
		reply := acquire(t.Context(), t, c.permits(0), "k", "body")
		require.Equal(t, string(refuser.PermitOwnerUnreachable), reply.Reason)
		c.mu.Lock()
		c.loseCall = nil
		c.mu.Unlock()
		ctx, cancel := context.WithTimeout(t.Context(), 10*time.Second)
		defer cancel()
		require.Equal(t, codec.PermitDecisionGranted, acquire(ctx, t, c.permits(1), "k", "body").Decision)
	})
}

// Guards against requests that are refused because their owner is draining, and against a second permit for a key when two
// hosts with different views of the membership both consider themselves its owner.
func TestDenialsLeadToAnotherOwner(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		failOnViolation(t)
		store := storekeeper.New()
		c := startCluster(t, permitter.Config{}, store, store, store)
		c.permits(0).Drain()
		for i := range 20 {
			require.Equal(t, codec.PermitDecisionGranted, acquire(t.Context(), t, c.permits(i%3), strconv.Itoa(i), "body").Decision)
		}
		c.mu.Lock()
		for _, h := range c.hosts {
			h.localMembers = []codec.Member{h.member}
		}
		c.mu.Unlock()
		granted := 0
		for i := range 20 {
			if acquire(t.Context(), t, c.permits(1+i%2), "split"+strconv.Itoa(i/2), "body").Decision == codec.PermitDecisionGranted {
				granted++
				continue
			}
		}
		require.Equal(t, 10, granted, "want one permit for each key although two hosts consider themselves its owner")
	})
}
