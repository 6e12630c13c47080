// Command rowan-core holds a replica of the record and serves operators and the endpoints' heartbeats.
package main

import (
	"context"

	"github.com/rs/zerolog"

	"rowanlink/serving/core"
	processpkg "rowanlink/serving/process"
	"rowanlink/serving/settings"
)

func main() {
	processpkg.Main("rowan-core", "Hold a replica of the record and serve operators and endpoints.", run)
}

func run(ctx context.Context, flags processpkg.Flags, process *settings.Process, log *zerolog.Logger) error {
	return core.Run(ctx, core.Options{Settings: process, SettingsPath: flags.Settings, Log: log})
}
