package placement

// maxPrefixEntries bounds the blocks that are recorded for one endpoint, and with them this process's memory.
const maxPrefixEntries = 512

// prefixEntry is a block that was sent to an endpoint, in a list ordered by last use.
type prefixEntry struct {
	hash   uint64
	tokens int
	newer  *prefixEntry
	older  *prefixEntry
}

// prefixCache predicts which prefix blocks an endpoint has in its KV cache: those that this proxy has sent to it, with
// the least recently used evicted first, as the endpoint does.
type prefixCache struct {
	entries    map[uint64]*prefixEntry // by the hash of the block and all before it
	newest     *prefixEntry
	oldest     *prefixEntry
	tokens     int // of all entries
	tokenLimit int
}

// cachedTokens returns how many tokens at the start of a prompt are cached.
func (p *prefixCache) cachedTokens(c *blockChain) (tokens int) {
	for index, hash := range c.prefixHashes {
		if p.entries[hash] == nil {
			break
		}
		tokens += c.blockTokens[index]
	}
	return tokens
}

// touch adds the blocks of a prompt that was sent, or marks them as used. It begins with the last block, so that the
// first blocks, which more requests share, are evicted last.
func (p *prefixCache) touch(c *blockChain) {
	if p.entries == nil {
		p.entries = map[uint64]*prefixEntry{}
	}
	for index := len(c.prefixHashes) - 1; index >= 0; index-- {
		p.touchBlock(c.prefixHashes[index], c.blockTokens[index])
	}
	for p.oldest != nil && (p.tokens > p.tokenLimit || len(p.entries) > maxPrefixEntries) {
		p.evict(p.oldest)
	}
}

// touchBlock makes a block the most recently used one.
func (p *prefixCache) touchBlock(hash uint64, tokens int) {
	entry := p.entries[hash]
	if entry == nil {
		entry = &prefixEntry{hash: hash, tokens: tokens}
		p.entries[hash] = entry
		p.tokens += tokens
	} else {
		p.unlink(entry)
	}
	p.link(entry)
}

// clear removes all blocks. It is called when the endpoint may have restarted and lost its cache.
func (p *prefixCache) clear() {
	p.entries = nil
	p.newest = nil
	p.oldest = nil
	p.tokens = 0
}

func (p *prefixCache) evict(entry *prefixEntry) {
	p.unlink(entry)
	delete(p.entries, entry.hash)
	p.tokens -= entry.tokens
}

func (p *prefixCache) link(entry *prefixEntry) {
	entry.older, entry.newer = p.newest, nil
	if p.newest != nil {
		p.newest.newer = entry
	}
	p.newest = entry
	if p.oldest == nil {
		p.oldest = entry
	}
}

func (p *prefixCache) unlink(entry *prefixEntry) {
	if entry.newer != nil {
		entry.newer.older = entry.older
	} else {
		p.newest = entry.older
	}
	if entry.older != nil {
		entry.older.newer = entry.newer
	} else {
		p.oldest = entry.newer
	}
}
