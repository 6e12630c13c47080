package transport

import (
	"context"
	"errors"
	"net"
	"time"

	"github.com/valyala/fasthttp"

	"rowanlink/cluster"
)

const saidBy = "Said-By"

// Server hears what other members say.
type Server struct {
	http  fasthttp.Server
	paths map[string]func(*fasthttp.RequestCtx)
}

// Hears makes a Server for so many connections at most. A message that has begun must be whole within the
// span, and its answer read.
func Hears(most int, within time.Duration) *Server {
	s := &Server{paths: map[string]func(*fasthttp.RequestCtx){}}
	s.http = fasthttp.Server{
		Handler: s.hear, Name: "rowanfleet", MaxRequestBodySize: MostBody, Concurrency: most,
		ReadTimeout: within, WriteTimeout: within, IdleTimeout: 3 * idleFor / 2, ReduceMemoryUsage: true,
		DisablePreParseMultipartForm: true, NoDefaultContentType: true, NoDefaultDate: true,
		CloseOnShutdown: true, Logger: quiet{}, SecureErrorLogMessage: true,
	}
	return s
}

// Handle has a path's messages answered by h; before Serve only.
func (s *Server) Handle(path string, h func(ctx *fasthttp.RequestCtx)) { s.paths[path] = h }

// Serve hears until Close.
func (s *Server) Serve(on net.Listener) error { return s.http.Serve(on) }

// Close ends it; those that are heard now are answered, if that takes no longer.
func (s *Server) Close(within time.Duration) error {
	ctx, cancel := context.WithTimeout(context.Background(), within)
	defer cancel()
	return s.http.ShutdownWithContext(ctx)
}

// From is who said a message, by its own word.
func From(ctx *fasthttp.RequestCtx) cluster.MemberID {
	return cluster.MemberID(ctx.Request.Header.Peek(saidBy))
}

func (s *Server) hear(ctx *fasthttp.RequestCtx) {
	h := s.paths[string(ctx.Path())]
	if h == nil {
		ctx.SetStatusCode(fasthttp.StatusNotFound)
		return
	}
	body, err := unpack(ctx.Request.Body(), string(ctx.Request.Header.Peek(packedBy)))
	if err != nil {
		code := fasthttp.StatusBadRequest
		if errors.Is(err, errTooLarge) {
			code = fasthttp.StatusRequestEntityTooLarge
		}
		ctx.Error(err.Error(), code)
		return
	}
	if len(ctx.Request.Header.Peek(packedBy)) > 0 {
		ctx.Request.Header.Del(packedBy)
		ctx.Request.SetBodyRaw(body) // never its own body: that goes back to the pool while it is read
	}
	h(ctx)
	if packed, smaller := pack(ctx.Response.Body()); smaller {
		ctx.Response.Header.Set(packedBy, packedAsS2)
		ctx.Response.SetBodyRaw(packed)
	}
}

// quiet guards against a log line for each connection that ends.
type quiet struct{}

func (quiet) Printf(string, ...any) {}
