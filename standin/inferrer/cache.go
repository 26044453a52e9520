package inferrer

import (
	"container/list"
	"net/http"
	"strconv"
	"time"

	"github.com/labstack/echo/v4"

	"celerygap.example/lib/codec"
	"celerygap.example/lib/identifier"
)

// prefixCache is a cache of the most recently used prompt prefixes, with the events that report its changes.
type prefixCache struct {
	capacity int
	lag      time.Duration
	gap      int64
	order    *list.List
	entries  map[string]*list.Element
	sequence int64
	events   []timedEvent
}

// timedEvent is an event and the time from which callers see it.
type timedEvent struct {
	event   codec.CacheEvent
	visible time.Time
}

func newPrefixCache(config Config) *prefixCache {
	return &prefixCache{
		capacity: config.CacheEntries,
		lag:      config.CacheEventLag,
		gap:      config.CacheEventGap,
		order:    list.New(),
		entries:  make(map[string]*list.Element),
	}
}

// touch marks the prefix of a prompt as the most recently used, adds it if necessary, and reports whether it was cached.
func (p *prefixCache) touch(now time.Time, prompt string) (hit bool) {
	prefix := prompt[:min(len(prompt), cachedPrefixBytes)]
	if element, ok := p.entries[prefix]; ok {
		p.order.MoveToFront(element)
		return true
	}
	p.entries[prefix] = p.order.PushFront(prefix)
	p.addEvent(now, codec.CacheEventKindStored, prefix)
	if p.order.Len() > p.capacity {
		p.evict(now, p.order.Back())
	}
	return false
}

// clear evicts every prefix, as engines do when the weights change.
func (p *prefixCache) clear(now time.Time) {
	for p.order.Len() > 0 {
		p.evict(now, p.order.Back())
	}
}

func (p *prefixCache) evict(now time.Time, element *list.Element) {
	prefix := p.order.Remove(element).(string)
	delete(p.entries, prefix)
	p.addEvent(now, codec.CacheEventKindEvicted, prefix)
}

// addEvent appends an event; each gap-th one is dropped, so that callers see gaps in the sequence.
func (p *prefixCache) addEvent(now time.Time, kind codec.CacheEventKind, prefix string) {
	p.sequence++
	if p.gap > 0 && p.sequence%p.gap == 0 {
		return
	}
	event := codec.CacheEvent{Sequence: p.sequence, Kind: kind, Prefix: prefix}
	p.events = appendLimited(p.events, timedEvent{event: event, visible: now.Add(p.lag)})
}

// eventsAfter returns the visible events after a sequence number, and the number of the last one.
func (p *prefixCache) eventsAfter(now time.Time, sequence int64) codec.CacheEvents {
	out := codec.CacheEvents{Events: []codec.CacheEvent{}, Next: sequence}
	for _, e := range p.events {
		if e.event.Sequence <= sequence {
			continue
		}
		if now.Before(e.visible) {
			break
		}
		out.Events = append(out.Events, e.event)
		out.Next = e.event.Sequence
	}
	return out
}

func (e *Engine) cacheEvents(c echo.Context) error {
	after := int64(0)
	if text := c.QueryParam("after"); text != "" {
		number, err := strconv.ParseInt(text, 10, 64)
		if err != nil {
			return c.String(http.StatusBadRequest, "after must be a number")
		}
		after = number
	}
	e.mu.Lock()
	events := e.prefixes.eventsAfter(time.Now(), after)
	e.mu.Unlock()
	return c.JSON(http.StatusOK, events)
}

// KVCache is the exported form of a stream's KV cache. Version is the oldest weight version with which a part of it was
// computed.
type KVCache struct {
	Model   identifier.ModelName     `json:"model"`
	Prompt  string                   `json:"prompt"`
	Tokens  identifier.Tokens        `json:"tokens"`
	Version identifier.WeightVersion `json:"version"`
}

// cacheStore holds imported KV caches until their attempts start, and the KV caches of ended streams for export.
type cacheStore struct {
	imported map[identifier.AttemptID]KVCache
	ended    map[identifier.AttemptID]KVCache
	// endedOrder lists the keys of ended, oldest first.
	endedOrder []identifier.AttemptID
}

func newCacheStore() *cacheStore {
	return &cacheStore{
		imported: make(map[identifier.AttemptID]KVCache),
		ended:    make(map[identifier.AttemptID]KVCache),
	}
}

func (s *stream) kvCache() KVCache {
	return KVCache{Model: s.request.Model, Prompt: s.request.Prompt, Tokens: s.next, Version: s.oldestVersion}
}

// addEnded adds the KV cache of an ended stream that produced tokens; above keptKVCaches it discards the oldest.
func (c *cacheStore) addEnded(s *stream) {
	if !s.run.Started || s.sequence == 0 {
		return
	}
	c.ended[s.request.AttemptID] = s.kvCache()
	c.endedOrder = append(c.endedOrder, s.request.AttemptID)
	if len(c.endedOrder) > keptKVCaches {
		delete(c.ended, c.endedOrder[0])
		c.endedOrder = c.endedOrder[1:]
	}
}

func (e *Engine) exportCache(c echo.Context) error {
	attempt := identifier.AttemptID(c.Param("attempt"))
	e.mu.Lock()
	defer e.mu.Unlock()
	if s, ok := e.streams[attempt]; ok && s.sequence > 0 {
		return c.JSON(http.StatusOK, s.kvCache())
	}
	if cache, ok := e.kvCaches.ended[attempt]; ok {
		return c.JSON(http.StatusOK, cache)
	}
	return c.NoContent(http.StatusNotFound)
}

func (e *Engine) importCache(c echo.Context) error {
	var cache KVCache
	if err := c.Bind(&cache); err != nil {
		return err
	}
	e.mu.Lock()
	defer e.mu.Unlock()
	if _, ok := e.models[cache.Model]; !ok {
		return refuse(c, refusalUnknownModel)
	}
	e.kvCaches.imported[identifier.AttemptID(c.Param("attempt"))] = cache
	return c.NoContent(http.StatusNoContent)
}
