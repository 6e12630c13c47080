package endpoint

import (
	"container/list"
	"strconv"
	"strings"
	"sync"
)

// kvCache simulates the memory that running requests and cached prompt blocks share, in tokens. The least recently
// used blocks are evicted.
type kvCache struct {
	total int

	mutex    sync.Mutex
	reserved int // by running requests
	cached   int
	blocks   map[string]*list.Element // by the chain of block IDs up to and including this one
	recent   *list.List               // of *cachedBlock, the most recently used first
}

// cachedBlock is a prompt block, identified by all blocks before it too.
type cachedBlock struct {
	chain  string
	tokens int
}

// promptBlock is a block of a request's prompt.
type promptBlock struct {
	id     string
	tokens int
}

func newKVCache(total int) *kvCache {
	return &kvCache{total: total, blocks: map[string]*list.Element{}, recent: list.New()}
}

// reserve reserves tokens for a request. It returns false if running requests occupy the space.
func (c *kvCache) reserve(tokens int) bool {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	if c.reserved+tokens > c.total {
		return false
	}
	c.reserved += tokens
	c.evict()
	return true
}

// release returns reserved tokens.
func (c *kvCache) release(tokens int) {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	c.reserved -= tokens
}

// reservedTokens returns the tokens that can't be evicted.
func (c *kvCache) reservedTokens() int {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	return c.reserved
}

// prefill caches a prompt and returns how many of its tokens were not cached. A block counts as cached if it and all
// blocks before it are.
func (c *kvCache) prefill(model string, prompt []promptBlock) (missing int) {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	var chain strings.Builder
	chain.WriteString(model)
	allCached := true
	for _, p := range prompt {
		chain.WriteString("," + p.id)
		element, known := c.blocks[chain.String()]
		allCached = allCached && known
		if !allCached {
			missing += p.tokens
		}
		if known {
			c.recent.MoveToFront(element)
			continue
		}
		c.blocks[chain.String()] = c.recent.PushFront(&cachedBlock{chain: chain.String(), tokens: p.tokens})
		c.cached += p.tokens
	}
	c.evict()
	return missing
}

// evict removes the least recently used blocks until everything fits.
func (c *kvCache) evict() {
	for c.reserved+c.cached > c.total && c.recent.Len() > 0 {
		oldest := c.recent.Back()
		evicted := c.recent.Remove(oldest).(*cachedBlock)
		delete(c.blocks, evicted.chain)
		c.cached -= evicted.tokens
	}
}

// parsePrompt parses the blocks of a prompt, "ID:TOKENS,...". Invalid ones are skipped.
func parsePrompt(header string) (parts []promptBlock) {
	for each := range strings.SplitSeq(header, ",") {
		id, text, _ := strings.Cut(strings.TrimSpace(each), ":")
		if tokens, err := strconv.Atoi(text); err == nil && tokens >= 0 && id != "" {
			parts = append(parts, promptBlock{id: id, tokens: tokens})
		}
	}
	return parts
}

// parseTokenCounts parses the numbers of prompt tokens and of output tokens at the most.
func parseTokenCounts(header string) (in, out int) {
	first, second, _ := strings.Cut(header, ",")
	in, _ = strconv.Atoi(strings.TrimSpace(first))
	out, _ = strconv.Atoi(strings.TrimSpace(second))
	return max(in, 0), max(out, 0)
}
