// Command rowan-proxy carries clients' requests to the endpoints that serve them.
package main

import (
	"context"

	"github.com/rs/zerolog"

	processpkg "rowanlink/serving/process"
	"rowanlink/serving/proxy"
	"rowanlink/serving/settings"
)

func main() {
	processpkg.Main("rowan-proxy", "Carry clients' requests to the endpoints that serve them.", run)
}

func run(ctx context.Context, flags processpkg.Flags, process *settings.Process, log *zerolog.Logger) error {
	return proxy.Run(ctx, process, flags.Settings, log)
}
