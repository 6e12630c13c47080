package agent

import (
	"context"
	"net"
	"time"

	"rowanlink/serving/errcode"
	"rowanlink/serving/process"
	"rowanlink/serving/settings"
)

const (
	// lookupIdleTimeout is how long an idle connection of a client is kept open. It is longer than clients cache an answer,
	// so that the next look-up reuses the connection.
	lookupIdleTimeout = 15 * time.Second
	// maxLookupHeaderBytes bounds the header of a look-up.
	maxLookupHeaderBytes = 8 << 10
)

// listeners are the sockets that an agent listens on.
type listeners struct {
	internal     net.Listener // calls of other members
	subscription net.Listener // polls of the proxy, on loopback
	directory    net.Listener // look-ups of clients; nil if the settings have no address for it
}

// listenOnAll opens all listeners. If one can't be opened it closes the others and returns errcode.AgentAddressInUse.
func listenOnAll(ctx context.Context, processSettings *settings.Process) (all listeners, err error) {
	for _, each := range []struct {
		listener *net.Listener
		address  string
	}{
		{&all.internal, processSettings.InternalAddress()},
		{&all.subscription, processSettings.SubscriptionAddress()},
		{&all.directory, processSettings.Bind.Directory},
	} {
		if each.address == "" {
			continue
		}
		if *each.listener, err = process.Listen(ctx, each.address); err != nil {
			all.close()
			return all, errcode.AgentAddressInUse.With("%s: %v", each.address, err)
		}
	}
	return all, nil
}

// close closes all listeners.
func (l listeners) close() {
	for _, listener := range []net.Listener{l.internal, l.subscription, l.directory} {
		if listener != nil {
			_ = listener.Close() // an error is harmless: no data is written through a listener
		}
	}
}
