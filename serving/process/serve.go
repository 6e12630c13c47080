package process

import (
	"io"
	stdlog "log"
	"net"
	"net/http"
	"time"
)

// ReadHeaderTimeout limits the time that a client may take to send the header of a request.
const ReadHeaderTimeout = 3 * time.Second

// internalIdleTimeout is longer than the clients' own idle timeout, so that clients close idle connections, not
// servers.
const internalIdleTimeout = time.Minute

// NewInternalServer returns a server for the calls between the system's processes.
func NewInternalServer(handler http.Handler) *http.Server {
	return &http.Server{
		Handler:           handler,
		ReadHeaderTimeout: ReadHeaderTimeout,
		IdleTimeout:       internalIdleTimeout,
	}
}

// Serve serves on the listener, in a goroutine, until the returned server is closed. If the server's ReadHeaderTimeout
// is zero, it is set to the constant of that name.
func Serve(listener net.Listener, server *http.Server) *http.Server {
	if server.ReadHeaderTimeout == 0 {
		server.ReadHeaderTimeout = ReadHeaderTimeout
	}
	server.ErrorLog = stdlog.New(io.Discard, "", 0) // errors caused by clients aren't logged
	go func() { _ = server.Serve(listener) }()      // returns when the server is closed
	return server
}
