package crlfake

import (
	"container/list"
	"time"

	"github.com/cespare/xxhash/v2"
)

// prefixBlockBytes is the unit in which prompts are cached.
const prefixBlockBytes = 256

// CacheEvent tells that an engine cached or evicted a prompt prefix.
type CacheEvent struct {
	Number  int       `json:"number"` // Number counts events from 1; a missing number is a lost event.
	Time    time.Time `json:"time"`
	Prefix  uint64    `json:"prefix"` // Prefix is the xxhash of the prompt up to the end of a block.
	Evicted bool      `json:"evicted"`
}

// keptEvents bounds the events that an engine remembers.
const maxRetainedEvents = 1024

// prefixCache holds the most recently used prefixes of prompts.
type prefixCache struct {
	profile    Profile
	blocks     map[uint64]*list.Element
	recent     *list.List // recent holds prefixes, the newest in front.
	events     []CacheEvent
	lastNumber int
}

func newPrefixCache(profile Profile) *prefixCache {
	return &prefixCache{profile: profile, blocks: make(map[uint64]*list.Element), recent: list.New()}
}

// use caches a prompt and returns how many of its bytes were not cached.
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

// touch makes a prefix the newest and reports whether it was cached.
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

// published returns the events after a number that are old enough to be seen.
func (c *prefixCache) eventsAfter(after int, now time.Time) []CacheEvent {
	events := []CacheEvent{}
	for _, e := range c.events {
		if e.Number > after && now.Sub(e.Time) >= c.profile.EventLag {
			events = append(events, e)
		}
	}
	return events
}
