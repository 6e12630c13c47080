// Command rowan-clustered is one webhook dispatcher as a member of a cluster, and what operators ask of it.
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
	root := newServeCommand()
	root.AddCommand(newPlanCommand())
	if err := root.Execute(); err != nil {
		fmt.Fprintln(os.Stderr, "rowan-clustered:", err)
		os.Exit(1)
	}
}

func newServeCommand() *cobra.Command {
	return &cobra.Command{
		Use:   "rowan-clustered",
		Short: "A dispatcher as a member of a fleet",
		Long: "Without a sub-command it is started as a dispatcher is (LB_CONFIG, LB_STATE) and with\n" +
			"ROWAN_FLEET, the operator file. SIGHUP has it read both files again.",
		Args:          cobra.NoArgs,
		SilenceUsage:  true,
		SilenceErrors: true,
		RunE: func(*cobra.Command, []string) error {
			return dispatcher.Run(member.New(os.Getenv("ROWAN_FLEET")))
		},
	}
}

func newPlanCommand() *cobra.Command {
	var from string
	command := &cobra.Command{
		Use:   "plan FILE",
		Short: "Prints the steps that an operator file asks for, and why each waits",
		Long: "Nothing is moved. The map of ranges is asked of a running member (--from host:port, its address\n" +
			"says); without one the steps are from a first map of even parts over the file's members.",
		Args:          cobra.ExactArgs(1),
		SilenceUsage:  true,
		SilenceErrors: true,
		RunE:          func(_ *cobra.Command, args []string) error { return printPlan(args[0], from) },
	}
	command.Flags().StringVar(&from, "from", "", "a keeper's address says, host:port")
	return command
}

// printPlan prints the plan of an operator file, from the shard map of the member at an address, host:port, or without
// one from the first map.
func printPlan(path, from string) error {
	text, err := os.ReadFile(path)
	if err != nil {
		return err
	}
	file, err := config.Parse(text, path)
	if err != nil {
		return err
	}
	shardMap, progress, err := member.FetchState(from)
	if err != nil {
		return err
	}
	if shardMap == nil {
		shardMap = &shardmap.Map{Groups: file.Groups()}
	}
	rebalance.PrintProgress(progress, os.Stdout)
	return rebalance.PrintPlan(text, path, shardMap, nil, os.Stdout)
}
