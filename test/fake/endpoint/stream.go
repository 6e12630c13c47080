package endpoint

import (
	"context"
	"fmt"
	"net/http"
	"strconv"
	"time"

	"rowanlink/internal/ctxsleep"
)

// stream answers with a series of events whose ids rise from 1, or from the one after that at which the client takes
// it up. Each holds some tokens.
func (c *call) stream(ctx context.Context) {
	engine := c.endpoint.options.Engine
	missing := c.endpoint.memory.read(c.request.Header.Get(headerModel), c.prompt)
	c.note(Began, missing)
	reading := time.Duration(float64(missing) / engine.ReadRate * float64(time.Millisecond))
	if !c.work(ctx, reading) {
		c.breakOff()
		return
	}
	c.writer.Header().Set(headerContentType, typeStream)
	c.stamp()
	events := (c.tokens + engine.Stride - 1) / engine.Stride
	for id := c.firstEvent(); id <= events; id++ {
		if !c.work(ctx, engine.Step*time.Duration(engine.Stride)) || !c.send(id) {
			c.note(Abandoned, 0)
			panic(http.ErrAbortHandler) // what breaks off must not look complete
		}
	}
	c.note(Done, 0)
}

// firstEvent is the id with which the answer begins.
func (c *call) firstEvent() int {
	last, err := strconv.Atoi(c.request.Header.Get(headerLastEvent))
	if err != nil {
		return 1
	}
	return last + 1
}

// work takes as long as some work does beside the requests that run now.
func (c *call) work(ctx context.Context, alone time.Duration) bool {
	running, _ := c.endpoint.slots.counts()
	share := 1 + float64(running)/float64(c.endpoint.options.Slots)
	slowness := c.endpoint.cold.slowness(time.Now())
	return ctxsleep.Sleep(ctx, time.Duration(float64(alone)*share*slowness))
}

// send sends one event; false: the caller has left.
func (c *call) send(id int) bool {
	if _, err := fmt.Fprintf(c.writer, "id: %d\ndata: piece %d\n\n", id, id); err != nil {
		return false
	}
	return http.NewResponseController(c.writer).Flush() == nil
}
