// Command rowan-agent is the node agent beside each proxy: it connects the proxy with the control plane and answers the
// directory look-ups of clients.
package main

import (
	"context"

	"github.com/alecthomas/kong"
	"github.com/rs/zerolog"

	"rowanlink/serving/agent"
	"rowanlink/serving/process"
	"rowanlink/serving/settings"
)

// agentFlags are the flags that only agents have.
var agentFlags struct {
	PollLoads bool `help:"Take part in polling the loads of the zone's language-model endpoints."`
}

func main() {
	process.Main("rowan-agent", "Connect a proxy with the control plane and answer look-ups of proxies.", run, kong.Embed(&agentFlags))
}

func run(ctx context.Context, flags process.Flags, processSettings *settings.Process, log *zerolog.Logger) error {
	return agent.Run(ctx, agent.Options{
		Settings:     processSettings,
		SettingsPath: flags.Settings,
		Log:          log,
		PollLoads:    agentFlags.PollLoads,
	})
}
