package soak

import (
	"context"
	"encoding/json"
	"fmt"
	"math/rand/v2"
	"net/http"
	"slices"
	"sync"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"celerygap.example/lib/codec"
	"celerygap.example/lib/grouper"
	"celerygap.example/lib/identifier"
	"celerygap.example/standin/provider"
)

// accepted is an edit whose acceptance an operator saw.
type accepted struct {
	edit   identifier.EditID
	author string
	at     time.Time
	// outage and frozen are the readings of the stopwatches at that time.
	outage time.Duration
	frozen map[*process]time.Duration
}

// revisions watches the revision on each host and the edits that operators made.
type revisions struct {
	c *cluster
	// hosts are those that ran when the watch began.
	hosts []*process

	mu        sync.Mutex
	edits     map[identifier.Revision]accepted
	conflicts int
	unclear   int
	// seen is the highest revision of each host since it started.
	seen map[*process]seenRevision
	// outage counts the time in which the store was down or slow, frozen that in which each host was not running.
	outage stopwatch
	frozen map[*process]*stopwatch
}

// stopwatch sums the intervals in which something was out of order.
type stopwatch struct {
	sum   time.Duration
	since time.Time
}

func (s *stopwatch) start() { s.since = time.Now() }

func (s *stopwatch) stop() {
	s.sum += time.Since(s.since)
	s.since = time.Time{}
}

func (s *stopwatch) read() time.Duration {
	if s.since.IsZero() {
		return s.sum
	}
	return s.sum + time.Since(s.since)
}

type seenRevision struct {
	revision identifier.Revision
	started  time.Time
}

func newRevisions(c *cluster) *revisions {
	return &revisions{c: c, hosts: slices.Clone(c.hosts), edits: make(map[identifier.Revision]accepted), seen: make(map[*process]seenRevision), frozen: make(map[*process]*stopwatch)}
}

// watchOf returns the stopwatch of a host; the caller holds the lock.
func (r *revisions) watchOf(host *process) *stopwatch {
	if r.frozen[host] == nil {
		r.frozen[host] = &stopwatch{}
	}
	return r.frozen[host]
}

// edit makes one change as an operator would: read the catalogue, change it, apply it on that base.
func (r *revisions) edit(host *process, author string, number int) {
	content, err := r.c.call(http.MethodGet, host.url()+"/v1/operator/catalogue", nil)
	if err != nil {
		return
	}
	var catalogue codec.Catalogue
	if err := json.Unmarshal(content, &catalogue); err != nil || len(catalogue.Entries) == 0 {
		return
	}
	catalogue.Entries[number%len(catalogue.Entries)].Description = fmt.Sprintf("%s's edit %d", author, number)
	request := codec.EditRequest{
		EditID: identifier.EditID(fmt.Sprintf("%s-%d", author, number)), Author: author, BaseRevision: catalogue.Revision,
		Summary: "soak", Entries: catalogue.Entries, Pools: catalogue.Pools,
	}
	body, err := json.Marshal(request)
	if err != nil {
		r.c.violate("encode edit: %v", err)
		return
	}
	content, err = r.c.call(http.MethodPut, host.url()+"/v1/operator/catalogue", body)
	var result codec.EditResult
	if json.Unmarshal(content, &result) != nil || result.Status == "" {
		r.mu.Lock()
		r.unclear++
		r.mu.Unlock()
		return
	}
	r.note(request, result, err)
}

func (r *revisions) note(request codec.EditRequest, result codec.EditResult, err error) {
	r.mu.Lock()
	defer r.mu.Unlock()
	switch result.Status {
	case codec.EditStatusAccepted, codec.EditStatusAlreadyAccepted:
		if other, ok := r.edits[result.Revision]; ok && other.edit != request.EditID {
			r.c.violate("P9: revision %d was accepted for %s and for %s", result.Revision, other.edit, request.EditID)
		}
		frozen := make(map[*process]time.Duration)
		for _, host := range r.hosts {
			frozen[host] = r.watchOf(host).read()
		}
		r.edits[result.Revision] = accepted{edit: request.EditID, author: request.Author, at: time.Now(), outage: r.outage.read(), frozen: frozen}
	case codec.EditStatusConflict:
		r.conflicts++
		winner := result.ConflictingEdit
		if winner == nil || winner.Author == "" {
			r.c.violate("P9: the conflict of %s at base %d names no author: %+v", request.EditID, request.BaseRevision, result)
			return
		}
		if known, ok := r.edits[winner.Revision]; ok && known.author != winner.Author {
			r.c.violate("P9: the conflict of %s names %s for revision %d of %s", request.EditID, winner.Author, winner.Revision, known.author)
		}
	default:
		r.c.violate("P9: edit %s got status %q: %v", request.EditID, result.Status, err)
	}
}

// observe reads one host's revision and checks that it never goes back while the host runs, and that an accepted edit
// is in effect within the bound.
func (r *revisions) observe(host *process) {
	if !host.running() {
		return
	}
	up := host.uptime()
	started := time.Now().Add(-up)
	asked := time.Now()
	status, err := r.c.status(host)
	if err != nil {
		return
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	last := r.seen[host]
	sameProcess := started.Sub(last.started).Abs() < time.Second
	if sameProcess && status.Revision < last.revision {
		r.c.violate("P9: %s went back from revision %d to %d", host.name, last.revision, status.Revision)
	}
	r.seen[host] = seenRevision{revision: status.Revision, started: started}
	for revision, edit := range r.edits {
		// The bound counts only the time in which a path existed: the store in order and this host running.
		path := asked.Sub(edit.at) - (r.outage.read() - edit.outage) - (r.watchOf(host).read() - edit.frozen[host])
		if status.Revision < revision && path > catalogueBound && up > catalogueBound {
			r.c.violate("P9: %s holds revision %d, %v after %s was accepted as %d (%v with a path)", host.name, status.Revision, asked.Sub(edit.at), edit.edit, revision, path)
		}
	}
}

func (r *revisions) setOutage(on bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	toggle(&r.outage, on)
}

func (r *revisions) setFrozen(host *process, on bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	toggle(r.watchOf(host), on)
}

func toggle(s *stopwatch, on bool) {
	if on {
		s.start()
	} else {
		s.stop()
	}
}

func (r *revisions) highest() identifier.Revision {
	r.mu.Lock()
	defer r.mu.Unlock()
	highest := identifier.Revision(0)
	for revision := range r.edits {
		highest = max(highest, revision)
	}
	return highest
}

// TestRacingOperators guards against revisions that go back, an accepted edit that is not in effect everywhere within
// 13 s, and a conflict that does not name the winner (P9), with a store outage and a host that starts during it.
func TestRacingOperators(t *testing.T) {
	t.Parallel()
	c := newCluster(t, shape{hosts: 3, engines: 0})
	ctx, cancel := context.WithCancel(t.Context())
	r := newRevisions(c)
	operators, watch := grouper.NewGroup(-1), grouper.NewGroup(-1)
	for _, host := range r.hosts {
		watch.Go(func() {
			for ctx.Err() == nil {
				r.observe(host)
				pause(ctx, 50*time.Millisecond)
			}
		})
	}
	deadline := time.Now().Add(7 * time.Second)
	for i, author := range []string{"ana", "bengt", "carin"} {
		operators.Go(func() {
			rng := rand.New(rand.NewPCG(9, uint64(i)))
			for number := 0; time.Now().Before(deadline); number++ {
				r.edit(r.hosts[rng.IntN(3)], author, number)
				pause(ctx, time.Duration(rng.IntN(120))*time.Millisecond)
			}
		})
	}
	time.Sleep(time.Second)
	c.setFaults(provider.Faults{LoseResponses: 3})
	time.Sleep(time.Second)
	c.setFaults(provider.Faults{Down: true})
	late := c.addHost(3)
	time.Sleep(time.Second)
	c.setFaults(provider.Faults{Slow: identifier.Duration(200 * time.Millisecond)})
	time.Sleep(time.Second)
	c.setFaults(provider.Faults{})
	operators.Wait()
	highest, ended := r.highest(), time.Now()
	require.Eventually(t, func() bool {
		for _, host := range c.hosts {
			if status, err := c.status(host); err != nil || status.Revision < highest || !status.Ready {
				return false
			}
		}
		return true
	}, catalogueBound, 50*time.Millisecond, "not all hosts hold revision %d", highest)
	t.Logf("%d edits seen as accepted, %d conflicts, %d unclear; revision %d on all hosts, with %s, %v after the last edit",
		len(r.edits), r.conflicts, r.unclear, highest, late.name, time.Since(ended).Round(time.Millisecond))
	cancel()
	watch.Wait()
	c.checkInvariants()
	require.Greater(t, r.conflicts, 5, "the operators did not race")
	require.Greater(t, len(r.edits), 10, "too few edits were accepted")
}
