package httpserver

import (
	"io"
	"math"
	"net/http"
	"os"
	"strconv"
	"strings"
	"time"

	"github.com/cockroachdb/errors"

	"rowanlink/serving/errcode"
	"rowanlink/serving/placement"
	"rowanlink/serving/routing"
)

// Bounds used while no configuration says anything.
const (
	defaultBodyLimit  = 8 << 20 // bytes
	defaultTimeout    = 30 * time.Second
	uncountedBodySize = 64 << 10 // bytes; smaller bodies are not counted against the memory for bodies
)

// errClientDisconnected: the client has left or broken its request off. Nobody is left to answer.
var errClientDisconnected = errors.New("client has left")

// request is one try of a client, read whole.
type request struct {
	httpRequest *http.Request
	table       *routing.Table
	route       *routing.Route
	arrivedAt   time.Time
	deadline    time.Time // by then the client or the operator wants it ended
	body        []byte
	hasBody     bool
	placement   placement.Request
}

// requestTarget is the path and query as the client sent them, also where it named the host with them.
func requestTarget(r *http.Request) string {
	if strings.HasPrefix(r.RequestURI, "/") || r.URL.Host == "" {
		return r.RequestURI
	}
	_, rest, _ := strings.Cut(r.RequestURI, "//")
	if slash := strings.IndexAny(rest, "/?"); slash >= 0 {
		rest = rest[slash:]
	} else {
		rest = ""
	}
	if !strings.HasPrefix(rest, "/") {
		rest = "/" + rest
	}
	return rest
}

// pathOfTarget is a target without its query.
func pathOfTarget(target string) string {
	path, _, _ := strings.Cut(target, "?")
	return path
}

// deadline is when the client or the operator wants a request ended that arrived at the given time.
func deadline(arrived time.Time, header http.Header, hold time.Duration) time.Time {
	if hold <= 0 {
		hold = defaultTimeout
	}
	millis, err := strconv.ParseFloat(strings.TrimSpace(header.Get(headerTimeLeft)), 64)
	if err == nil && !math.IsNaN(millis) && millis < float64(hold.Milliseconds()) {
		hold = time.Duration(max(millis, 0) * float64(time.Millisecond))
	}
	return arrived.Add(hold)
}

// headSize is about the size of a request's head in bytes.
func headSize(r *http.Request) int {
	size := len(r.Method) + len(r.RequestURI) + len(r.Host)
	for name, values := range r.Header {
		for _, value := range values {
			size += len(name) + len(value)
		}
	}
	return size
}

// readBody reads the whole body, at most limit bytes of it. The error is a numbered one or errClientDisconnected.
func readBody(r *http.Request, limit int, memory *bodyMemory) (body []byte, err error) {
	if r.ContentLength == 0 || r.Body == nil || r.Body == http.NoBody {
		return nil, nil
	}
	if limit <= 0 {
		limit = defaultBodyLimit
	}
	if r.ContentLength > int64(limit) {
		return nil, errcode.BodyTooLarge.With("%d bytes", r.ContentLength)
	}
	if !memory.reserve(r.ContentLength) {
		return nil, errcode.TooManyLargeBodies.With("%d bytes", r.ContentLength)
	}
	if r.ContentLength > 0 && r.ContentLength <= uncountedBodySize {
		body = make([]byte, r.ContentLength)
		_, err = io.ReadFull(r.Body, body)
		if err == nil { // lets the server watch the connection: it does so only after the end of the body
			_, err = io.CopyN(io.Discard, r.Body, 1)
		}
		if errors.Is(err, io.EOF) {
			err = nil
		}
	} else {
		body, err = io.ReadAll(io.LimitReader(r.Body, int64(limit)+1))
	}
	switch {
	case errors.Is(err, os.ErrDeadlineExceeded):
		return nil, errcode.BodyTimeout.With("%v", err)
	case err != nil:
		return nil, errors.CombineErrors(errClientDisconnected, err)
	case len(body) > limit:
		return nil, errcode.BodyTooLarge.With("over %d bytes", limit)
	}
	return body, nil
}

// placementRequest puts what a request says of its size and its prompt into placement's words.
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

// maxTokenCount bounds each number of tokens that a client names, so that sums of them don't overflow. It is far above
// what any endpoint's memory holds.
const maxTokenCount = 1 << 40

// parseTokenCounts reads "prompt,output". What can't be read is zero.
func parseTokenCounts(text string) (prompt, output int) {
	first, second, _ := strings.Cut(text, ",")
	return parseCount(first), parseCount(second)
}

func parseCount(text string) int {
	n, err := strconv.Atoi(strings.TrimSpace(text))
	if err != nil || n < 0 {
		return 0
	}
	return min(n, maxTokenCount)
}

// maxPromptBlocks bounds the parts of a prompt that are looked at.
const maxPromptBlocks = 256

// parsePromptBlocks reads "ID:TOKENS,ID:TOKENS,...". It ends at the first part that can't be read.
func parsePromptBlocks(text string) []placement.PrefixBlock {
	if text == "" {
		return nil
	}
	parts := make([]placement.PrefixBlock, 0, min(1+strings.Count(text, ","), maxPromptBlocks))
	for field := range strings.SplitSeq(text, ",") {
		id, tokens, named := strings.Cut(strings.TrimSpace(field), ":")
		if !named || id == "" || len(parts) == maxPromptBlocks {
			break
		}
		parts = append(parts, placement.PrefixBlock{ID: id, Tokens: parseCount(tokens)})
	}
	return parts
}
