// Command rowan-sim runs experiments with the simulator of the webhook dispatcher.
package main

import (
	"errors"
	"log/slog"
	"os"

	"github.com/spf13/cobra"
)

// The exit statuses of failures.
const (
	exitFailed   = 1
	exitViolated = 3
)

// errViolated ends a command that worked with exitViolated.
var errViolated = errors.New("an invariant was violated")

func main() {
	slog.SetDefault(slog.New(slog.NewTextHandler(os.Stderr, nil)))
	root := &cobra.Command{
		Use:   "rowan-sim",
		Short: "Experiments with the simulator of rowanlink",
		Long: "rowan-sim runs scenarios in simulated time with the decision policy or a baseline, and writes the\n" +
			"results as tables and charts.\n\n" +
			"Results go to standard output, all else to standard error. Exit status: 0 done, 1 failed,\n" +
			"3 done, and an invariant was violated.",
		SilenceUsage:  true,
		SilenceErrors: true,
	}
	root.AddCommand(
		runCommand(),
		checkCommand(),
		sweepCommand(),
		compareCommand(),
		searchCommand(),
		plotCommand(),
		ownershipCommand(),
	)
	err := root.Execute()
	switch {
	case errors.Is(err, errViolated):
		os.Exit(exitViolated)
	case err != nil:
		slog.Error("command failed", "error", err)
		os.Exit(exitFailed)
	}
}
