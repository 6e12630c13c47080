package transport

import (
	"context"
	"errors"
	"net"
	"time"

	"github.com/valyala/fasthttp"

	"rowanlink/cluster"
)

// senderHeader holds the id of the member that sends a request.
const senderHeader = "Said-By"

// serverName is the value of the Server header.
const serverName = "rowanfleet"

// Server serves the requests of other members.
type Server struct {
	http     fasthttp.Server
	handlers map[string]fasthttp.RequestHandler
}

// NewServer returns a server for at most maxConns connections. The time-out applies to receiving a request completely once
// it has begun, and to writing its response.
func NewServer(maxConns int, timeout time.Duration) *Server {
	s := &Server{handlers: map[string]fasthttp.RequestHandler{}}
	s.http = fasthttp.Server{
		Handler:                      s.serve,
		Name:                         serverName,
		MaxRequestBodySize:           MaxMessageSize,
		Concurrency:                  maxConns,
		ReadTimeout:                  timeout,
		WriteTimeout:                 timeout,
		IdleTimeout:                  3 * maxIdleDuration / 2, // the client closes idle connections first
		ReduceMemoryUsage:            true,
		DisablePreParseMultipartForm: true,
		NoDefaultContentType:         true,
		NoDefaultDate:                true,
		CloseOnShutdown:              true,
		Logger:                       discardLogger{},
		SecureErrorLogMessage:        true,
	}
	return s
}

// Handle registers the handler of a path. It must not be called after Serve.
func (s *Server) Handle(path string, handler fasthttp.RequestHandler) { s.handlers[path] = handler }

// Serve accepts connections until Close is called.
func (s *Server) Serve(listener net.Listener) error { return s.http.Serve(listener) }

// Close stops the server. It waits for the requests that are being handled, up to the time-out.
func (s *Server) Close(timeout time.Duration) error {
	ctx, cancel := context.WithTimeout(context.Background(), timeout)
	defer cancel()
	return s.http.ShutdownWithContext(ctx)
}

// Sender returns the member that a request names as its sender. The name is not authenticated.
func Sender(ctx *fasthttp.RequestCtx) cluster.MemberID {
	return cluster.MemberID(ctx.Request.Header.Peek(senderHeader))
}

// serve decompresses a request, calls the handler of its path and compresses the response.
func (s *Server) serve(ctx *fasthttp.RequestCtx) {
	handler := s.handlers[string(ctx.Path())]
	if handler == nil {
		ctx.SetStatusCode(fasthttp.StatusNotFound)
		return
	}
	if err := decompressRequest(&ctx.Request); err != nil {
		status := fasthttp.StatusBadRequest
		if errors.Is(err, errMessageTooLarge) {
			status = fasthttp.StatusRequestEntityTooLarge
		}
		ctx.Error(err.Error(), status)
		return
	}
	handler(ctx)
	if compressed, isSmaller := compress(ctx.Response.Body()); isSmaller {
		ctx.Response.Header.Set(compressionHeader, compressionS2)
		ctx.Response.SetBodyRaw(compressed)
	}
}

func decompressRequest(request *fasthttp.Request) error {
	compression := string(request.Header.Peek(compressionHeader))
	body, err := decompress(request.Body(), compression)
	if err != nil {
		return err
	}
	if compression != "" {
		request.Header.Del(compressionHeader)
		// This is only done with a new body: SetBodyRaw returns the request's body buffer to a pool, so that setting that
		// buffer again would let another request overwrite it while the handler reads it.
		request.SetBodyRaw(body)
	}
	return nil
}

// discardLogger drops fasthttp's log messages, which it writes for every failed connection.
type discardLogger struct{}

// Printf does nothing.
func (discardLogger) Printf(string, ...any) {}
