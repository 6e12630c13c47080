package main

import (
	"errors"
	"fmt"
	"os"

	"github.com/spf13/cobra"

	"rowanlink/sim/experiment"
)

func homesCommand() *cobra.Command {
	var out string
	var free bool
	c := &cobra.Command{
		Use:   "homes FILE...",
		Short: "Compare homes with even parts over the points of sweeps",
		Long: "Plays each point and seed of sweeps whose scenarios have a table homes with and without it, and\n" +
			"prints a row for each way of sharing.",
		Example: "  rowan-sim homes --free-hops examples/experiments/sweeps/homes-*.toml",
		Args:    cobra.MinimumNArgs(1),
		RunE: func(c *cobra.Command, args []string) error {
			var all []experiment.OwnershipResult
			if out != "" {
				if err := os.MkdirAll(out, 0o755); err != nil {
					return err
				}
			}
			for _, file := range args {
				s, points, err := experiment.LoadSweep(file)
				if err != nil {
					return err
				}
				if len(s.Seeds) < 2 {
					return errors.New(file + ": homes needs two seeds or more")
				}
				runs := 2 * len(points)
				if free {
					runs = 3 * len(points)
				}
				b := bar(runs, file)
				rows, err := s.CompareOwnership(points, free, func() { _ = b.Add(1) })
				if err != nil {
					return err
				}
				if out != "" {
					if err := experiment.SaveOwnership(out, s, points, rows); err != nil {
						return err
					}
				}
				all = append(all, rows...)
			}
			_, err := fmt.Fprint(c.OutOrStdout(), experiment.OwnershipTable(all))
			return err
		},
	}
	c.Flags().StringVar(&out, "out", "", "folder for the figures as JSON")
	c.Flags().BoolVar(&free, "free-hops", false, "play homes without the cost of hops as well")
	return c
}
