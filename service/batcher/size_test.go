package batcher_test

import (
	"encoding/json"
	"fmt"
	"runtime"
	"strings"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"celerygap.example/lib/codec"
	"celerygap.example/lib/identifier"
	"celerygap.example/service/batcher"
	"celerygap.example/service/batchkeeper"
)

// heapInUse returns the memory of the objects that are in use.
func heapInUse() int64 {
	runtime.GC()
	runtime.GC()
	var stats runtime.MemStats
	runtime.ReadMemStats(&stats)
	return int64(stats.HeapAlloc)
}

// Guards against jobs that take much more memory than they are charged with: many small header fields, or many items of a few bytes.
func TestSizeOfAJobCoversItsMemory(t *testing.T) {
	for name, shape := range map[string]struct{ items, fields, value int }{
		"bare items":    {items: 10000},
		"usual items":   {items: 6000, fields: 8, value: 8},
		"many fields":   {items: 50, fields: 1000, value: 1},
		"large fields":  {items: 50, fields: 2, value: 50 << 10},
		"a few of each": {items: 2000, fields: 30, value: 200},
	} {
		t.Run(name, func(t *testing.T) {
			before := heapInUse()
			job := codec.BatchJob{ID: jobID, Model: model}
			for i := range shape.items {
				item := codec.BatchItem{ID: identifier.ItemID(fmt.Sprint("item", i)), Path: fmt.Sprint("/path/", i), Body: fmt.Appendf(nil, "body%d", i)}
				for n := range shape.fields {
					item.Header = append(item.Header, codec.HeaderField{Name: fmt.Sprint("f", n), Value: strings.Repeat("v", shape.value)})
				}
				item.Reward = &codec.RewardCall{ID: fmt.Sprint("call", i), Host: "host", Path: "/path", Body: fmt.Appendf(nil, "call%d", i)}
				// Decoded texts share no memory.
				text, err := json.Marshal(item)
				require.NoError(t, err)
				var decoded codec.BatchItem
				require.NoError(t, json.Unmarshal(text, &decoded))
				job.Items = append(job.Items, decoded)
			}
			size, bodies := batchkeeper.ItemsSize(job.Items)
			b := batcher.New(batcher.Config{})
			b.Handle(time.Now(), batcher.JobOpened{Job: job})
			job.Items = nil
			taken := heapInUse() - before
			runtime.KeepAlive(b)
			require.LessOrEqual(t, taken, int64(size+bodies)*5/4, "%d bytes charged", size+bodies)
			require.GreaterOrEqual(t, taken, int64(size+bodies)/2, "%d bytes charged", size+bodies)
		})
	}
}
