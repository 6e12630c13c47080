// Command benchlink runs the decision module on the bench's wire, standard input to standard output.
package main

import (
	"fmt"
	"os"

	"rowanlink/benchwire"
	"rowanlink/webhook"
	"rowanlink/webhook/policy"
)

func main() {
	start := func(f webhook.Facts, h webhook.Host) webhook.Module { return policy.New(f, h) }
	if err := benchwire.Serve(os.Stdin, os.Stdout, start); err != nil {
		fmt.Fprintln(os.Stderr, "benchlink:", err)
		os.Exit(1)
	}
}
