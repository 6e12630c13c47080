package httpserver

import (
	"errors"
	"io"
	"strings"
	"testing"
	"testing/iotest"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"
)

// chunkedReader returns a text in chunks of the given sizes, then the rest at once, then an error.
type chunkedReader struct {
	text  string
	sizes []int
	err   error
}

func (c *chunkedReader) Read(p []byte) (int, error) {
	if c.text == "" {
		return 0, c.err
	}
	size := len(c.text)
	if len(c.sizes) > 0 {
		size, c.sizes = c.sizes[0], c.sizes[1:]
	}
	n := copy(p, c.text[:min(size, len(c.text))])
	c.text = c.text[n:]
	return n, nil
}

// TestEventReader_Property: however the bytes are split when they arrive, they are returned in order and split only
// after blank lines. If the source ends cleanly, none is missing.
func TestEventReader_Property(t *testing.T) {
	rapid.Check(t, func(draw *rapid.T) {
		line := rapid.SampledFrom([]string{"data: x\n", "id: 7\r\n", "\n", "\r\n", ": c\n", "versions: 3\n", "\rdata\n"})
		text := strings.Join(rapid.SliceOf(line).Draw(draw, "lines"), "")
		text += rapid.SampledFrom([]string{"", "data: half", "\r"}).Draw(draw, "tail")
		sizes := rapid.SliceOf(rapid.IntRange(1, 9)).Draw(draw, "sizes")
		broken := errors.New("broken")
		end := rapid.SampledFrom([]error{io.EOF, broken}).Draw(draw, "end")
		reader := newEventReader(&chunkedReader{text: text, sizes: sizes, err: end})
		got := ""
		for {
			events, err := reader.Next()
			got += string(events)
			if err != nil {
				assert.Equal(draw, end, err)
				break
			}
			if end := firstEventEnd(events); end == len(events) && !strings.HasSuffix(strings.ReplaceAll(string(events), "\r", ""), "\n\n") {
				draw.Fatalf("split inside an event: %q", events)
			}
		}
		if errors.Is(end, io.EOF) {
			assert.Equal(draw, text, got)
		} else {
			assert.True(draw, strings.HasPrefix(text, got))
			assert.LessOrEqual(draw, firstEventEnd([]byte(text[len(got):])), len(text)-len(got))
		}
	})
}

func TestEventReader_LongEvents(t *testing.T) {
	event := "data: " + strings.Repeat("x", 100_000) + "\n\n"
	reader := newEventReader(iotest.HalfReader(strings.NewReader(event + event)))
	all := ""
	for {
		events, err := reader.Next()
		all += string(events)
		if err != nil {
			require.Equal(t, io.EOF, err)
			break
		}
	}
	assert.Equal(t, event+event, all)

	endless := newEventReader(strings.NewReader(strings.Repeat("x", 2*maxEventSize)))
	_, err := endless.Next()
	assert.ErrorIs(t, err, errEventTooLong)
}

func TestEventID(t *testing.T) {
	for event, want := range map[string]string{
		"id: 5\ndata: x\n\n": "5", "versions: 2\nid:6\r\ndata: id: 9\n\n": "6", "data: x\n\n": "none", "id\n\n": "",
	} {
		id, found := eventID([]byte(event))
		if want == "none" {
			assert.False(t, found)
			continue
		}
		assert.True(t, found)
		assert.Equal(t, want, id)
	}
	id, found := findLastEventID([]byte("id: 1\n\nid: 2\n\ndata: x\n\n"))
	assert.True(t, found)
	assert.Equal(t, "2", id)
}
