package transport

import (
	"context"
	"errors"
	"net"
	"time"

	"github.com/valyala/fasthttp"

	"rowanlink/cluster"
)

const senderHeader = "Said-By"

// Server hears what other members say.
type Server struct {
	http     fasthttp.Server
	handlers map[string]func(*fasthttp.RequestCtx)
}

// NewServer makes a Server for so many connections at most. A message that has begun must be whole within the
// span, and its answer read.
func NewServer(most int, within time.Duration) *Server {
	s := &Server{handlers: map[string]func(*fasthttp.RequestCtx){}}
	s.http = fasthttp.Server{
		Handler: s.serve, Name: "rowanfleet", MaxRequestBodySize: MaxMessageSize, Concurrency: most,
		ReadTimeout: within, WriteTimeout: within, IdleTimeout: 3 * maxIdleDuration / 2, ReduceMemoryUsage: true,
		DisablePreParseMultipartForm: true, NoDefaultContentType: true, NoDefaultDate: true,
		CloseOnShutdown: true, Logger: discardLogger{}, SecureErrorLogMessage: true,
	}
	return s
}

// Handle has a path's messages answered by h; before Serve only.
func (s *Server) Handle(path string, h func(ctx *fasthttp.RequestCtx)) { s.handlers[path] = h }

// Serve hears until Close.
func (s *Server) Serve(on net.Listener) error { return s.http.Serve(on) }

// Close ends it; those that are heard now are answered, if that takes no longer.
func (s *Server) Close(within time.Duration) error {
	ctx, cancel := context.WithTimeout(context.Background(), within)
	defer cancel()
	return s.http.ShutdownWithContext(ctx)
}

// Sender is who said a message, by its own word.
func Sender(ctx *fasthttp.RequestCtx) cluster.MemberID {
	return cluster.MemberID(ctx.Request.Header.Peek(senderHeader))
}

func (s *Server) serve(ctx *fasthttp.RequestCtx) {
	h := s.handlers[string(ctx.Path())]
	if h == nil {
		ctx.SetStatusCode(fasthttp.StatusNotFound)
		return
	}
	body, err := decompress(ctx.Request.Body(), string(ctx.Request.Header.Peek(compressionHeader)))
	if err != nil {
		code := fasthttp.StatusBadRequest
		if errors.Is(err, errMessageTooLarge) {
			code = fasthttp.StatusRequestEntityTooLarge
		}
		ctx.Error(err.Error(), code)
		return
	}
	if len(ctx.Request.Header.Peek(compressionHeader)) > 0 {
		ctx.Request.Header.Del(compressionHeader)
		ctx.Request.SetBodyRaw(body) // never its own body: that goes back to the pool while it is read
	}
	h(ctx)
	if packed, smaller := compress(ctx.Response.Body()); smaller {
		ctx.Response.Header.Set(compressionHeader, compressionS2)
		ctx.Response.SetBodyRaw(packed)
	}
}

// discardLogger guards against a log line for each connection that ends.
type discardLogger struct{}

func (discardLogger) Printf(string, ...any) {}
