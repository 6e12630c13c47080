package httpserver

import (
	"bufio"
	"io"
	"net/http"
	"strings"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"rowanlink/serving/routing"
)

// FuzzRequestHeaders: whatever headers a client sends, the deadline is not before the request's arrival and not after
// the route's timeout, and sums of token counts don't overflow.
func FuzzRequestHeaders(f *testing.F) {
	f.Add("5000", "1460,80", "5c1e07a2:800,91bd3f06:410,e4402b7d:250")
	f.Add("-1", "-3,9223372036854775807", "a:9223372036854775807,b:9223372036854775807")
	f.Add("1e400", "9223372036854775807,1", ":,:1,a")
	f.Add("NaN", "", "a:1,,b:2")
	f.Fuzz(func(t *testing.T, timeLeft, tokens, prompt string) {
		header := http.Header{}
		header.Set(headerTimeLeft, timeLeft)
		header.Set(headerTokens, tokens)
		header.Set(headerPrompt, prompt)
		arrived := time.Unix(1_000_000, 0)
		for _, timeout := range []time.Duration{0, time.Second, time.Hour} {
			limit := timeout
			if timeout == 0 {
				limit = defaultTimeout
			}
			end := deadline(arrived, header, timeout)
			assert.False(t, end.Before(arrived), "the deadline is before the arrival")
			assert.False(t, end.After(arrived.Add(limit)), "the deadline is after the route's timeout")
		}
		read := placementRequest(&routing.Route{}, header)
		sum := 0
		for _, block := range read.Blocks {
			assert.NotEmpty(t, block.ID)
			assert.GreaterOrEqual(t, block.Tokens, 0)
			sum += block.Tokens
			require.GreaterOrEqual(t, sum, 0, "the sum of the blocks overflows")
		}
		assert.LessOrEqual(t, len(read.Blocks), maxPromptBlocks)
		assert.GreaterOrEqual(t, read.PromptTokens, 0)
		assert.GreaterOrEqual(t, read.MaxOutputTokens, 0)
		assert.GreaterOrEqual(t, sum+read.PromptTokens+read.MaxOutputTokens, 0, "the total overflows")
	})
}

// FuzzRequestTarget: the request target sent to the endpoint is what follows the host in the URL that the client sent.
func FuzzRequestTarget(f *testing.F) {
	for _, uri := range []string{"/a/b?c=d", "http://x.example/a?b", "http://x.example?b", "*", "http://x//a", "//a/b"} {
		f.Add(uri)
	}
	f.Fuzz(func(t *testing.T, uri string) {
		if strings.ContainsAny(uri, " \r\n\t") {
			return
		}
		request, err := http.ReadRequest(bufio.NewReader(strings.NewReader(
			"POST " + uri + " HTTP/1.1\r\nHost: x.example\r\n\r\n")))
		if err != nil {
			return
		}
		sent := requestTarget(request)
		assert.True(t, strings.HasSuffix(uri, strings.TrimPrefix(sent, "/")), "%q of %q", sent, uri)
		assert.False(t, strings.HasPrefix(uri, "/") && sent != uri, "%q of %q", sent, uri)
		assert.True(t, strings.HasPrefix(sent, pathOfTarget(sent)))
	})
}

// splitEventsNaively splits a stream line by line: an event ends with a blank line that follows another line.
func splitEventsNaively(text string) (events []string, rest string) {
	event, started := "", false
	for line := range strings.Lines(text) {
		event += line
		content, ended := strings.CutSuffix(line, "\n")
		switch blank := ended && (content == "" || content == "\r"); {
		case blank && started:
			events = append(events, event)
			event = ""
			started = false
		case ended:
			started = true
		}
	}
	return events, event
}

// dropBlankLines removes surplus blank lines between events. They have no meaning, and how the bytes arrive decides
// which event they are returned with.
func dropBlankLines(events []string) (remaining []string) {
	for _, event := range events {
		if event = strings.TrimLeft(event, "\r\n"); event != "" {
			remaining = append(remaining, event)
		}
	}
	return remaining
}

// FuzzEventReader: however the bytes are split when they arrive, none is lost, added or returned before its event is
// complete, and the events are those that splitEventsNaively finds.
func FuzzEventReader(f *testing.F) {
	f.Add("id: 1\ndata: x\n\nid: 2\r\ndata: y\r\n\r\nhalf", []byte{1, 2, 3}, true)
	f.Add("\n\n\r\n\n: c\n\n", []byte{7}, false)
	f.Add("\r\r\n\r\n\n\r\r\n", []byte{1}, true)
	f.Add(strings.Repeat("data: long\n", 900)+"\n\n", []byte{255}, true)
	f.Fuzz(func(t *testing.T, text string, sizes []byte, clean bool) {
		end := io.ErrUnexpectedEOF
		if clean {
			end = io.EOF
		}
		var chunkSizes []int
		for _, size := range sizes {
			chunkSizes = append(chunkSizes, 1+int(size))
		}
		reader := newEventReader(&chunkedReader{text: text, sizes: chunkSizes, err: end})
		var got []string
		rest := ""
		for {
			events, err := reader.Next()
			if err != nil {
				require.Equal(t, end, err)
				rest = string(events)
				break
			}
			require.NotEmpty(t, events)
			forEachEvent(events, func(event []byte) { got = append(got, string(event)) })
		}
		want, left := splitEventsNaively(text)
		assert.Equal(t, dropBlankLines(want), dropBlankLines(got))
		assert.True(t, strings.HasPrefix(text, strings.Join(got, "")))
		if clean {
			assert.Equal(t, text, strings.Join(got, "")+rest)
			assert.Equal(t, strings.TrimLeft(left, "\r\n"), strings.TrimLeft(rest, "\r\n"))
		} else {
			assert.Empty(t, rest)
		}
		for _, event := range got {
			id, found := eventID([]byte(event))
			assert.False(t, !found && id != "")
			assert.NotContains(t, id, "\n")
		}
	})
}
