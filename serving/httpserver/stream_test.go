package httpserver

import (
	"bufio"
	"context"
	"fmt"
	"io"
	"net/http"
	"strconv"
	"strings"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"

	"rowanlink/serving/attempt"
	"rowanlink/serving/routing"
)

const streamHead = okHead + "Content-Type: text/event-stream\r\nTransfer-Encoding: chunked\r\n\r\n"

func contextWithCancel() (context.Context, context.CancelFunc) {
	return context.WithCancel(context.Background())
}

func chunk(text string) string { return fmt.Sprintf("%x\r\n%s\r\n", len(text), text) }

const lastChunk = "0\r\n\r\n"

// oneEvent is event number n; every third one names a version first.
func oneEvent(n int) string {
	version := ""
	if n%3 == 0 {
		version = "versions: 2\n"
	}
	return fmt.Sprintf("%sid: %d\ndata: piece %d\n\n", version, n, n)
}

func eventsFrom(first, last int) (text string) {
	for n := first; n <= last; n++ {
		text += oneEvent(n)
	}
	return text
}

func TestStreamIsPassedEventByEvent(t *testing.T) {
	next := make(chan string)
	r := newRig(t, func(p *peer) {
		request := p.request()
		if request.Header.Get("Priority") != "2" {
			return
		}
		p.say(streamHead)
		for text := range next {
			p.say(text)
		}
		p.awaitEnd()
	})
	go func() {
		next <- chunk(oneEvent(1)[:5])
		next <- chunk(oneEvent(1)[5:])
	}()
	response, err := r.client.Do(r.request("/chat/x", ""))
	require.NoError(t, err)
	defer response.Body.Close()
	assert.Equal(t, "text/event-stream", response.Header.Get("Content-Type"))
	body := bufio.NewReader(response.Body)
	for n := 1; n <= 5; n++ { // each one is had before the next one is sent
		got := ""
		for !strings.HasSuffix(got, "\n\n") {
			line, err := body.ReadString('\n')
			require.NoError(t, err)
			got += line
		}
		assert.Equal(t, oneEvent(n), got)
		if n < 5 {
			next <- chunk(oneEvent(n + 1))
		}
	}
	next <- lastChunk
	close(next)
	_, err = body.ReadByte()
	assert.EqualError(t, err, "EOF")
}

func TestClientsOwnPlaceInAStream(t *testing.T) {
	r := newRig(t, func(p *peer) {
		request := p.request()
		last, _ := strconv.Atoi(request.Header.Get("Last-Event-Id"))
		p.say(streamHead + chunk(eventsFrom(last+1, 6)) + lastChunk)
	})
	request := r.request("/chat/x", "")
	request.Header.Set("Last-Event-Id", "4")
	assert.Equal(t, eventsFrom(5, 6), r.do(request).body)
}

func TestStreamThatMayNotBeTakenUp(t *testing.T) {
	r := newRig(t, breaks(streamHead+chunk(oneEvent(1)+"id: 2\n")), says(okAnswer))
	a := r.do(r.request("/draft/x", ""))
	assert.Equal(t, 200, a.status)
	assert.Equal(t, oneEvent(1), a.body)
	assert.False(t, a.whole)
	assert.Equal(t, []attempt.Outcome{attempt.Broken}, r.placer.ended())

	r = newRig(t, breaks(streamHead+chunk("id: 1\n")), says(okAnswer))
	assert.Equal(t, 502, r.do(r.request("/draft/x", "")).status, "nothing of it was passed on")
}

func TestStreamTakenUpNowhere(t *testing.T) {
	for name, second := range map[string]func(*peer){
		"full": says(fullAnswer), "own error": says(errAnswer), "no stream": says(okAnswer), "break": breaks(""),
	} {
		t.Run(name, func(t *testing.T) {
			r := newRig(t, breaks(streamHead+chunk(oneEvent(1))), second)
			a := r.do(r.request("/chat/x", ""))
			assert.Equal(t, oneEvent(1), a.body)
			assert.False(t, a.whole)
		})
	}
}

func TestStreamThatPausesIsTakenUpElsewhere(t *testing.T) {
	r := newRig(t, func(p *peer) {
		p.request()
		p.say(streamHead + chunk(eventsFrom(1, 2)))
		p.awaitEnd()
	}, resuming(t, 5))
	a := r.do(r.request("/chat/x", ""))
	assert.Equal(t, eventsFrom(1, 5), a.body)
	assert.True(t, a.whole)
	assert.Equal(t, []attempt.Outcome{attempt.TimedOut, attempt.Succeeded}, r.placer.ended())
}

// TestStreamWithoutType is not held back, and its connection is kept as long as the endpoint says.
func TestStreamWithoutType(t *testing.T) {
	next := make(chan string)
	r := newRig(t, func(p *peer) {
		for p.request() != nil {
			p.say(okHead + "Keep-Alive: timeout=0\r\nTransfer-Encoding: chunked\r\n\r\n" + chunk(oneEvent(1)))
			p.say(<-next)
		}
	})
	response, err := r.client.Do(r.request("/draft/x", ""))
	require.NoError(t, err)
	defer response.Body.Close()
	first := make([]byte, len(oneEvent(1)))
	_, err = io.ReadFull(response.Body, first)
	require.NoError(t, err)
	assert.Equal(t, oneEvent(1), string(first))
	next <- lastChunk
	_, err = response.Body.Read(first)
	assert.Equal(t, io.EOF, err)
	assert.Zero(t, r.server.options.Pool.Open())
}

func TestPatience(t *testing.T) {
	route := &routing.Route{LatencyTarget: 800 * time.Millisecond, GapTarget: 400 * time.Millisecond}
	model, plain := &routing.Service{Engine: &routing.Engine{}}, &routing.Service{}
	assert.Equal(t, 1600*time.Millisecond, firstByteTimeout(route, model, 200*time.Millisecond))
	assert.Equal(t, 3*time.Second, firstByteTimeout(route, model, time.Second))
	assert.Equal(t, 400*time.Millisecond, firstByteTimeout(route, plain, 0))
	assert.Equal(t, minFirstByteTimeout, firstByteTimeout(&routing.Route{}, nil, 0))
	assert.Zero(t, streamIdleTimeout(route))
	route.Resumable = true
	assert.Equal(t, 800*time.Millisecond, streamIdleTimeout(route))
	assert.Equal(t, defaultStreamIdleTimeout, streamIdleTimeout(&routing.Route{Resumable: true}))
}

// resuming is a script that goes on after the last event that the request names.
func resuming(t *testing.T, last int) func(*peer) {
	return func(p *peer) {
		request := p.request()
		after, err := strconv.Atoi(request.Header.Get("Last-Event-Id"))
		assert.NoError(t, err)
		p.say(strings.Replace(streamHead, "s1", "s2", 1) + chunk(eventsFrom(after+1, last)) + lastChunk)
	}
}

// faultyRun is one endpoint's run of a stream that breaks off at a drawn byte.
type faultyRun struct {
	point  int // bytes of events that are sent
	pieces int // chunks that they are sent in
	back   int // events before the place asked for that it begins with
	reset  bool
	clean  bool // it doesn't break off
}

// script plays the run. It must not draw anything: it runs on another goroutine.
func (f faultyRun) script(total int) func(*peer) {
	return func(p *peer) {
		request := p.request()
		after, _ := strconv.Atoi(request.Header.Get("Last-Event-Id"))
		text := eventsFrom(max(after+1-f.back, 1), total)
		if !f.clean {
			text = text[:min(f.point, len(text))]
		}
		p.say(streamHead)
		for size := max(len(text)/max(f.pieces, 1), 1); len(text) > 0; {
			cut := min(size, len(text))
			p.say(chunk(text[:cut]))
			text = text[cut:]
		}
		if f.clean {
			p.say(lastChunk)
		} else if f.reset {
			p.reset()
		}
	}
}

// TestResumeProperty: whatever breaks off where, a client gets each event once, in order and whole; the answer looks
// complete only if it is.
func TestResumeProperty(t *testing.T) {
	rapid.Check(t, func(draw *rapid.T) {
		total := rapid.IntRange(1, 12).Draw(draw, "events")
		var scripts []func(*peer)
		clean := false
		for range rapid.IntRange(1, 6).Draw(draw, "runs") {
			run := faultyRun{
				point:  rapid.IntRange(0, 40*total).Draw(draw, "point"),
				pieces: rapid.IntRange(1, 20).Draw(draw, "pieces"),
				back:   rapid.IntRange(0, 3).Draw(draw, "back"),
				reset:  rapid.Bool().Draw(draw, "reset"),
				clean:  rapid.IntRange(0, 3).Draw(draw, "clean") == 0,
			}
			clean = clean || run.clean
			scripts = append(scripts, run.script(total))
		}
		r := newRig(t, scripts...)
		a := r.do(r.request("/chat/x", ""))
		whole := eventsFrom(1, total)
		if clean {
			if a.status != http.StatusOK || a.body != whole || !a.whole {
				draw.Fatalf("want all of %d events, got %d %t %q", total, a.status, a.whole, a.body)
			}
			return
		}
		if a.status == http.StatusOK {
			if a.whole {
				draw.Fatalf("looks complete: %q", a.body)
			}
			if !strings.HasPrefix(whole, a.body) || a.body != "" && !strings.HasSuffix(a.body, "\n\n") {
				draw.Fatalf("not a series of whole events: %q", a.body)
			}
		}
	})
}

// TestStreamWithoutIDsIsNotTakenUp: there is no place to go on from, so that another run would join pieces of two.
func TestStreamWithoutIDsIsNotTakenUp(t *testing.T) {
	const event = "data: piece\n\n"
	r := newRig(t, breaks(streamHead+chunk(event)), says(streamHead+chunk(event+event)+lastChunk))
	a := r.do(r.request("/chat/x", ""))
	assert.Equal(t, event, a.body)
	assert.False(t, a.whole)
	assert.Equal(t, []attempt.Outcome{attempt.Broken}, r.placer.ended())
}
