package endpoint

import (
	"context"
	"fmt"
	"net/http"
	"strconv"
	"time"

	"rowanlink/internal/ctxsleep"
)

// respondStream responds with a stream of events, whose IDs rise from 1 or from the one after the client's last one.
// Each holds some tokens.
func (c *call) respondStream(ctx context.Context) {
	engine := c.endpoint.options.Engine
	missing := c.endpoint.kvCache.prefill(c.request.Header.Get(headerModel), c.prompt)
	c.report(Started, missing)
	reading := time.Duration(float64(missing) / engine.PrefillRate * float64(time.Millisecond))
	if !c.simulateWork(ctx, reading) {
		c.abandon()
		return
	}
	c.writer.Header().Set(headerContentType, typeStream)
	c.setStamp()
	events := (c.tokens + engine.TokensPerEvent - 1) / engine.TokensPerEvent
	for id := c.firstEventID(); id <= events; id++ {
		if !c.simulateWork(ctx, engine.DecodeStep*time.Duration(engine.TokensPerEvent)) || !c.sendEvent(id) {
			c.report(Abandoned, 0)
			panic(http.ErrAbortHandler) // a broken stream must not look complete
		}
	}
	c.report(Completed, 0)
}

// firstEventID returns the ID of the first event.
func (c *call) firstEventID() int {
	last, err := strconv.Atoi(c.request.Header.Get(headerLastEvent))
	if err != nil {
		return 1
	}
	return last + 1
}

// simulateWork sleeps as long as some work takes beside the requests that run now.
func (c *call) simulateWork(ctx context.Context, alone time.Duration) bool {
	running, _ := c.endpoint.slots.counts()
	share := 1 + float64(running)/float64(c.endpoint.options.Slots)
	slowness := c.endpoint.warmup.slowdown(time.Now())
	return ctxsleep.Sleep(ctx, time.Duration(float64(alone)*share*slowness))
}

// sendEvent sends one event. It returns false if the caller has disconnected.
func (c *call) sendEvent(id int) bool {
	if _, err := fmt.Fprintf(c.writer, "id: %d\ndata: piece %d\n\n", id, id); err != nil {
		return false
	}
	return http.NewResponseController(c.writer).Flush() == nil
}
