package batchkeeper_test

import (
	"bytes"
	"fmt"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"celerygap.example/lib/codec"
	"celerygap.example/lib/identifier"
	"celerygap.example/service/batchkeeper"
	"celerygap.example/service/connector"
	"celerygap.example/service/storekeeper"
)

func newJob(items, bodyBytes int) codec.BatchJob {
	job := codec.BatchJob{ID: "job-1", Entry: "batch", Host: "a.example", Model: "m"}
	for i := range items {
		job.Items = append(job.Items, codec.BatchItem{ID: identifier.ItemID(fmt.Sprint(i)), Path: "/x", Body: bytes.Repeat([]byte{byte(i)}, bodyBytes)})
	}
	return job
}

func head(owner identifier.HostID) codec.BatchHead {
	return codec.BatchHead{Owner: owner, Incarnation: 1, Total: 3, SubmittedAt: time.Now().UTC()}
}

// Guards against a job that exceeds the store's size limit for one object, and against one that changes when its parts are
// joined again.
func TestLargeJobIsStoredInParts(t *testing.T) {
	k := batchkeeper.New(storekeeper.New())
	job := newJob(5, 300<<10)
	stored, created, err := k.Create(t.Context(), job, head("a"))
	require.NoError(t, err)
	require.True(t, created)
	require.Greater(t, stored.Parts, 1)
	loaded, err := k.Load(t.Context(), stored, nil)
	require.NoError(t, err)
	require.Equal(t, job, loaded)
}

// Guards against creating a job twice: a repeated submission at another host finds the head of the first one.
func TestRepeatedSubmissionFindsTheFirst(t *testing.T) {
	k := batchkeeper.New(storekeeper.New())
	_, _, err := k.Create(t.Context(), newJob(2, 10), head("a"))
	require.NoError(t, err)
	found, created, err := k.Create(t.Context(), newJob(2, 10), head("b"))
	require.NoError(t, err)
	require.False(t, created)
	require.EqualValues(t, "a", found.Owner)
}

// Guards against refusing a job as not stored when the response to the write of its head was lost although the write took
// effect.
func TestHeadIsRecognisedAfterLostResponse(t *testing.T) {
	store := storekeeper.New()
	k := batchkeeper.New(store)
	store.SetFaults(storekeeper.Faults{LoseResponses: 2})
	_, created, err := k.Create(t.Context(), newJob(1, 10), head("a"))
	require.NoError(t, err)
	require.True(t, created)
}

// Guards against an unknown outcome where it is known: while the store is down, nothing is stored.
func TestStoreDownIsNotOutcomeUnknown(t *testing.T) {
	store := storekeeper.New()
	store.SetFaults(storekeeper.Faults{Down: true})
	_, _, err := batchkeeper.New(store).Create(t.Context(), newJob(1, 10), head("a"))
	require.ErrorIs(t, err, connector.ErrUnavailable)
	require.NotErrorIs(t, err, connector.ErrOutcomeUnknown)
}

// Guards against jobs that nobody adopts any more because another writer has left one head that cannot be decoded.
func TestUnreadableHeadHidesNoOther(t *testing.T) {
	store := storekeeper.New()
	k := batchkeeper.New(store)
	_, _, err := k.Create(t.Context(), newJob(1, 10), head("a"))
	require.NoError(t, err)
	_, err = store.Put(t.Context(), "batchheads/odd", 0, []byte(`{"total":"x"}`))
	require.NoError(t, err)
	heads, err := k.Heads(t.Context(), false)
	require.NoError(t, err)
	require.Len(t, heads, 1)
}

// Guards against chunks of two writers at one position: the second writer gets the stored chunk with the error, and the
// first one may repeat a write whose response was lost.
func TestChunksAreWrittenOnce(t *testing.T) {
	store := storekeeper.New()
	k := batchkeeper.New(store)
	first := codec.BatchChunk{Writer: batchkeeper.NewWriter("a"), Results: []codec.BatchResult{{Item: "1", State: codec.ResultStateDone}}}
	store.SetFaults(storekeeper.Faults{LoseResponses: 1})
	_, err := k.Append(t.Context(), "job-1", 0, first)
	require.ErrorIs(t, err, connector.ErrOutcomeUnknown)
	last, err := k.Append(t.Context(), "job-1", 0, first)
	require.NoError(t, err)
	require.False(t, last, "another host may have appended since the first attempt")
	second := codec.BatchChunk{Writer: batchkeeper.NewWriter("b"), Results: []codec.BatchResult{{Item: "2"}}}
	var taken *batchkeeper.PositionTakenError
	_, err = k.Append(t.Context(), "job-1", 0, second)
	require.ErrorAs(t, err, &taken)
	require.Equal(t, first, taken.Chunk)
}

// Guards against objects that remain in the store after a job was removed.
func TestRemoveDeletesAllObjects(t *testing.T) {
	store := storekeeper.New()
	k := batchkeeper.New(store)
	stored, _, err := k.Create(t.Context(), newJob(5, 300<<10), head("a"))
	require.NoError(t, err)
	last, err := k.Append(t.Context(), "job-1", 0, codec.BatchChunk{Writer: "w"})
	require.NoError(t, err)
	require.True(t, last)
	require.NoError(t, k.AppendTexts(t.Context(), "job-1", 0, codec.TextChunk{Writer: "w"}))
	require.NoError(t, k.Remove(t.Context(), stored, 1, 1))
	for _, kind := range []string{"batchheads/", "batchparts/", "batchresults/", "batchtexts/"} {
		list, err := store.List(t.Context(), kind)
		require.NoError(t, err)
		require.Empty(t, list.Objects, kind)
	}
}

// Guards against texts that are joined from different generations: a later chunk replaces all events after its start, and
// a host that does not know the end of the chain cannot append to it.
func TestTextsContinueTheChain(t *testing.T) {
	k := batchkeeper.New(storekeeper.New())
	write := func(number int, writer string, texts ...codec.SavedText) error {
		return k.AppendTexts(t.Context(), "job-1", number, codec.TextChunk{Writer: writer, Texts: texts})
	}
	require.NoError(t, write(0, "a", codec.SavedText{Item: "1", Events: []string{"x", "y"}, Versions: []identifier.WeightVersion{2}}))
	require.NoError(t, write(0, "a"), "the same writer repeats its write")
	require.NoError(t, write(1, "a", codec.SavedText{Item: "1", After: 2, Events: []string{"z"}, Versions: []identifier.WeightVersion{2, 3}},
		codec.SavedText{Item: "2", Events: []string{"p", "q"}, Versions: []identifier.WeightVersion{3}}))
	var taken *batchkeeper.PositionTakenError
	require.ErrorAs(t, write(1, "b"), &taken)
	require.NoError(t, write(2, "c", codec.SavedText{Item: "2", Events: []string{"r"}, Versions: []identifier.WeightVersion{4}, Complete: true, Score: "s"}))
	progress, chunks, err := k.Texts(t.Context(), "job-1", nil)
	require.NoError(t, err)
	require.Equal(t, 3, chunks)
	require.Equal(t, []codec.ItemProgress{
		{Item: "1", Events: []string{"x", "y", "z"}, Versions: []identifier.WeightVersion{2, 3}},
		{Item: "2", Events: []string{"r"}, Versions: []identifier.WeightVersion{4}, Complete: true, Score: "s"},
	}, progress)
}
