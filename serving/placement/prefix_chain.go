package placement

import "math/bits"

// Parameters of the 64-bit FNV-1a hash.
const (
	fnvOffset = 14695981039346656037
	fnvPrime  = 1099511628211
)

// hashString updates an FNV-1a hash with the bytes of a string.
func hashString(hash uint64, text string) uint64 {
	for index := range len(text) {
		hash = (hash ^ uint64(text[index])) * fnvPrime
	}
	return hash
}

// mixHashes combines two hashes so that similar inputs give unrelated ranks (the finalizer of wyhash).
func mixHashes(a, b uint64) uint64 {
	high, low := bits.Mul64(a^0x9e3779b97f4a7c15, b^0xe7037ed1a0b428db)
	return high ^ low
}

// blockChain holds, for each block of a prompt, the hash of it and all blocks before it.
type blockChain struct {
	prefixHashes []uint64
	blockTokens  []int
	sharedBlocks int // number of blocks that may be shared with other requests: all but the last
}

// maxChainBlocks bounds how many blocks of a prompt are hashed.
const maxChainBlocks = 16

// hashBlocks hashes the blocks of a prompt. It reuses the buffers of an earlier chain.
func hashBlocks(into blockChain, blocks []PrefixBlock) blockChain {
	into.prefixHashes, into.blockTokens = into.prefixHashes[:0], into.blockTokens[:0]
	hash := uint64(fnvOffset)
	for _, block := range blocks[:min(len(blocks), maxChainBlocks)] {
		hash = hashString(hash, block.ID)
		hash = (hash ^ ',') * fnvPrime
		into.prefixHashes = append(into.prefixHashes, hash)
		into.blockTokens = append(into.blockTokens, block.Tokens)
	}
	into.sharedBlocks = max(len(into.prefixHashes)-1, 0)
	return into
}

// sharedPrefixHash returns the hash of all shared blocks together; zero if there are none.
func (c *blockChain) sharedPrefixHash() uint64 {
	if c.sharedBlocks == 0 {
		return 0
	}
	return c.prefixHashes[c.sharedBlocks-1]
}

// sharedTokens returns the number of tokens of all shared blocks.
func (c *blockChain) sharedTokens() (tokens int) {
	for _, blockTokens := range c.blockTokens[:c.sharedBlocks] {
		tokens += blockTokens
	}
	return tokens
}
