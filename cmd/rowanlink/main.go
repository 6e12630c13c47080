// Command rowanlink is one real dispatcher.
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
