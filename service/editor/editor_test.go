package editor_test

import (
	"context"
	"encoding/json"
	"fmt"
	"sync"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"celerygap.example/lib/codec"
	"celerygap.example/lib/identifier"
	"celerygap.example/lib/refuser"
	"celerygap.example/service/editor"
	"celerygap.example/service/storekeeper"
)

func request(id string, base identifier.Revision) codec.EditRequest {
	return codec.EditRequest{
		EditID: identifier.EditID(id), Author: "ana", BaseRevision: base, Summary: "change " + id,
		Entries: []codec.Entry{{Name: "routes", Kind: "service", Owner: "drum", Class: "live", Service: &codec.ServiceSpec{Pool: "dispatch"}}},
		Pools:   []codec.Pool{{Name: "dispatch", Kind: "plain"}},
	}
}

func newEditor(store *storekeeper.Store) *editor.Editor {
	return editor.New(editor.Config{Store: store, ReadBackInterval: time.Millisecond})
}

func stored(t require.TestingT, store *storekeeper.Store) codec.Catalogue {
	object, err := store.Get(context.Background(), editor.Key)
	require.NoError(t, err)
	var catalogue codec.Catalogue
	require.NoError(t, json.Unmarshal(object.Value, &catalogue))
	return catalogue
}

// Guards against a lost store response that makes the editor report a conflict or apply the edit twice.
func TestLostResponseIsReadBack(t *testing.T) {
	store := storekeeper.New()
	store.SetFaults(storekeeper.Faults{LoseResponses: 1})
	result, err := newEditor(store).Apply(t.Context(), request("a", 0))
	require.NoError(t, err)
	require.Equal(t, codec.EditResult{Status: codec.EditStatusAccepted, Revision: 1}, result)
	result, err = newEditor(store).Apply(t.Context(), request("a", 0))
	require.NoError(t, err)
	require.Equal(t, codec.EditResult{Status: codec.EditStatusAlreadyAccepted, Revision: 1}, result)
	require.Len(t, stored(t, store).Edits, 1)
}

// Guards against an edit that is applied on top of an edit that its author has not seen.
func TestOutdatedBaseConflictsWithTheLatestEdit(t *testing.T) {
	store := storekeeper.New()
	_, err := newEditor(store).Apply(t.Context(), request("a", 0))
	require.NoError(t, err)
	result, err := newEditor(store).Apply(t.Context(), request("b", 0))
	require.NoError(t, err)
	require.Equal(t, codec.EditStatusConflict, result.Status)
	require.EqualValues(t, "a", result.ConflictingEdit.EditID)
	require.Len(t, stored(t, store).Edits, 1)
}

// Guards against an outage that is reported as an unknown outcome although nothing was written.
func TestStoreDownIsNotRun(t *testing.T) {
	store := storekeeper.New()
	store.SetFaults(storekeeper.Faults{Down: true})
	_, err := newEditor(store).Apply(t.Context(), request("a", 0))
	refusal, ok := refuser.As(err)
	require.True(t, ok)
	require.Equal(t, refuser.StoreUnavailable, refusal.Reason)
	require.Equal(t, codec.OutcomeNotRun, refusal.Outcome)
}

// Guards against lost updates: of concurrent edits with the same base revision exactly one is accepted, also when store
// responses are lost.
func TestRacingEditorsLoseNoEdit(t *testing.T) {
	store := storekeeper.New()
	const editors, edits = 8, 12
	accepted := make([]int, editors)
	var group sync.WaitGroup
	for i := range editors {
		group.Go(func() { accepted[i] = applyEdits(t, newEditor(store), i, edits) })
	}
	for range 20 {
		store.SetFaults(storekeeper.Faults{LoseResponses: 3})
		time.Sleep(time.Millisecond)
	}
	group.Wait()
	catalogue := stored(t, store)
	require.EqualValues(t, editors*edits, catalogue.Revision)
	require.Len(t, catalogue.Edits, editor.KeptEdits)
	for i, edit := range catalogue.Edits {
		require.EqualValues(t, editors*edits-editor.KeptEdits+i+1, edit.Revision)
	}
	for _, count := range accepted {
		require.Equal(t, edits, count)
	}
}

// applyEdits applies edits one after the other, each based on the revision of the last result, and counts the accepted ones.
func applyEdits(t *testing.T, e *editor.Editor, author, edits int) (accepted int) {
	base := identifier.Revision(0)
	for n := 0; n < edits; {
		result, err := e.Apply(t.Context(), request(fmt.Sprintf("%d-%d-%d", author, n, base), base))
		if err != nil {
			t.Errorf("apply an edit: %v", err)
			return accepted
		}
		if result.Status == codec.EditStatusAccepted {
			accepted++
			n++
		} else if result.Status != codec.EditStatusConflict || result.ConflictingEdit == nil || result.ConflictingEdit.Revision != result.Revision {
			t.Errorf("unexpected result %+v", result)
			return accepted
		}
		base = result.Revision
	}
	return accepted
}

// Guards against a check that stops at the first problem or does not state the accepted values.
func TestCheckNamesEveryProblem(t *testing.T) {
	entries := []codec.Entry{
		{Name: "a", Kind: "service", Owner: "x", Class: "fast", Service: &codec.ServiceSpec{Pool: "absent"}},
		{Name: "a", Kind: "trainer", Owner: "", Class: "training", Limits: codec.Limits{InFlight: -1}, Model: &codec.ModelSpec{Pool: "p", Model: "m"}},
		{Name: "t", Kind: "trainer", Owner: "x", Class: "training", Trainer: &codec.TrainerSpec{ModelEntry: "a", StalenessBound: -1, IdleWeight: 1.5}},
		{Name: "u/v", Kind: "batch", Owner: "x", Class: "live"},
	}
	pools := []codec.Pool{{Name: "p", Kind: "plain"}, {Name: "p", Kind: "gpu"}}
	got := map[string]bool{}
	for _, problem := range editor.Check(entries, pools) {
		require.NotEmpty(t, problem.Accepted)
		got[problem.Subject+" "+problem.Field] = true
	}
	for _, want := range []string{
		`entry "a" class`, `entry "a" service.pool`, `entry "a" name`, `entry "a" owner`, `entry "a" limits.in_flight`, `entry "a" model`,
		`entry "a" trainer`, `entry "a" model.pool`, `entry "t" trainer.model_entry`, `entry "t" trainer.staleness_bound`,
		`entry "t" trainer.idle_weight`, `entry "u/v" name`, `entry "u/v" kind`, `pool "p" name`, `pool "p" kind`,
	} {
		require.True(t, got[want], "problem %s is missing", want)
	}
}

// Guards against a diff that omits a changed field or shows an unchanged one.
func TestDiffShowsChangedFields(t *testing.T) {
	first := request("a", 0)
	from := &codec.Catalogue{Entries: first.Entries, Pools: first.Pools}
	entry := first.Entries[0]
	entry.Limits.InFlight = 4
	to := &codec.Catalogue{Entries: []codec.Entry{entry, {Name: "new"}}}
	text := editor.FormatDiff(editor.Diff(from, to))
	require.Contains(t, text, `~ entry "routes": limits.in_flight: (unset) -> 4`)
	require.Contains(t, text, `+ entry "new": {`)
	require.Contains(t, text, `- pool "dispatch": {`)
	require.Empty(t, editor.Diff(from, from))
}
