package batchkeeper

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"strings"
	"time"

	"github.com/google/uuid"

	"celerygap.example/lib/annotator"
	"celerygap.example/lib/codec"
	"celerygap.example/lib/identifier"
	"celerygap.example/service/connector"
)

// Key prefixes of the objects in the store.
const (
	headPrefix   = "batchheads/"
	partPrefix   = "batchparts/"
	resultPrefix = "batchresults/"
	textPrefix   = "batchtexts/"
)

const (
	// maxPartSize keeps an object below the store's limit of 1 MiB, with room for the job's other fields and for escaping.
	maxPartSize = identifier.Bytes(700 << 10)
	// maxWriteAttempts and writeRetryDelay bound the attempts to write while the outcome is unknown.
	maxWriteAttempts = 3
	writeRetryDelay  = 100 * time.Millisecond
)

// MaxItemSize is the size of the largest encoded item: it must fit into one object with the job's other fields.
const MaxItemSize = identifier.Bytes(1000 << 10)

// Head is a job's head with the version of its object in the store.
type Head struct {
	codec.BatchHead
	ID      identifier.BatchID
	Version int64
	// PartItems holds the number of items in each part. Only Create sets it, for a job that it has created.
	PartItems []int
}

// Keeper reads and writes batch jobs in the store. It has no state of its own and is safe for concurrent use.
type Keeper struct {
	store connector.ObjectStore
}

// New returns a Keeper that uses the given store.
func New(store connector.ObjectStore) *Keeper { return &Keeper{store: store} }

// Create stores a job under a head, to which it adds the size of the job. If the job exists already, it returns the existing head and created is false. An
// error that is not connector.ErrOutcomeUnknown means that the job does not exist.
func (k *Keeper) Create(ctx context.Context, job codec.BatchJob, head codec.BatchHead) (stored Head, created bool, err error) {
	// Each part is encoded only when the one before is stored, so that a large job is not in memory twice.
	rest := job.Items
	head.Size, head.BodySize = ItemsSize(job.Items)
	var partItems []int
	for head.Parts = 0; head.Parts == 0 || len(rest) > 0; head.Parts++ {
		part, taken, err := encodePart(job, rest)
		if err != nil {
			return Head{}, false, annotator.Wrap("encode batch job", "self", err)
		}
		rest = rest[taken:]
		partItems = append(partItems, taken)
		if err := k.createPart(ctx, partKey(job.ID, head.Parts), part, job.Customer); err != nil {
			if errors.Is(err, ErrIDTaken) {
				return Head{}, false, err
			}
			// Without its head the job does not exist, whether or not the part was written.
			return Head{}, false, fmt.Errorf("%w: %w", connector.ErrUnavailable, hideOutcomeUnknown(err))
		}
	}
	stored, created, err = k.createHead(ctx, job.ID, head)
	stored.PartItems = partItems
	return stored, created, err
}

// hideOutcomeUnknown returns an error with the same text that no longer wraps connector.ErrOutcomeUnknown.
func hideOutcomeUnknown(err error) error { return errors.New(err.Error()) }

func (k *Keeper) createHead(ctx context.Context, id identifier.BatchID, head codec.BatchHead) (Head, bool, error) {
	head.Creation = NewWriter(head.Owner)
	value, err := json.Marshal(head)
	if err != nil {
		return Head{}, false, annotator.Wrap("encode batch head", "self", err)
	}
	outcomeUnknown := false
	for range maxWriteAttempts {
		var object codec.Object
		object, err = k.store.Put(ctx, headKey(id), 0, value)
		if err == nil {
			return Head{BatchHead: head, ID: id, Version: object.Version}, true, nil
		}
		if conflict, ok := connector.AsConflict(err); ok {
			return k.existingHead(ctx, id, conflict.Current, head)
		}
		outcomeUnknown = outcomeUnknown || errors.Is(err, connector.ErrOutcomeUnknown)
		if !outcomeUnknown || !waitRetry(ctx) {
			break
		}
	}
	if outcomeUnknown && !errors.Is(err, connector.ErrOutcomeUnknown) {
		err = fmt.Errorf("%w: %w", connector.ErrOutcomeUnknown, err)
	}
	return Head{}, false, err
}

// existingHead returns the head that caused a conflict and whether this call wrote it, with an attempt whose response was lost, and
// nobody has replaced it since.
func (k *Keeper) existingHead(ctx context.Context, id identifier.BatchID, object codec.Object, own codec.BatchHead) (Head, bool, error) {
	if object.Version == 0 {
		found, err := k.Head(ctx, id)
		return found, err == nil && isOwnHead(found.BatchHead, own), err
	}
	found, err := decodeHead(object)
	return found, err == nil && isOwnHead(found.BatchHead, own), err
}

func isOwnHead(found, own codec.BatchHead) bool { return found.Creation == own.Creation }

// Head reads the head of a job; it returns connector.ErrNotFound if there is none.
func (k *Keeper) Head(ctx context.Context, id identifier.BatchID) (Head, error) {
	object, err := k.store.Get(ctx, headKey(id))
	if err != nil {
		return Head{}, err
	}
	return decodeHead(object)
}

// Heads returns the heads of all jobs, without those that cannot be decoded, which name no job to run. A stale list may be seconds
// old but costs less to read.
func (k *Keeper) Heads(ctx context.Context, stale bool) ([]Head, error) {
	list := k.store.List
	if stale {
		list = k.store.ListStale
	}
	objects, err := list(ctx, headPrefix)
	if err != nil {
		return nil, err
	}
	heads := make([]Head, 0, len(objects.Objects))
	for _, object := range objects.Objects {
		if head, err := decodeHead(object); err == nil {
			heads = append(heads, head)
		}
	}
	return heads, nil
}

// Replace writes a changed head and returns it with its new version. It returns connector.ConflictError if the head in the
// store no longer has head.Version.
func (k *Keeper) Replace(ctx context.Context, head Head) (Head, error) {
	head.Creation = ""
	value, err := json.Marshal(head.BatchHead)
	if err != nil {
		return Head{}, annotator.Wrap("encode batch head", "self", err)
	}
	object, err := k.store.Put(ctx, headKey(head.ID), head.Version, value)
	if err != nil {
		return Head{}, err
	}
	head.Version = object.Version
	return head, nil
}

// Load reads all parts of a job and joins their items. Each part passes through filter, unless that is nil, which may remove what
// the caller does not need in memory.
func (k *Keeper) Load(ctx context.Context, head Head, filter func(items []codec.BatchItem)) (codec.BatchJob, error) {
	var job codec.BatchJob
	for i := range head.Parts {
		part, err := k.Part(ctx, head.ID, i)
		if err != nil {
			return codec.BatchJob{}, err
		}
		if filter != nil {
			filter(part.Items)
		}
		if i == 0 {
			job = part
			continue
		}
		job.Items = append(job.Items, part.Items...)
	}
	return job, nil
}

// Part reads one part of a job, which is the job with some of its items in their order.
func (k *Keeper) Part(ctx context.Context, id identifier.BatchID, number int) (codec.BatchJob, error) {
	object, err := k.store.Get(ctx, partKey(id, number))
	if err != nil {
		return codec.BatchJob{}, err
	}
	var part codec.BatchJob
	err = json.Unmarshal(object.Value, &part)
	return part, annotator.Wrap("decode batch part", annotator.Peer(object.Key), err)
}

// Chunk reads one chunk of a job's results; it returns connector.ErrNotFound if the chain is shorter.
func (k *Keeper) Chunk(ctx context.Context, id identifier.BatchID, number int) (codec.BatchChunk, error) {
	object, err := k.store.Get(ctx, chunkKey(id, number))
	if err != nil {
		return codec.BatchChunk{}, err
	}
	return decodeChunk(object)
}

// PositionTakenError means that another writer's chunk is stored at the position.
type PositionTakenError struct {
	Chunk codec.BatchChunk
}

// Error includes the writer of the stored chunk.
func (e *PositionTakenError) Error() string {
	return "chunk position is taken by writer " + e.Chunk.Writer
}

// Append creates the next chunk of a job's results; last reports whether no further chunk can have existed when the call began,
// as is certain unless an earlier attempt had stored the chunk. PositionTakenError means that another writer's chunk is stored
// there. After any other error the chunk may still appear, so the same results must be written again with the same writer.
func (k *Keeper) Append(ctx context.Context, id identifier.BatchID, number int, chunk codec.BatchChunk) (last bool, err error) {
	value, err := json.Marshal(chunk)
	if err != nil {
		return false, annotator.Wrap("encode results", "self", err)
	}
	_, err = k.store.Put(ctx, chunkKey(id, number), 0, value)
	conflict, ok := connector.AsConflict(err)
	if !ok {
		return err == nil, err
	}
	var current codec.BatchChunk
	if conflict.Current.Version == 0 {
		current, err = k.Chunk(ctx, id, number)
	} else {
		current, err = decodeChunk(conflict.Current)
	}
	switch {
	case err != nil:
		return false, err
	case current.Writer == chunk.Writer:
		return false, nil
	default:
		return false, &PositionTakenError{Chunk: current}
	}
}

// AppendTexts creates the next chunk of a job's unfinished texts. Its errors are those of Append, except that the chunk in
// PositionTakenError contains only the writer.
func (k *Keeper) AppendTexts(ctx context.Context, id identifier.BatchID, number int, chunk codec.TextChunk) error {
	value, err := json.Marshal(chunk)
	if err != nil {
		return annotator.Wrap("encode texts", "self", err)
	}
	_, err = k.store.Put(ctx, textKey(id, number), 0, value)
	conflict, ok := connector.AsConflict(err)
	if !ok {
		return err
	}
	current := conflict.Current
	if current.Version == 0 {
		if current, err = k.store.Get(ctx, textKey(id, number)); err != nil {
			return err
		}
	}
	var stored codec.TextChunk
	if err := json.Unmarshal(current.Value, &stored); err != nil {
		return annotator.Wrap("decode texts", annotator.Peer(current.Key), err)
	}
	if stored.Writer == chunk.Writer {
		return nil
	}
	return &PositionTakenError{Chunk: codec.BatchChunk{Writer: stored.Writer}}
}

// Texts reads the saved unfinished texts of a job and returns them with the number of their chunks. count, which may be nil, is called
// with the size of each chunk and ends the read with its error.
func (k *Keeper) Texts(ctx context.Context, id identifier.BatchID, count func(identifier.Bytes) error) ([]codec.ItemProgress, int, error) {
	byItem := make(map[identifier.ItemID]*codec.ItemProgress)
	var order []identifier.ItemID
	for number := 0; ; number++ {
		object, err := k.store.Get(ctx, textKey(id, number))
		if errors.Is(err, connector.ErrNotFound) {
			progress := make([]codec.ItemProgress, 0, len(order))
			for _, item := range order {
				progress = append(progress, *byItem[item])
			}
			return progress, number, nil
		}
		if err != nil {
			return nil, 0, err
		}
		if count != nil {
			if err := count(identifier.Bytes(len(object.Value))); err != nil {
				return nil, 0, err
			}
		}
		var chunk codec.TextChunk
		if err := json.Unmarshal(object.Value, &chunk); err != nil {
			return nil, 0, annotator.Wrap("decode texts", annotator.Peer(object.Key), err)
		}
		for _, text := range chunk.Texts {
			progress, ok := byItem[text.Item]
			if !ok {
				progress = &codec.ItemProgress{Item: text.Item}
				byItem[text.Item] = progress
				order = append(order, text.Item)
			}
			applySavedText(progress, text)
		}
	}
}

// applySavedText replaces the events of a text after text.After, and the rest of its state.
func applySavedText(progress *codec.ItemProgress, text codec.SavedText) {
	kept := min(max(text.After, 0), len(progress.Events))
	progress.Events = append(progress.Events[:kept:kept], text.Events...)
	progress.Versions = text.Versions
	progress.Origin = text.Origin
	progress.Complete = text.Complete
	progress.Score = text.Score
}

// NewWriter returns a unique writer for one chunk, by which its repeated writes are recognised.
func NewWriter(host identifier.HostID) string { return string(host) + "#" + uuid.NewString() }

// Remove deletes all objects of a job. It starts with the head, so that the job no longer exists even if a later deletion
// fails.
func (k *Keeper) Remove(ctx context.Context, head Head, chunks, texts int) error {
	keys := []string{headKey(head.ID)}
	for i := range head.Parts {
		keys = append(keys, partKey(head.ID, i))
	}
	for i := range chunks {
		keys = append(keys, chunkKey(head.ID, i))
	}
	for i := range texts {
		keys = append(keys, textKey(head.ID, i))
	}
	for _, key := range keys {
		if err := k.store.Remove(ctx, key); err != nil && !errors.Is(err, connector.ErrNotFound) {
			return err
		}
	}
	return nil
}

// encodePart encodes the job with as many of the items as fit into one object, and returns their number.
func encodePart(job codec.BatchJob, items []codec.BatchItem) (part json.RawMessage, taken int, err error) {
	var size identifier.Bytes
	for taken < len(items) {
		encoded, err := json.Marshal(items[taken])
		if err != nil {
			return nil, 0, err
		}
		if identifier.Bytes(len(encoded)) > MaxItemSize {
			return nil, 0, fmt.Errorf("%w: item %s has %d bytes of %d", connector.ErrItemTooLarge, items[taken].ID, len(encoded), MaxItemSize)
		}
		if taken > 0 && size+identifier.Bytes(len(encoded)) > maxPartSize {
			break
		}
		size += identifier.Bytes(len(encoded))
		taken++
	}
	job.Items = items[:taken]
	part, err = json.Marshal(job)
	return part, taken, err
}

// waitRetry waits for writeRetryDelay; it reports whether ctx is still active.
func waitRetry(ctx context.Context) bool {
	wait := time.NewTimer(writeRetryDelay)
	defer wait.Stop()
	select {
	case <-ctx.Done():
		return false
	case <-wait.C:
		return true
	}
}

func decodeHead(object codec.Object) (Head, error) {
	head := Head{ID: identifier.BatchID(strings.TrimPrefix(object.Key, headPrefix)), Version: object.Version}
	err := json.Unmarshal(object.Value, &head.BatchHead)
	return head, annotator.Wrap("decode batch head", annotator.Peer(object.Key), err)
}

func decodeChunk(object codec.Object) (codec.BatchChunk, error) {
	var chunk codec.BatchChunk
	err := json.Unmarshal(object.Value, &chunk)
	return chunk, annotator.Wrap("decode results", annotator.Peer(object.Key), err)
}

func headKey(id identifier.BatchID) string { return headPrefix + string(id) }

func partKey(id identifier.BatchID, number int) string {
	return fmt.Sprintf("%s%s.%05d", partPrefix, id, number)
}

func textKey(id identifier.BatchID, number int) string {
	return fmt.Sprintf("%s%s.%05d", textPrefix, id, number)
}

func chunkKey(id identifier.BatchID, number int) string {
	return fmt.Sprintf("%s%s.%05d", resultPrefix, id, number)
}
