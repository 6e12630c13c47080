package core

import (
	"context"
	"net"

	"rowanlink/serving/errcode"
	"rowanlink/serving/process"
	"rowanlink/serving/settings"
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
