package main

import (
	"errors"
	"fmt"
	"os"

	"github.com/spf13/cobra"

	"rowanlink/sim/experiment"
)

type ownershipOptions struct {
	out  string
	free bool
}

func ownershipCommand() *cobra.Command {
	var options ownershipOptions
	c := &cobra.Command{
		Use:   "homes FILE...",
		Short: "Compare ownership of ranges with even shares over the points of sweeps",
		Long: "Runs each point and seed of sweeps whose scenarios have a table homes with and without it, and\n" +
			"prints a row for each mode.",
		Example: "  rowan-sim homes --free-hops examples/experiments/sweeps/homes-*.toml",
		Args:    cobra.MinimumNArgs(1),
		RunE: func(c *cobra.Command, args []string) error {
			results, err := options.compareAll(args)
			if err != nil {
				return err
			}
			_, err = fmt.Fprint(c.OutOrStdout(), experiment.OwnershipTable(results))
			return err
		},
	}
	c.Flags().StringVar(&options.out, "out", "", "folder for the figures as JSON")
	c.Flags().BoolVar(&options.free, "free-hops", false, "also with ownership and messages without delay or loss")
	return c
}

func (o *ownershipOptions) compareAll(files []string) ([]experiment.OwnershipResult, error) {
	if o.out != "" {
		if err := os.MkdirAll(o.out, 0o755); err != nil {
			return nil, err
		}
	}
	var all []experiment.OwnershipResult
	for _, file := range files {
		results, err := o.compare(file)
		if err != nil {
			return nil, err
		}
		all = append(all, results...)
	}
	return all, nil
}

func (o *ownershipOptions) compare(file string) ([]experiment.OwnershipResult, error) {
	sweep, points, err := experiment.LoadSweep(file)
	if err != nil {
		return nil, err
	}
	if len(sweep.Seeds) < 2 {
		return nil, errors.New(file + ": homes needs two seeds or more")
	}
	modes := 2
	if o.free {
		modes = 3
	}
	progress := newProgress(modes*len(points), file)
	results, err := sweep.CompareOwnership(points, o.free, func() { _ = progress.Add(1) })
	if err != nil || o.out == "" {
		return results, err
	}
	return results, experiment.SaveOwnership(o.out, sweep, points, results)
}
