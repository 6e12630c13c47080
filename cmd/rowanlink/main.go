// Command rowanlink is the webhook dispatcher as one process without a cluster. It takes its configuration from the file
// named by LB_CONFIG, and keeps accepted webhooks in the folder named by LB_STATE. It exits with 1 if it can't start or its
// server ends.
package main

import (
	"fmt"
	"os"

	"rowanlink/webhook/dispatcher"
)

func main() {
	if err := dispatcher.Run(nil); err != nil {
		fmt.Fprintln(os.Stderr, "rowanlink:", err)
		os.Exit(1)
	}
}
