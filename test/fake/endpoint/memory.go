package endpoint

import (
	"container/list"
	"strconv"
	"strings"
	"sync"
)

// memory is what running requests and cached parts of prompts share, in tokens. Parts unused longest give way.
type memory struct {
	total int

	mutex  sync.Mutex
	used   int // by running requests
	cached int
	parts  map[string]*list.Element // by the chain of parts up to and with this one
	recent *list.List               // of *cachedPart, the most recent first
}

// cachedPart is one part of a prompt, known by all parts before it too.
type cachedPart struct {
	chain  string
	tokens int
}

// part is one part of a request's prompt.
type part struct {
	id     string
	tokens int
}

func newMemory(total int) *memory {
	return &memory{total: total, parts: map[string]*list.Element{}, recent: list.New()}
}

// take reserves tokens for a request; false: running requests need the room.
func (m *memory) take(tokens int) bool {
	m.mutex.Lock()
	defer m.mutex.Unlock()
	if m.used+tokens > m.total {
		return false
	}
	m.used += tokens
	m.shrink()
	return true
}

// give returns them.
func (m *memory) give(tokens int) {
	m.mutex.Lock()
	defer m.mutex.Unlock()
	m.used -= tokens
}

// usedNow are the tokens that can't give way.
func (m *memory) usedNow() int {
	m.mutex.Lock()
	defer m.mutex.Unlock()
	return m.used
}

// read notes that a prompt is read and returns how many of its tokens were not cached. A part counts as cached where
// it and all parts before it are.
func (m *memory) read(model string, prompt []part) (missing int) {
	m.mutex.Lock()
	defer m.mutex.Unlock()
	var chain strings.Builder
	chain.WriteString(model)
	whole := true
	for _, p := range prompt {
		chain.WriteString("," + p.id)
		element, known := m.parts[chain.String()]
		whole = whole && known
		if !whole {
			missing += p.tokens
		}
		if known {
			m.recent.MoveToFront(element)
			continue
		}
		m.parts[chain.String()] = m.recent.PushFront(&cachedPart{chain: chain.String(), tokens: p.tokens})
		m.cached += p.tokens
	}
	m.shrink()
	return missing
}

// shrink forgets the parts unused longest until all fits.
func (m *memory) shrink() {
	for m.used+m.cached > m.total && m.recent.Len() > 0 {
		oldest := m.recent.Back()
		forgotten := m.recent.Remove(oldest).(*cachedPart)
		delete(m.parts, forgotten.chain)
		m.cached -= forgotten.tokens
	}
}

// readPrompt reads the parts of a prompt: ID:TOKENS joined by commas. What can't be read is left out.
func readPrompt(header string) (parts []part) {
	for each := range strings.SplitSeq(header, ",") {
		id, text, _ := strings.Cut(strings.TrimSpace(each), ":")
		if tokens, err := strconv.Atoi(text); err == nil && tokens >= 0 && id != "" {
			parts = append(parts, part{id: id, tokens: tokens})
		}
	}
	return parts
}

// readTokens reads the numbers of tokens of a prompt and at the most of an answer.
func readTokens(header string) (in, out int) {
	first, second, _ := strings.Cut(header, ",")
	in, _ = strconv.Atoi(strings.TrimSpace(first))
	out, _ = strconv.Atoi(strings.TrimSpace(second))
	return max(in, 0), max(out, 0)
}
