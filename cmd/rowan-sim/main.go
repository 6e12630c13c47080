// Command rowan-sim makes experiments with the emulator.
package main

import (
	"errors"
	"log/slog"
	"os"

	"github.com/spf13/cobra"
)

// errBroken ends a command with status 3: it worked, and a rule was broken.
var errBroken = errors.New("a rule was broken")

func main() {
	slog.SetDefault(slog.New(slog.NewTextHandler(os.Stderr, nil)))
	root := &cobra.Command{
		Use:   "rowan-sim",
		Short: "Experiments with the emulator of rowanlink",
		Long: "rowan-sim plays scenarios in simulated time round the decision module or a baseline, and keeps\n" +
			"what came of them as tables and charts.\n\n" +
			"Results go to standard output, all else to standard error. Exit status: 0 done, 1 could not be done,\n" +
			"3 done, and a rule was broken.",
		SilenceUsage: true, SilenceErrors: true,
	}
	root.AddCommand(runCommand(), checkCommand(), sweepCommand(), compareCommand(), huntCommand(), plotCommand(),
		homesCommand())
	switch err := root.Execute(); {
	case errors.Is(err, errBroken):
		os.Exit(3)
	case err != nil:
		slog.Error("not done", "why", err)
		os.Exit(1)
	}
}
