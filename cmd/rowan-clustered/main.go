// Command rowan-clustered is one dispatcher as a member of a fleet that acts as one, and what operators ask of it.
package main

import (
	"fmt"
	"os"

	"github.com/spf13/cobra"

	"rowanlink/cluster/config"
	"rowanlink/cluster/member"
	"rowanlink/cluster/rebalance"
	"rowanlink/cluster/shardmap"
	"rowanlink/webhook/dispatcher"
)

func main() {
	serve := &cobra.Command{
		Use:   "rowan-clustered",
		Short: "A dispatcher as a member of a fleet",
		Long: "Without a sub-command it is started as a dispatcher is (LB_CONFIG, LB_STATE) and with\n" +
			"ROWAN_FLEET, the operator file. SIGHUP has it read both files again.",
		Args: cobra.NoArgs, SilenceUsage: true, SilenceErrors: true,
		RunE: func(*cobra.Command, []string) error { return dispatcher.Run(member.New(os.Getenv("ROWAN_FLEET"))) },
	}
	var from string
	show := &cobra.Command{
		Use:   "plan FILE",
		Short: "Prints the steps that an operator file asks for, and why each waits",
		Long: "Nothing is moved. The map of ranges is asked of a running member (--from host:port, its address\n" +
			"says); without one the steps are from a first map of even parts over the file's members.",
		Args: cobra.ExactArgs(1), SilenceUsage: true, SilenceErrors: true,
		RunE: func(_ *cobra.Command, args []string) error {
			text, err := os.ReadFile(args[0])
			if err != nil {
				return err
			}
			f, err := config.Parse(text, args[0])
			if err != nil {
				return err
			}
			chart, runs, err := member.FetchShardMap(from)
			if err != nil {
				return err
			}
			if chart == nil {
				chart = &shardmap.Map{Groups: f.Groups()}
			}
			rebalance.PrintProgress(runs, os.Stdout)
			return rebalance.PrintPlan(text, args[0], chart, nil, os.Stdout)
		},
	}
	show.Flags().StringVar(&from, "from", "", "a keeper's address says, host:port")
	serve.AddCommand(show)
	if err := serve.Execute(); err != nil {
		fmt.Fprintln(os.Stderr, "rowan-clustered:", err)
		os.Exit(1)
	}
}
