package main

import (
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"os"
	"strings"

	"github.com/spf13/cobra"

	"rowanlink/sim/experiment"
)

type compareOptions struct {
	policies []string
	seeds    int
	asJSON   bool
}

func compareCommand() *cobra.Command {
	var options compareOptions
	c := &cobra.Command{
		Use:   "compare FILE...",
		Short: "Compare two policies, paired by seed",
		Long: "Runs scenarios with two policies and the same seeds, so that both have the same arrivals, and\n" +
			"prints the mean difference in value, and in the share of webhooks delivered before their time\n" +
			"was up, with their 95% bootstrap intervals.",
		Example: "  rowan-sim compare examples/experiments/calm.toml --policy module --policy exponential --seeds 20",
		Args:    cobra.MinimumNArgs(1),
		RunE: func(c *cobra.Command, args []string) error {
			return options.compareAll(c.OutOrStdout(), args)
		},
	}
	policies := strings.Join(experiment.Policies(), ", ")
	c.Flags().StringArrayVar(&options.policies, "policy", nil, "a policy; give two ("+policies+")")
	c.Flags().IntVar(&options.seeds, "seeds", 10, "how many seeds")
	c.Flags().BoolVar(&options.asJSON, "json", false, "print a line of JSON for each scenario")
	return c
}

func (o *compareOptions) compareAll(to io.Writer, files []string) error {
	if len(o.policies) != 2 || o.seeds < 2 {
		return errors.New("compare needs two policies, each by --policy, and two seeds or more")
	}
	_, _ = fmt.Fprintf(os.Stderr, "%-28s %8s %8s %8s  %-18s %9s  %-18s violated\n", "scenario", o.policies[0], o.policies[1], "diff",
		"95% interval", "delivered", "95% interval")
	for _, file := range files {
		if err := o.compare(to, file); err != nil {
			return err
		}
	}
	return nil
}

func (o *compareOptions) compare(to io.Writer, file string) error {
	s, err := experiment.Load(file)
	if err != nil {
		return err
	}
	progress := newProgress(2*o.seeds, s.Name)
	onRun := func() { _ = progress.Add(1) }
	r, err := experiment.Compare(s, o.policies[0], o.policies[1], o.seeds, onRun)
	if err != nil {
		return err
	}
	if o.asJSON {
		return json.NewEncoder(to).Encode(r)
	}
	_, _ = fmt.Fprintf(to, "%-28s %8.4f %8.4f %+8.4f  %+.4f to %+.4f %+9.4f  %+.4f to %+.4f  %d, %d\n", r.Scenario, r.MeanA, r.MeanB, r.Diff,
		r.Low, r.High, r.DeliveredDiff, r.DeliveredLow, r.DeliveredHigh, r.ViolatedA, r.ViolatedB)
	return nil
}
