// Command rowan-proxy is the data plane: it forwards clients' requests to the endpoints of their services.
package main

import (
	"context"

	"github.com/rs/zerolog"

	"rowanlink/serving/process"
	"rowanlink/serving/proxy"
	"rowanlink/serving/settings"
)

func main() {
	process.Main("rowan-proxy", "Forward clients' requests to the endpoints of their services.", run)
}

func run(ctx context.Context, flags process.Flags, processSettings *settings.Process, log *zerolog.Logger) error {
	return proxy.Run(ctx, processSettings, flags.Settings, log)
}
