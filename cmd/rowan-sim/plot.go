package main

import (
	"fmt"

	"github.com/spf13/cobra"

	"rowanlink/sim/experiment"
)

func plotCommand() *cobra.Command {
	return &cobra.Command{
		Use:     "plot DIR...",
		Short:   "Draw charts and one page from the tables of a run or a sweep",
		Example: "  rowan-sim plot /tmp/calm",
		Args:    cobra.MinimumNArgs(1),
		RunE: func(c *cobra.Command, args []string) error {
			for _, dir := range args {
				written, err := experiment.Plot(dir)
				if err != nil {
					return err
				}
				for _, path := range written {
					_, _ = fmt.Fprintln(c.OutOrStdout(), path)
				}
			}
			return nil
		},
	}
}
