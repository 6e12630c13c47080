// Command rowan-simadapter runs the decision module on the bench's wire, standard input to standard output.
package main

import (
	"fmt"
	"os"

	"rowanlink/webhook/api"
	"rowanlink/webhook/policy"
	"rowanlink/webhook/simadapter"
)

func main() {
	start := func(f api.Settings, h api.Host) api.Policy { return policy.New(f, h) }
	if err := simadapter.Serve(os.Stdin, os.Stdout, start); err != nil {
		fmt.Fprintln(os.Stderr, "rowan-simadapter:", err)
		os.Exit(1)
	}
}
