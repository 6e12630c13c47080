package placement

import (
	"fmt"
	"testing"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"

	"rowanlink/serving/attempt"
)

func TestPrefixOwner_SameForAllProxiesOfARegion(t *testing.T) {
	endpoints := append(modelEndpoints("e1", 4), modelEndpoints("e2", 4)...)
	one, other := newFixture(t, "e1", endpoints...), newFixture(t, "e2", endpoints...)
	owners := map[string]bool{}
	for subject := range 40 {
		first, _ := one.Pick(one.now, one.request("review", subject))
		second, _ := other.Pick(other.now, other.request("review", subject))
		assert.Equal(t, first.Endpoint.ID, second.Endpoint.ID, "subject %d", subject)
		owners[first.Endpoint.ID] = true
		one.ReportOutcome(one.now, first.Reservation, attempt.Succeeded)
		other.ReportOutcome(other.now, second.Reservation, attempt.Succeeded)
	}
	assert.Greater(t, len(owners), 5, "subjects are spread")
}

func TestPrefixOwner_OverloadIsSpread(t *testing.T) {
	w := newFixture(t, "e1", modelEndpoints("e1", 6)...)
	callsByID := map[string]int{}
	for range 60 {
		choice, decision := w.Pick(w.now, w.request("review", 1))
		require.Equal(t, Picked, decision.Kind)
		callsByID[choice.Endpoint.ID]++
	}
	maximum := 0
	for _, calls := range callsByID {
		maximum = max(maximum, calls)
	}
	assert.LessOrEqual(t, maximum, 20, "one prefix alone must not fill one endpoint while others are idle")
}

func TestPrefixCache_SessionReturnsToItsEndpoint(t *testing.T) {
	w := newFixture(t, "e1", modelEndpoints("e1", 6)...)
	for session := range 20 {
		// the block isn't shared, so only this proxy knows where it is cached
		blocks := []PrefixBlock{{fmt.Sprint("session", session), 6000}}
		request := Request{Route: w.route("review"), Model: "m", PromptTokens: 6000, Blocks: blocks, TimeLeft: 1e9}
		first, _ := w.Pick(w.now, request)
		w.ReportOutcome(w.now, first.Reservation, attempt.Succeeded)
		again, _ := w.Pick(w.now, request)
		w.ReportOutcome(w.now, again.Reservation, attempt.Succeeded)
		assert.Equal(t, first.Endpoint.ID, again.Endpoint.ID)
		assert.Less(t, again.ExpectedFirstByte, first.ExpectedFirstByte)
	}
}

func TestPrefixCache_EvictsLeastRecentlyUsed(t *testing.T) {
	rapid.Check(t, func(r *rapid.T) {
		p := prefixCache{tokenLimit: 1000}
		for range 200 {
			var blocks []PrefixBlock
			for depth := range rapid.IntRange(1, 4).Draw(r, "depth") {
				blocks = append(blocks, PrefixBlock{fmt.Sprint(depth, rapid.IntRange(0, 6).Draw(r, "id")), rapid.IntRange(1, 200).Draw(r, "tokens")})
			}
			c := hashBlocks(blockChain{}, blocks)
			p.touch(&c)
			assert.LessOrEqual(r, p.tokens, 1000)
			assert.LessOrEqual(r, p.cachedTokens(&c), 4*200)
			count, tokens := 0, 0
			for entry := p.newest; entry != nil; entry = entry.older {
				count++
				tokens += entry.tokens
			}
			assert.Equal(r, len(p.entries), count)
			assert.Equal(r, p.tokens, tokens)
		}
	})
}
