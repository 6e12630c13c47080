package discovery

import (
	"bufio"
	"bytes"
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"log/slog"
	"net"
	"strconv"
	"time"

	"github.com/tidwall/gjson"
	"github.com/valyala/fasthttp"

	"rowanlink/webhook/dispatcher/inflight"
	"rowanlink/webhook/refresh"
)

// Run watches until the process ends. A watch lasts until its connection ends, it says nothing for longer
// than it may, or the address is another one; when the next one begins is decided elsewhere.
func (r *Client) Run() {
	names, _ := r.by()
	time.AfterFunc(inflight.Duration(r.asks.StartupDelay(names.PushedLists)), r.begun)
	for why := refresh.Started; ; {
		addr, moved := r.place()
		names, _ := r.by()
		ask := r.asks.Next(why, names.PushedLists)
		select {
		case <-moved: // it was the old address that failed
			why = refresh.AddressChanged
			continue
		case <-time.After(inflight.Duration(ask.Delay)):
		}
		ctx, end := context.WithCancel(context.Background())
		go func() {
			select {
			case <-moved:
				end()
			case <-ctx.Done():
			}
		}()
		err := r.watch(ctx, addr, ask)
		r.begun()
		why = ended(ctx, err)
		slog.Debug("watch ended", "why", err)
		end()
	}
}

// errBroken marks an object that can't be read.
var errBroken = errors.New("list not read")

// ended tells for what reason a watch is over.
func ended(ctx context.Context, err error) refresh.Reason {
	var limited interface{ Timeout() bool }
	switch {
	case ctx.Err() != nil:
		return refresh.AddressChanged
	case errors.As(err, &limited) && limited.Timeout():
		return refresh.TimedOut
	case errors.Is(err, errBroken):
		return refresh.Malformed
	}
	return refresh.Closed
}

func (r *Client) watch(ctx context.Context, addr string, ask refresh.Request) error {
	until := time.Now().Add(inflight.Duration(ask.ResponseTimeout))
	c, err := (&net.Dialer{Timeout: inflight.Duration(ask.ConnectTimeout)}).DialContext(ctx, "tcp", addr)
	if err != nil {
		return err
	}
	defer context.AfterFunc(ctx, func() { c.Close() })()
	defer c.Close()
	req, resp := fasthttp.AcquireRequest(), fasthttp.AcquireResponse()
	defer fasthttp.ReleaseRequest(req)
	req.Header.SetHost(addr)
	req.SetRequestURI("/registry/instances?follow=1&since=" + strconv.FormatInt(r.generation, 10))
	live := &alive{Conn: c, until: until, silence: inflight.Duration(ask.IdleTimeout)}
	in, out := bufio.NewReader(live), bufio.NewWriter(c)
	if err := req.Write(out); err != nil {
		return err
	}
	if err := out.Flush(); err != nil {
		return err
	}
	resp.StreamBody = true
	if err := resp.Read(in); err != nil {
		return err
	}
	if resp.StatusCode() != fasthttp.StatusOK {
		return fmt.Errorf("answered %d", resp.StatusCode())
	}
	live.until = time.Time{}
	return r.read(ctx, resp.BodyStream())
}

// read takes object after object, however they are laid out, until one can't be read or the stream ends. A
// change may be missed with it: the next watch starts from the last one that was read.
func (r *Client) read(ctx context.Context, body io.Reader) error {
	for {
		in := &one{in: body, most: r.most, blank: r.heard}
		// One for each object: it keeps room for the largest it has read.
		from := json.NewDecoder(in)
		var list object
		err := from.Decode(&list)
		if err != nil && (in.size == 0 || ctx.Err() != nil) {
			return err
		}
		if err == nil {
			var rest []byte
			rest, err = io.ReadAll(from.Buffered())
			body = io.MultiReader(bytes.NewReader(rest), body)
		}
		if err == nil {
			err = r.LoadStored(list.Result)
		}
		if err != nil {
			r.broken()
			slog.Warn("list not read, the last one holds", "bytes", in.size, "why", err)
			return fmt.Errorf("%w: %w", errBroken, err)
		}
		r.heard()
	}
}

// heard notes a sign of life.
func (r *Client) heard() {
	r.asks.RecordActivity()
	r.begun()
}

// object is one as it came, copied once.
type object struct{ gjson.Result }

func (o *object) UnmarshalJSON(raw []byte) error {
	o.Result = gjson.ParseBytes(raw)
	return nil
}

// one reads as far as one object needs, without the blanks before it: they come all day, and would pile up in
// what reads from here.
type one struct {
	in         io.Reader
	size, most int
	blank      func()
}

func (o *one) Read(p []byte) (int, error) {
	if o.size >= o.most {
		return 0, fmt.Errorf("a list of over %d bytes", o.most)
	}
	n, err := o.in.Read(p[:min(len(p), o.most-o.size)])
	if o.size == 0 {
		came := n
		if n = copy(p, bytes.TrimLeft(p[:n], " \t\r\n")); n < came {
			o.blank()
		}
	}
	o.size += n
	return n, err
}

// alive gives the answer its time, afterwards each read the time in which a watch must have said something.
type alive struct {
	net.Conn
	until   time.Time // for the answer's head
	silence time.Duration
}

func (a *alive) Read(p []byte) (int, error) {
	until := a.until
	if until.IsZero() {
		until = time.Now().Add(a.silence)
	}
	if err := a.SetReadDeadline(until); err != nil {
		return 0, err
	}
	return a.Conn.Read(p)
}
