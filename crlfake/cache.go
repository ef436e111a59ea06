package crlfake

import (
	"container/list"
	"time"

	"github.com/cespare/xxhash/v2"
)

// prefixBlockBytes is the size of the blocks into which prompts are split for caching.
const prefixBlockBytes = 256

// CacheEvent reports that an engine cached or evicted a prompt prefix.
type CacheEvent struct {
	Number  int       `json:"number"` // sequence number from 1; a missing number is a lost event
	Time    time.Time `json:"time"`
	Prefix  uint64    `json:"prefix"` // xxhash of the prompt from its start to the end of a block
	Evicted bool      `json:"evicted"`
}

// maxRetainedEvents is the number of cache events that an engine retains for readers.
const maxRetainedEvents = 1024

// prefixCache is an LRU cache of prompt prefixes that publishes its changes as events. It isn't safe for concurrent use.
type prefixCache struct {
	profile    Profile
	blocks     map[uint64]*list.Element // elements of recent, by the xxhash of the prefix
	recent     *list.List               // hashes of the cached prefixes, the most recently used in front
	events     []CacheEvent             // the newest last
	lastNumber int                      // number of the newest event, dropped ones included
}

func newPrefixCache(profile Profile) *prefixCache {
	return &prefixCache{profile: profile, blocks: make(map[uint64]*list.Element), recent: list.New()}
}

// add caches the prefixes of a prompt, one per whole block, and returns how many bytes of the prompt were not cached.
func (c *prefixCache) add(prompt []byte, now time.Time) int {
	if c.profile.CacheBlocks == 0 {
		return len(prompt)
	}
	cached := 0
	digest := xxhash.New()
	for end := prefixBlockBytes; end <= len(prompt); end += prefixBlockBytes {
		_, _ = digest.Write(prompt[end-prefixBlockBytes : end])
		if c.touch(digest.Sum64(), now) && cached == end-prefixBlockBytes {
			cached = end
		}
	}
	return len(prompt) - cached
}

// touch marks a prefix as the most recently used one, caching it if needed, and reports whether it was cached before. If the
// cache is full, it evicts the least recently used prefix.
func (c *prefixCache) touch(prefix uint64, now time.Time) bool {
	if e, ok := c.blocks[prefix]; ok {
		c.recent.MoveToFront(e)
		return true
	}
	c.blocks[prefix] = c.recent.PushFront(prefix)
	c.recordEvent(prefix, false, now)
	if c.recent.Len() > c.profile.CacheBlocks {
		oldest := c.recent.Remove(c.recent.Back()).(uint64)
		delete(c.blocks, oldest)
		c.recordEvent(oldest, true, now)
	}
	return false
}

func (c *prefixCache) recordEvent(prefix uint64, evicted bool, now time.Time) {
	c.lastNumber++
	if c.profile.EventGap > 0 && c.lastNumber%c.profile.EventGap == 0 {
		return
	}
	c.events = append(c.events, CacheEvent{Number: c.lastNumber, Time: now, Prefix: prefix, Evicted: evicted})
	if len(c.events) > maxRetainedEvents {
		c.events = c.events[1:]
	}
}

// eventsAfter returns the retained events with a number above after that are at least EventLag old.
func (c *prefixCache) eventsAfter(after int, now time.Time) []CacheEvent {
	events := []CacheEvent{}
	for _, e := range c.events {
		if e.Number > after && now.Sub(e.Time) >= c.profile.EventLag {
			events = append(events, e)
		}
	}
	return events
}
