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

// acceptedEdit is an edit that the response to its operator reported as accepted.
type acceptedEdit struct {
	edit   identifier.EditID
	author string
	at     time.Time
	// outage and frozen are the readings of the stopwatches of revisions at that time.
	outage time.Duration
	frozen map[*process]time.Duration
}

// revisions makes edits as operators do, observes the revision of each host and checks P9.
type revisions struct {
	c *cluster
	// hosts are those that ran when revisions was created.
	hosts []*process

	mu        sync.Mutex
	edits     map[identifier.Revision]acceptedEdit
	conflicts int
	// outcomeUnknown counts edits without a readable response, which may have taken effect.
	outcomeUnknown int
	// seen is the last observed revision of each host.
	seen map[*process]seenRevision
	// outage measures the time in which the store was down or slow, frozen that in which each host was killed or
	// frozen.
	outage stopwatch
	frozen map[*process]*stopwatch
}

// stopwatch sums the intervals between its starts and stops.
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

// seenRevision is the revision of a host process, which is identified by its start.
type seenRevision struct {
	revision identifier.Revision
	started  time.Time
}

func newRevisions(c *cluster) *revisions {
	return &revisions{c: c, hosts: slices.Clone(c.hosts), edits: make(map[identifier.Revision]acceptedEdit), seen: make(map[*process]seenRevision), frozen: make(map[*process]*stopwatch)}
}

// stopwatchOf returns the stopwatch of a host; the caller holds the lock.
func (r *revisions) stopwatchOf(host *process) *stopwatch {
	if r.frozen[host] == nil {
		r.frozen[host] = &stopwatch{}
	}
	return r.frozen[host]
}

// edit makes one change as an operator does: it reads the catalogue, changes an entry and applies it on the revision
// read.
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
		r.c.recordViolation("encode edit of the catalogue: %v", err)
		return
	}
	content, err = r.c.call(http.MethodPut, host.url()+"/v1/operator/catalogue", body)
	var result codec.EditResult
	if json.Unmarshal(content, &result) != nil || result.Status == "" {
		r.mu.Lock()
		r.outcomeUnknown++
		r.mu.Unlock()
		return
	}
	r.recordResult(request, result, err)
}

func (r *revisions) recordResult(request codec.EditRequest, result codec.EditResult, err error) {
	r.mu.Lock()
	defer r.mu.Unlock()
	switch result.Status {
	case codec.EditStatusAccepted, codec.EditStatusAlreadyAccepted:
		if other, ok := r.edits[result.Revision]; ok && other.edit != request.EditID {
			r.c.recordViolation("P9: revision %d was accepted for both edit %s and edit %s", result.Revision, other.edit, request.EditID)
		}
		frozen := make(map[*process]time.Duration)
		for _, host := range r.hosts {
			frozen[host] = r.stopwatchOf(host).read()
		}
		r.edits[result.Revision] = acceptedEdit{edit: request.EditID, author: request.Author, at: time.Now(), outage: r.outage.read(), frozen: frozen}
	case codec.EditStatusConflict:
		r.conflicts++
		winner := result.ConflictingEdit
		if winner == nil || winner.Author == "" {
			r.c.recordViolation("P9: the conflict of edit %s on base revision %d names no author: %+v", request.EditID, request.BaseRevision, result)
			return
		}
		if known, ok := r.edits[winner.Revision]; ok && known.author != winner.Author {
			r.c.recordViolation("P9: the conflict of edit %s names author %s for revision %d, which is by %s", request.EditID, winner.Author, winner.Revision, known.author)
		}
	default:
		r.c.recordViolation("P9: edit %s got status %q: %v", request.EditID, result.Status, err)
	}
}

// observe reads one host's revision and checks that it never decreases while the host runs, and that each accepted edit
// is in effect within the bound.
func (r *revisions) observe(host *process) {
	if !host.running() {
		return
	}
	up := host.uptime()
	started := time.Now().Add(-up)
	requestedAt := time.Now()
	status, err := r.c.status(host)
	if err != nil {
		return
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	last := r.seen[host]
	sameProcess := started.Sub(last.started).Abs() < time.Second
	if sameProcess && status.Revision < last.revision {
		r.c.recordViolation("P9: the revision of %s decreased from %d to %d", host.name, last.revision, status.Revision)
	}
	r.seen[host] = seenRevision{revision: status.Revision, started: started}
	for revision, edit := range r.edits {
		// The bound counts only the time in which the edit could reach the host: the store worked and the host ran.
		reachable := requestedAt.Sub(edit.at) - (r.outage.read() - edit.outage) - (r.stopwatchOf(host).read() - edit.frozen[host])
		if status.Revision < revision && reachable > catalogueBound && up > catalogueBound {
			r.c.recordViolation("P9: %s has revision %d, %v after edit %s was accepted as %d (%v of it with the store working and the host running)", host.name, status.Revision, requestedAt.Sub(edit.at), edit.edit, revision, reachable)
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
	toggle(r.stopwatchOf(host), on)
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

// TestRacingOperators guards against revisions that decrease, an accepted edit that is not in effect on every host
// within 13 s, and a conflict that does not name the author of the edit that won (P9). Operators edit at the same time
// through different hosts, while the store loses responses, is down and is slow; a host starts during the outage.
func TestRacingOperators(t *testing.T) {
	t.Parallel()
	c := newCluster(t, clusterConfig{hosts: 3, engines: 0})
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
	lateHost := c.addHost(3)
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
	}, catalogueBound, 50*time.Millisecond, "not all hosts have revision %d", highest)
	t.Logf("%d edits accepted, %d conflicts, %d with an unknown outcome; revision %d on all hosts, including %s, %v after the last edit",
		len(r.edits), r.conflicts, r.outcomeUnknown, highest, lateHost.name, time.Since(ended).Round(time.Millisecond))
	cancel()
	watch.Wait()
	c.checkInvariants()
	require.Greater(t, r.conflicts, 5, "too few edits conflicted")
	require.Greater(t, len(r.edits), 10, "too few edits were accepted")
}
