package deliverer_test

import (
	"encoding/base64"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"

	"celerygap.example/lib/asserter"
	"celerygap.example/lib/codec"
	"celerygap.example/lib/identifier"
	"celerygap.example/lib/refuser"
	"celerygap.example/service/deliverer"
)

// Guards against a slot that is delivered twice or never, and against a sample beyond the staleness bound, when pages are
// lost, requested again, and served by hosts with different finished samples.
func TestEachSlotReachesTheTrainerOnce(t *testing.T) {
	defer asserter.SetHandler(func(name asserter.Invariant, detail string) { t.Fatalf("%s: %s", name, detail) })()
	rapid.Check(t, func(t *rapid.T) {
		total := rapid.IntRange(1, 40).Draw(t, "total")
		bound := rapid.Int64Range(0, 3).Draw(t, "bound")
		d := deliverer.New(deliverer.Config{MaxSamples: rapid.IntRange(1, 7).Draw(t, "max"), MaxBytes: 4096})
		received := make(map[int]bool)
		text := ""
		for pages := 0; len(received) < total; pages++ {
			require.Less(t, pages, 1000, "no progress")
			version := identifier.WeightVersion(rapid.IntRange(1, 5).Draw(t, "version"))
			cursor, err := deliverer.DecodeSized("grit", 7, total, text)
			require.NoError(t, err)
			built := request(d, cursor, version, bound, candidates(t, total))
			require.Equal(t, len(received), built.Page.Held)
			if pages < 200 && rapid.Bool().Draw(t, "page lost") {
				continue
			}
			for _, sample := range built.Page.Samples {
				require.False(t, received[sample.Index], "slot %d twice", sample.Index)
				require.LessOrEqual(t, int64(version-sample.Segments[0].WeightVersion), bound)
				received[sample.Index] = true
			}
			require.Equal(t, len(received) == total, built.Page.Complete)
			text = built.Page.NextCursor
		}
	})
}

func candidates(t *rapid.T, total int) []deliverer.Candidate {
	var list []deliverer.Candidate
	for slot := range total {
		segment := codec.Segment{WeightVersion: identifier.WeightVersion(rapid.IntRange(1, 5).Draw(t, "oldest"))}
		list = append(list, deliverer.Candidate{Slot: slot, Sample: &codec.Sample{Index: slot, Segments: []codec.Segment{segment}}})
	}
	return list
}

func request(d *deliverer.Deliverer, cursor deliverer.Cursor, version identifier.WeightVersion, bound int64,
	list []deliverer.Candidate,
) deliverer.PageBuilt {
	event := deliverer.PageRequested{Trainer: "grit", Cursor: cursor, Version: version, Bound: bound, Candidates: list}
	return d.Handle(time.Time{}, event)[0].(deliverer.PageBuilt)
}

// Guards against a damaged cursor, or the cursor of another trainer, step or size, that is accepted.
func TestForeignCursorsAreRefused(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		total := rapid.IntRange(1, 300).Draw(t, "total")
		cursor := deliverer.NewCursor(7, total).With(rapid.SliceOf(rapid.IntRange(0, total-1)).Draw(t, "held")...)
		text := cursor.Encode("grit")
		back, err := deliverer.DecodeSized("grit", 7, total, text)
		require.NoError(t, err)
		require.Equal(t, cursor, back)
		refused(t, "mosaic", 7, total, text)
		refused(t, "grit", 8, total, text)
		refused(t, "grit", 7, total+1, text)
		data, err := base64.RawURLEncoding.DecodeString(text)
		require.NoError(t, err)
		bit := rapid.IntRange(0, len(data)*8-1).Draw(t, "damaged bit")
		data[bit/8] ^= 1 << (bit % 8)
		refused(t, "grit", 7, total, base64.RawURLEncoding.EncodeToString(data))
		refused(t, "grit", 7, total, text[:rapid.IntRange(1, len(text)-1).Draw(t, "cut")])
	})
}

func refused(t *rapid.T, trainer identifier.EntryName, step identifier.StepNumber, total int, text string) {
	_, err := deliverer.DecodeSized(trainer, step, total, text)
	refusal, ok := refuser.As(err)
	require.True(t, ok, "accepted")
	require.Equal(t, refuser.CursorInvalid, refusal.Reason)
}

// Guards against a cursor that does not fit in a URL, and against a sample above the page size that is never delivered.
func TestCursorAndPageSizes(t *testing.T) {
	cursor := deliverer.NewCursor(7, 2048)
	for slot := range 2048 {
		cursor = cursor.With(slot)
	}
	require.Less(t, len(cursor.Encode("grit")), 400)
	d := deliverer.New(deliverer.Config{MaxSamples: 5, MaxBytes: 500})
	large := &codec.Sample{Text: string(make([]byte, 1000)), Segments: []codec.Segment{{WeightVersion: 1}}}
	list := []deliverer.Candidate{{Slot: 0, Sample: large}, {Slot: 1, Sample: large}}
	require.Len(t, request(d, deliverer.NewCursor(7, 2), 1, 0, list).Page.Samples, 1)
}
