package placement

// maxPrefixEntries bounds the parts remembered for one endpoint; the memory is this process's.
const maxPrefixEntries = 512

// prefixEntry is a part that an endpoint was sent, in a list from the most to the least recently used.
type prefixEntry struct {
	hash   uint64
	tokens int
	newer  *prefixEntry
	older  *prefixEntry
}

// prefixCache holds the parts of prompts that an endpoint is believed to keep: those that this proxy has sent there,
// the least recently used giving way as they do at the endpoint.
type prefixCache struct {
	entries    map[uint64]*prefixEntry
	newest     *prefixEntry
	oldest     *prefixEntry
	tokens     int
	tokenLimit int // tokens
}

// cachedTokens is the number of tokens of a chain that are kept: a part counts only if all before it are kept.
func (p *prefixCache) cachedTokens(c *blockChain) (tokens int) {
	for index, hash := range c.prefixHashes {
		if p.entries[hash] == nil {
			break
		}
		tokens += c.blockTokens[index]
	}
	return tokens
}

// touch notes that a chain was sent. The last part goes in first, so that the parts that more requests share are the
// last to give way.
func (p *prefixCache) touch(c *blockChain) {
	if p.entries == nil {
		p.entries = map[uint64]*prefixEntry{}
	}
	for index := len(c.prefixHashes) - 1; index >= 0; index-- {
		entry := p.entries[c.prefixHashes[index]]
		if entry == nil {
			entry = &prefixEntry{hash: c.prefixHashes[index], tokens: c.blockTokens[index]}
			p.entries[entry.hash] = entry
			p.tokens += entry.tokens
		} else {
			p.unlink(entry)
		}
		p.link(entry)
	}
	for p.oldest != nil && (p.tokens > p.tokenLimit || len(p.entries) > maxPrefixEntries) {
		p.evict(p.oldest)
	}
}

// clear drops everything: the endpoint has started anew or was away.
func (p *prefixCache) clear() { p.entries, p.newest, p.oldest, p.tokens = nil, nil, nil, 0 }

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
