package main

import (
	"encoding/json"
	"fmt"
	"io"
	"strings"

	"github.com/spf13/cobra"

	"rowanlink/sim/experiment"
)

type runOptions struct {
	seed     uint64
	setsSeed bool
	policy   string
	out      string
	asJSON   bool
	measured bool
}

func runCommand() *cobra.Command {
	var options runOptions
	c := &cobra.Command{
		Use:     "run FILE",
		Short:   "Run one scenario and print a summary",
		Example: "  rowan-sim run examples/experiments/calm.toml --seed 7 --out /tmp/calm && rowan-sim plot /tmp/calm",
		Args:    cobra.ExactArgs(1),
		RunE: func(c *cobra.Command, args []string) error {
			options.setsSeed = c.Flags().Changed("seed")
			return options.run(c.OutOrStdout(), args[0])
		},
	}
	policies := strings.Join(experiment.Policies(), ", ")
	c.Flags().Uint64Var(&options.seed, "seed", 0, "seed in place of the scenario's")
	c.Flags().StringVar(&options.policy, "policy", experiment.DefaultPolicy, "one of "+policies)
	c.Flags().StringVar(&options.out, "out", "", "folder for the tables")
	c.Flags().BoolVar(&options.asJSON, "json", false, "print the summary as JSON")
	c.Flags().BoolVar(&options.measured, "cost", false, "measure what the run takes on this machine")
	return c
}

func (o *runOptions) run(to io.Writer, file string) error {
	s, err := experiment.Load(file)
	if err != nil {
		return err
	}
	if o.setsSeed {
		s.Seed = o.seed
	}
	r, err := experiment.Run(s, o.policy, o.measured)
	if err != nil {
		return err
	}
	if o.out != "" {
		if err := experiment.Save(o.out, s, r); err != nil {
			return err
		}
	}
	if o.asJSON {
		encoder := json.NewEncoder(to)
		encoder.SetIndent("", "  ")
		err = encoder.Encode(r)
	} else {
		err = writeSummary(to, r)
	}
	if err == nil && r.Violated() {
		err = errViolated
	}
	return err
}

func checkCommand() *cobra.Command {
	return &cobra.Command{
		Use:     "check FILE...",
		Short:   "Validate scenarios and print all errors",
		Example: "  rowan-sim check examples/experiments/*.toml",
		Args:    cobra.MinimumNArgs(1),
		RunE: func(c *cobra.Command, args []string) error {
			for _, file := range args {
				s, err := experiment.Load(file)
				if err != nil {
					return err
				}
				_, _ = fmt.Fprintf(c.OutOrStdout(), "%s: %s\n", file, s.Name)
			}
			return nil
		},
	}
}
