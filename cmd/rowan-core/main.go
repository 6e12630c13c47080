// Command rowan-core is the control plane: it holds a replica of the record and serves operators and the heartbeats of
// endpoints.
package main

import (
	"context"

	"github.com/rs/zerolog"

	"rowanlink/serving/core"
	"rowanlink/serving/process"
	"rowanlink/serving/settings"
)

func main() {
	process.Main("rowan-core", "Hold a replica of the record and serve operators and endpoints.", run)
}

func run(ctx context.Context, flags process.Flags, processSettings *settings.Process, log *zerolog.Logger) error {
	return core.Run(ctx, core.Options{Settings: processSettings, SettingsPath: flags.Settings, Log: log})
}
