package batcher_test

import (
	"testing"

	"github.com/stretchr/testify/require"

	"celerygap.example/lib/codec"
	"celerygap.example/lib/identifier"
	"celerygap.example/service/batcher"
)

// Guards against MIXED: an item that reappears in a later job is listed with the score of its former reward call.
func TestItemThatReappearsGetsTheScoreOfItsOwnRewardCall(t *testing.T) {
	x := newHarness(t)
	x.engines(engine("a", 2, 8))
	open := func(id identifier.BatchID, reward string) {
		scored, other := item("i", 1), item("j", 1)
		scored.Reward, other.Reward = &codec.RewardCall{ID: reward}, &codec.RewardCall{ID: "other"}
		x.open(batcher.JobOpened{Job: codec.BatchJob{ID: id, Model: model, MinVersion: 2, Items: []codec.BatchItem{scored, other}}, SubmittedAt: x.now}, codec.BatchSpec{})
	}
	open("first", "former")
	for id, run := range x.runs {
		if run.Item.ID == "i" {
			x.event(id, 1, 2)
			x.handle(batcher.RunEnded{Run: id})
		}
	}
	require.Len(t, x.rewards, 1)
	x.handle(batcher.RewardEnded{Job: "first", Item: "i", Score: "former score"})
	x.handle(batcher.JobEnded{Job: "first"})
	open("second", "new")
	require.Len(t, x.rewards, 2)
	require.Equal(t, "new", x.rewards[1].Call.ID)
}
