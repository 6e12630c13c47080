package main

import (
	"fmt"
	"io"
	"path/filepath"
	"strings"

	"github.com/spf13/cobra"

	"rowanlink/sim/experiment"
)

func sweepCommand() *cobra.Command {
	var out string
	c := &cobra.Command{
		Use:   "sweep FILE",
		Short: "Run a grid of parameters, policies and seeds",
		Long: "Runs each point of a grid with each policy and seed, on all cores, and writes runs.csv with a row for\n" +
			"each run. A sweep that was killed continues when it is started again with the same folder.",
		Example: "  rowan-sim sweep examples/experiments/sweeps/slots.toml --out /tmp/slots",
		Args:    cobra.ExactArgs(1),
		RunE: func(c *cobra.Command, args []string) error {
			if out == "" {
				out = strings.TrimSuffix(args[0], filepath.Ext(args[0])) + ".results"
			}
			return runSweep(c.OutOrStdout(), args[0], out)
		},
	}
	c.Flags().StringVar(&out, "out", "", "folder for the tables (default: beside the file, with .results)")
	return c
}

func runSweep(to io.Writer, file, out string) error {
	sweep, points, err := experiment.LoadSweep(file)
	if err != nil {
		return err
	}
	progress := newProgress(len(points), "runs")
	violated, err := sweep.Run(out, points, func() { _ = progress.Add(1) })
	if err != nil {
		return err
	}
	table := filepath.Join(out, "runs.csv")
	_, _ = fmt.Fprintf(to, "%d runs in %s, %d with a violation\n", len(points), table, violated)
	if violated > 0 {
		return errViolated
	}
	return nil
}
