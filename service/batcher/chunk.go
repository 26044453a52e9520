package batcher

import (
	"encoding/json"

	"celerygap.example/lib/codec"
	"celerygap.example/lib/identifier"
)

const (
	// maxChunkBytes bounds the encoded results or texts of one write: an object of the store holds 1 MiB.
	maxChunkBytes = identifier.Bytes(900 << 10)
	// maxEscape is the largest number of bytes that the encoding makes of one.
	maxEscape = 6
)

// encodedSize returns the size of an encoded result.
func encodedSize(result codec.BatchResult) identifier.Bytes {
	if bound := maxEscape*identifier.Bytes(len(result.Text)) + resultOverhead; bound <= maxChunkBytes/maxEscape {
		return bound
	}
	text, err := json.Marshal(result)
	if err != nil {
		return 0
	}
	return identifier.Bytes(len(text))
}

// fittingResults returns how many of the results fit into one write, at least one if there is any.
func fittingResults(results []codec.BatchResult) int {
	var size identifier.Bytes
	for i, result := range results {
		if size += encodedSize(result); size > maxChunkBytes && i > 0 {
			return i
		}
	}
	return len(results)
}

// encodedTextSize returns an upper bound of the encoded size of the events of a text.
func encodedTextSize(events []string) identifier.Bytes {
	size := resultOverhead
	for _, event := range events {
		size += maxEscape*identifier.Bytes(len(event)) + eventOverhead
	}
	return size
}

// eventOverhead is the assumed encoded size of an event without its text.
const eventOverhead = identifier.Bytes(16)
