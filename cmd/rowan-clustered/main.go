// Command rowan-clustered runs a webhook dispatcher as a member of a cluster, and prints rebalancing plans.
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
		Short: "Webhook dispatcher as a member of a cluster",
		Long: "Without a sub-command it runs the dispatcher: LB_CONFIG and LB_STATE are as for rowanlink,\n" +
			"ROWAN_FLEET names the operator file. SIGHUP reloads both files.",
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
		Short: "Print the steps of an operator file's rebalancing plan, and what each waits for",
		Long: "A dry run. The shard map is fetched from a running member with a raft node (--from host:port,\n" +
			"its `says` in the operator file); without --from the plan begins at an initial map, which\n" +
			"splits the keys among the file's members by weight.",
		Args:          cobra.ExactArgs(1),
		SilenceUsage:  true,
		SilenceErrors: true,
		RunE:          func(_ *cobra.Command, args []string) error { return printPlan(args[0], from) },
	}
	command.Flags().StringVar(&from, "from", "", "address, host:port, of a member with a raft node")
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
