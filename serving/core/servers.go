package core

import (
	"context"
	"io"
	stdlog "log"
	"net"
	"net/http"
	"time"

	"rowanlink/serving/errcode"
	"rowanlink/serving/process"
	"rowanlink/serving/settings"
)

const (
	// readHeaderTimeout bounds the time that a caller takes to send the header of a call.
	readHeaderTimeout = 3 * time.Second
	// innerIdleTimeout is longer than members keep idle connections, so that the callers close them.
	innerIdleTimeout = time.Minute
)

// listeners are the two listeners of a core process.
type listeners struct {
	inner   net.Listener // calls between the system's processes
	control net.Listener // calls of operators and endpoints
}

// listenAll opens both listeners. Errors are errcode.CoreAddressInUse.
func listenAll(ctx context.Context, process *settings.Process) (listeners, error) {
	inner, err := listen(ctx, process.InternalAddress())
	if err != nil {
		return listeners{}, err
	}
	control, err := listen(ctx, process.Bind.Control)
	if err != nil {
		_ = inner.Close()
		return listeners{}, err
	}
	return listeners{inner: inner, control: control}, nil
}

func listen(ctx context.Context, address string) (net.Listener, error) {
	listener, err := process.Listen(ctx, address)
	if err != nil {
		return nil, errcode.CoreAddressInUse.With("%s: %v", address, err)
	}
	return listener, nil
}

func newInnerServer(handler http.Handler) *http.Server {
	return &http.Server{
		Handler:           handler,
		ReadHeaderTimeout: readHeaderTimeout,
		IdleTimeout:       innerIdleTimeout,
	}
}

// serve runs a server on a listener until the server is closed.
func serve(listener net.Listener, server *http.Server) *http.Server {
	server.ErrorLog = stdlog.New(io.Discard, "", 0) // faults of callers aren't logged
	go func() { _ = server.Serve(listener) }()
	return server
}
