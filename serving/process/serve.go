package process

import (
	"io"
	stdlog "log"
	"net"
	"net/http"
	"time"
)

// ReadHeaderTimeout bounds the time that a caller takes to send the header of a request.
const ReadHeaderTimeout = 3 * time.Second

// internalIdleTimeout is longer than members keep idle connections, so that the callers close them.
const internalIdleTimeout = time.Minute

// NewInternalServer returns a server for the calls between the system's processes.
func NewInternalServer(handler http.Handler) *http.Server {
	return &http.Server{
		Handler:           handler,
		ReadHeaderTimeout: ReadHeaderTimeout,
		IdleTimeout:       internalIdleTimeout,
	}
}

// Serve serves on the listener, in a goroutine, until the returned server is closed. A server without a time-out for the
// header of a request gets ReadHeaderTimeout.
func Serve(listener net.Listener, server *http.Server) *http.Server {
	if server.ReadHeaderTimeout == 0 {
		server.ReadHeaderTimeout = ReadHeaderTimeout
	}
	server.ErrorLog = stdlog.New(io.Discard, "", 0) // faults of callers don't belong in the log
	go func() { _ = server.Serve(listener) }()      // it ends with Close
	return server
}
