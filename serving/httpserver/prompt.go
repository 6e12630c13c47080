package httpserver

import (
	"net/http"
	"strconv"
	"strings"

	"rowanlink/serving/placement"
	"rowanlink/serving/routing"
)

const (
	// maxTokenCount bounds each number of tokens that a client states, so that sums of them don't overflow. It is far
	// above the capacity of any endpoint's KV cache.
	maxTokenCount = 1 << 40
	// maxPromptBlocks is the largest number of prompt blocks of a request; further ones are ignored.
	maxPromptBlocks = 256
)

// placementRequest returns the request to the picker that follows from a client request's route and headers.
func placementRequest(route *routing.Route, header http.Header) placement.Request {
	prompt, output := parseTokenCounts(header.Get(headerTokens))
	return placement.Request{
		Route:           route,
		Model:           header.Get(headerModel),
		PromptTokens:    prompt,
		MaxOutputTokens: output,
		Blocks:          parsePromptBlocks(header.Get(headerPrompt)),
	}
}

// parseTokenCounts parses "PROMPT,OUTPUT". An invalid number is taken as zero.
func parseTokenCounts(text string) (prompt, output int) {
	first, second, _ := strings.Cut(text, ",")
	return parseCount(first), parseCount(second)
}

// parseCount parses a number of tokens, limited to maxTokenCount. An invalid or negative number is taken as zero.
func parseCount(text string) int {
	n, err := strconv.Atoi(strings.TrimSpace(text))
	if err != nil || n < 0 {
		return 0
	}
	return min(n, maxTokenCount)
}

// parsePromptBlocks parses "ID:TOKENS,ID:TOKENS,...". It ignores the first invalid block and everything after it.
func parsePromptBlocks(text string) []placement.PrefixBlock {
	if text == "" {
		return nil
	}
	blocks := make([]placement.PrefixBlock, 0, min(1+strings.Count(text, ","), maxPromptBlocks))
	for field := range strings.SplitSeq(text, ",") {
		id, tokens, hasTokens := strings.Cut(strings.TrimSpace(field), ":")
		if !hasTokens || id == "" || len(blocks) == maxPromptBlocks {
			break
		}
		blocks = append(blocks, placement.PrefixBlock{ID: id, Tokens: parseCount(tokens)})
	}
	return blocks
}
