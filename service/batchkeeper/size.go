package batchkeeper

import (
	"celerygap.example/lib/codec"
	"celerygap.example/lib/identifier"
)

const (
	// itemOverhead is the memory of an item with the state of its run and without its texts, callOverhead that of a reward call, and
	// fieldOverhead that of a header field.
	itemOverhead  = identifier.Bytes(512)
	callOverhead  = identifier.Bytes(112)
	fieldOverhead = identifier.Bytes(48)
	// statedItemSize is assumed of the items of a job whose head states no size.
	statedItemSize = identifier.Bytes(1 << 10)
)

// ItemSize returns the memory that an item takes at the owner of its job, without its body, its text and its result.
func ItemSize(item *codec.BatchItem) identifier.Bytes {
	size := itemOverhead + identifier.Bytes(len(item.ID)+len(item.Path)+len(item.Group))
	for _, field := range item.Header {
		size += fieldOverhead + identifier.Bytes(len(field.Name)+len(field.Value))
	}
	if item.Reward != nil {
		size += callOverhead + identifier.Bytes(len(item.Reward.ID)+len(item.Reward.Host)+len(item.Reward.Path)+len(item.Reward.Body))
	}
	return size
}

// ItemsSize returns the memory that items take at the owner of their job, without their texts and results, and that of their bodies.
func ItemsSize(items []codec.BatchItem) (size, bodies identifier.Bytes) {
	for i := range items {
		size += ItemSize(&items[i])
		bodies += identifier.Bytes(len(items[i].Body))
	}
	return size, bodies
}

// JobSize returns the memory that the items of a job take at its owner, without their texts and results, and that of their bodies.
// Without a statement in the head both are estimated from above by the number of items and of stored objects.
func JobSize(head codec.BatchHead) (size, bodies identifier.Bytes) {
	if head.Size > 0 {
		return head.Size, head.BodySize
	}
	stored := identifier.Bytes(head.Parts) * maxPartSize
	return statedItemSize*identifier.Bytes(head.Total) + stored, 0
}
