package placement

import "math/bits"

// Constants of the FNV-1a hash.
const (
	fnvOffset = 14695981039346656037
	fnvPrime  = 1099511628211
)

// hashString continues a hash with a text.
func hashString(hash uint64, text string) uint64 {
	for index := range len(text) {
		hash = (hash ^ uint64(text[index])) * fnvPrime
	}
	return hash
}

// mixHashes spreads two hashes over all bits, so that near inputs give unlike ranks (the finisher of wyhash).
func mixHashes(a, b uint64) uint64 {
	high, low := bits.Mul64(a^0x9e3779b97f4a7c15, b^0xe7037ed1a0b428db)
	return high ^ low
}

// blockChain holds, for each part of a prompt, a hash of it and all parts before it.
type blockChain struct {
	prefixHashes []uint64
	blockTokens  []int
	sharedBlocks int // parts that other requests may share: all but the last
}

// maxChainBlocks bounds how many parts of a prompt are looked at.
const maxChainBlocks = 16

// hashBlocks hashes a prompt's parts into the buffers of an earlier chain.
func hashBlocks(into blockChain, parts []PrefixBlock) blockChain {
	into.prefixHashes, into.blockTokens = into.prefixHashes[:0], into.blockTokens[:0]
	hash := uint64(fnvOffset)
	for _, part := range parts[:min(len(parts), maxChainBlocks)] {
		hash = hashString(hash, part.ID)
		hash = (hash ^ ',') * fnvPrime
		into.prefixHashes = append(into.prefixHashes, hash)
		into.blockTokens = append(into.blockTokens, part.Tokens)
	}
	into.sharedBlocks = max(len(into.prefixHashes)-1, 0)
	return into
}

// sharedPrefixHash is the hash of the last shared part with all before it, zero if there is none.
func (c *blockChain) sharedPrefixHash() uint64 {
	if c.sharedBlocks == 0 {
		return 0
	}
	return c.prefixHashes[c.sharedBlocks-1]
}

// sharedTokens is the length of all shared parts.
func (c *blockChain) sharedTokens() (tokens int) {
	for _, part := range c.blockTokens[:c.sharedBlocks] {
		tokens += part
	}
	return tokens
}
