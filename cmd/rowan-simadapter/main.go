// Command rowan-simadapter runs the dispatcher's decision policy on the simulator's wire: batches of events on standard
// input, actions on standard output. It exits with 1 if the input is malformed.
package main

import (
	"fmt"
	"os"

	"rowanlink/webhook/api"
	"rowanlink/webhook/policy"
	"rowanlink/webhook/simadapter"
)

func main() {
	newPolicy := func(settings api.Settings, host api.Host) api.Policy { return policy.New(settings, host) }
	if err := simadapter.Serve(os.Stdin, os.Stdout, newPolicy); err != nil {
		fmt.Fprintln(os.Stderr, "rowan-simadapter:", err)
		os.Exit(1)
	}
}
