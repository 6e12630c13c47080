// Command rowan-agent stands beside each proxy: it keeps the proxy in touch with the rest of the system and answers
// clients that ask where to go.
package main

import (
	"context"

	"github.com/alecthomas/kong"
	"github.com/rs/zerolog"

	"rowanlink/serving/agent"
	processpkg "rowanlink/serving/process"
	"rowanlink/serving/settings"
)

// further are the flags that only agents have.
var further struct {
	PollLoads bool `help:"Take part in reading the loads of the zone's language-model endpoints."`
}

func main() {
	processpkg.Main("rowan-agent", "Keep a proxy in touch with the serving system.", run, kong.Embed(&further))
}

func run(ctx context.Context, flags processpkg.Flags, process *settings.Process, log *zerolog.Logger) error {
	return agent.Run(ctx, agent.Options{Settings: process, SettingsPath: flags.Settings, Log: log,
		PollLoads: further.PollLoads})
}
