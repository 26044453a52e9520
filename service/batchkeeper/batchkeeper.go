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

// The kinds of objects in the store.
const (
	kindHeads   = "batchheads/"
	kindParts   = "batchparts/"
	kindResults = "batchresults/"
	kindTexts   = "batchtexts/"
)

const (
	// maxPart keeps an object under the store's limit of 1 MiB with room for its frame and for escaping.
	maxPart = identifier.Bytes(700 << 10)
	// certainTries and certainPause bound how often a write without an answer is tried again.
	certainTries = 3
	certainPause = 100 * time.Millisecond
)

// Head is a job's head with the version of its object.
type Head struct {
	codec.BatchHead
	ID      identifier.BatchID
	Version int64
}

// Keeper reads and writes batch jobs.
type Keeper struct {
	store connector.ObjectStore
}

// New returns a keeper.
func New(store connector.ObjectStore) *Keeper { return &Keeper{store: store} }

// Create stores a job under a head. If the job exists already, it returns the existing head and created is false. An
// error that is not connector.ErrOutcomeUnknown means that the job does not exist.
func (k *Keeper) Create(ctx context.Context, job codec.BatchJob, head codec.BatchHead) (stored Head, created bool, err error) {
	parts, err := split(job)
	if err != nil {
		return Head{}, false, annotator.Wrap("encode batch job", "self", err)
	}
	for i, part := range parts {
		if err := k.createPart(ctx, partKey(job.ID, i), part); err != nil {
			// Without its head the job does not exist, whatever became of the part.
			return Head{}, false, fmt.Errorf("%w: %w", connector.ErrUnavailable, withoutUncertain(err))
		}
	}
	head.Parts = len(parts)
	return k.createHead(ctx, job.ID, head)
}

func withoutUncertain(err error) error { return errors.New(err.Error()) }

// createPart accepts a part that exists, since the id of a job belongs to one content.
func (k *Keeper) createPart(ctx context.Context, key string, part json.RawMessage) error {
	var err error
	for range certainTries {
		_, err = k.store.Put(ctx, key, 0, part)
		if _, exists := connector.AsConflict(err); exists || err == nil {
			return nil
		}
		if !errors.Is(err, connector.ErrOutcomeUnknown) || !pause(ctx) {
			return err
		}
	}
	return err
}

func (k *Keeper) createHead(ctx context.Context, id identifier.BatchID, head codec.BatchHead) (Head, bool, error) {
	value, err := json.Marshal(head)
	if err != nil {
		return Head{}, false, annotator.Wrap("encode batch head", "self", err)
	}
	uncertain := false
	for range certainTries {
		var object codec.Object
		object, err = k.store.Put(ctx, headKey(id), 0, value)
		if err == nil {
			return Head{BatchHead: head, ID: id, Version: object.Version}, true, nil
		}
		if conflict, ok := connector.AsConflict(err); ok {
			return k.existing(ctx, id, conflict.Current, head)
		}
		uncertain = uncertain || errors.Is(err, connector.ErrOutcomeUnknown)
		if !uncertain || !pause(ctx) {
			break
		}
	}
	if uncertain && !errors.Is(err, connector.ErrOutcomeUnknown) {
		err = fmt.Errorf("%w: %w", connector.ErrOutcomeUnknown, err)
	}
	return Head{}, false, err
}

// existing returns the head that stands in the way; it may be this host's own, written by a call whose answer was lost.
func (k *Keeper) existing(ctx context.Context, id identifier.BatchID, object codec.Object, own codec.BatchHead) (Head, bool, error) {
	if object.Version == 0 {
		found, err := k.Head(ctx, id)
		return found, err == nil && isOwn(found.BatchHead, own), err
	}
	found, err := decodeHead(object)
	return found, err == nil && isOwn(found.BatchHead, own), err
}

func isOwn(found, own codec.BatchHead) bool {
	return found.Owner == own.Owner && found.Incarnation == own.Incarnation && !found.Ended
}

// Head returns the head of a job or connector.ErrNotFound.
func (k *Keeper) Head(ctx context.Context, id identifier.BatchID) (Head, error) {
	object, err := k.store.Get(ctx, headKey(id))
	if err != nil {
		return Head{}, err
	}
	return decodeHead(object)
}

// Heads returns all heads; a stale list is cheap and may be seconds old.
func (k *Keeper) Heads(ctx context.Context, stale bool) ([]Head, error) {
	list := k.store.List
	if stale {
		list = k.store.ListStale
	}
	objects, err := list(ctx, kindHeads)
	if err != nil {
		return nil, err
	}
	heads := make([]Head, 0, len(objects.Objects))
	for _, object := range objects.Objects {
		head, err := decodeHead(object)
		if err != nil {
			return nil, err
		}
		heads = append(heads, head)
	}
	return heads, nil
}

// Replace writes a changed head; a conflict returns connector.ConflictError.
func (k *Keeper) Replace(ctx context.Context, head Head) (Head, error) {
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

// Load returns a whole job.
func (k *Keeper) Load(ctx context.Context, head Head) (codec.BatchJob, error) {
	var job codec.BatchJob
	for i := range head.Parts {
		object, err := k.store.Get(ctx, partKey(head.ID, i))
		if err != nil {
			return codec.BatchJob{}, err
		}
		var part codec.BatchJob
		if err := json.Unmarshal(object.Value, &part); err != nil {
			return codec.BatchJob{}, annotator.Wrap("decode batch part", annotator.Peer(object.Key), err)
		}
		if i == 0 {
			job = part
			continue
		}
		job.Items = append(job.Items, part.Items...)
	}
	return job, nil
}

// Chunk returns one chunk of a job's results or connector.ErrNotFound.
func (k *Keeper) Chunk(ctx context.Context, id identifier.BatchID, number int) (codec.BatchChunk, error) {
	object, err := k.store.Get(ctx, chunkKey(id, number))
	if err != nil {
		return codec.BatchChunk{}, err
	}
	return decodeChunk(object)
}

// TakenError means that another chunk stands at the position.
type TakenError struct {
	Chunk codec.BatchChunk
}

// Error names the writer of the chunk.
func (e *TakenError) Error() string { return "position taken by a chunk of writer " + e.Chunk.Writer }

// Append creates the next chunk of a job's results. TakenError means that another host wrote it; any other error means
// that the chunk may appear later, and the same results must be written again under the same writer.
func (k *Keeper) Append(ctx context.Context, id identifier.BatchID, number int, chunk codec.BatchChunk) error {
	value, err := json.Marshal(chunk)
	if err != nil {
		return annotator.Wrap("encode results", "self", err)
	}
	_, err = k.store.Put(ctx, chunkKey(id, number), 0, value)
	conflict, ok := connector.AsConflict(err)
	if !ok {
		return err
	}
	var current codec.BatchChunk
	if conflict.Current.Version == 0 {
		current, err = k.Chunk(ctx, id, number)
	} else {
		current, err = decodeChunk(conflict.Current)
	}
	switch {
	case err != nil:
		return err
	case current.Writer == chunk.Writer:
		return nil
	default:
		return &TakenError{Chunk: current}
	}
}

// AppendTexts creates the next chunk of a job's unfinished texts; its errors are those of Append.
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
	return &TakenError{Chunk: codec.BatchChunk{Writer: stored.Writer}}
}

// Texts returns what is saved of a job's unfinished texts and the number of its chunks.
func (k *Keeper) Texts(ctx context.Context, id identifier.BatchID) ([]codec.ItemProgress, int, error) {
	held := make(map[identifier.ItemID]*codec.ItemProgress)
	var order []identifier.ItemID
	for number := 0; ; number++ {
		object, err := k.store.Get(ctx, textKey(id, number))
		if errors.Is(err, connector.ErrNotFound) {
			progress := make([]codec.ItemProgress, 0, len(order))
			for _, item := range order {
				progress = append(progress, *held[item])
			}
			return progress, number, nil
		}
		if err != nil {
			return nil, 0, err
		}
		var chunk codec.TextChunk
		if err := json.Unmarshal(object.Value, &chunk); err != nil {
			return nil, 0, annotator.Wrap("decode texts", annotator.Peer(object.Key), err)
		}
		for _, text := range chunk.Texts {
			progress, ok := held[text.Item]
			if !ok {
				progress = &codec.ItemProgress{Item: text.Item}
				held[text.Item] = progress
				order = append(order, text.Item)
			}
			continueText(progress, text)
		}
	}
}

func continueText(progress *codec.ItemProgress, text codec.SavedText) {
	kept := min(max(text.After, 0), len(progress.Events))
	progress.Events = append(progress.Events[:kept:kept], text.Events...)
	progress.Versions = text.Versions
	progress.Complete = text.Complete
	progress.Score = text.Score
}

// NewWriter returns a name for one attempt to write a chunk.
func NewWriter(host identifier.HostID) string { return string(host) + "#" + uuid.NewString() }

// Remove deletes all objects of a job, its head first so that the job is gone as a whole.
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

// split divides a job into parts, each a job with some of the items.
func split(job codec.BatchJob) ([]json.RawMessage, error) {
	var parts []json.RawMessage
	rest := job.Items
	for first := true; first || len(rest) > 0; first = false {
		part := job
		var size identifier.Bytes
		taken := 0
		for taken < len(rest) {
			encoded, err := json.Marshal(rest[taken])
			if err != nil {
				return nil, err
			}
			if taken > 0 && size+identifier.Bytes(len(encoded)) > maxPart {
				break
			}
			size += identifier.Bytes(len(encoded))
			taken++
		}
		part.Items = rest[:taken]
		rest = rest[taken:]
		value, err := json.Marshal(part)
		if err != nil {
			return nil, err
		}
		parts = append(parts, value)
	}
	return parts, nil
}

func pause(ctx context.Context) bool {
	wait := time.NewTimer(certainPause)
	defer wait.Stop()
	select {
	case <-ctx.Done():
		return false
	case <-wait.C:
		return true
	}
}

func decodeHead(object codec.Object) (Head, error) {
	head := Head{ID: identifier.BatchID(strings.TrimPrefix(object.Key, kindHeads)), Version: object.Version}
	err := json.Unmarshal(object.Value, &head.BatchHead)
	return head, annotator.Wrap("decode batch head", annotator.Peer(object.Key), err)
}

func decodeChunk(object codec.Object) (codec.BatchChunk, error) {
	var chunk codec.BatchChunk
	err := json.Unmarshal(object.Value, &chunk)
	return chunk, annotator.Wrap("decode results", annotator.Peer(object.Key), err)
}

func headKey(id identifier.BatchID) string { return kindHeads + string(id) }

func partKey(id identifier.BatchID, number int) string {
	return fmt.Sprintf("%s%s.%05d", kindParts, id, number)
}

func textKey(id identifier.BatchID, number int) string {
	return fmt.Sprintf("%s%s.%05d", kindTexts, id, number)
}

func chunkKey(id identifier.BatchID, number int) string {
	return fmt.Sprintf("%s%s.%05d", kindResults, id, number)
}
