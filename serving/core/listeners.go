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
	internal net.Listener // for calls between the system's processes
	control  net.Listener // for calls by operators and endpoints
}

// listenAll opens both listeners. Errors are errcode.CoreAddressInUse.
func listenAll(ctx context.Context, process *settings.Process) (listeners, error) {
	internal, err := listen(ctx, process.InternalAddress())
	if err != nil {
		return listeners{}, err
	}
	control, err := listen(ctx, process.Bind.Control)
	if err != nil {
		_ = internal.Close()
		return listeners{}, err
	}
	return listeners{internal: internal, control: control}, nil
}

func listen(ctx context.Context, address string) (net.Listener, error) {
	listener, err := process.Listen(ctx, address)
	if err != nil {
		return nil, errcode.CoreAddressInUse.With("%s: %v", address, err)
	}
	return listener, nil
}
