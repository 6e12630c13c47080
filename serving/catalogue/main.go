// Command catalogue writes the lists of settings, log events and result codes in docs/ from the code. Where a list has
// a hand-written column ("What to do"), its text is kept. A test compares the lists with the code.
package main

import (
	"fmt"
	"os"
	"path/filepath"
)

const (
	exitFailure = 1
	exitUsage   = 2
)

func main() {
	if len(os.Args) > 2 {
		fmt.Fprintln(os.Stderr, "usage: catalogue [root of the repository]")
		os.Exit(exitUsage)
	}
	root := "."
	if len(os.Args) == 2 {
		root = os.Args[1]
	}
	if err := writeLists(root); err != nil {
		fmt.Fprintln(os.Stderr, err)
		os.Exit(exitFailure)
	}
}

// writeLists renders each list into its file below root, keeping the file's hand-written texts.
func writeLists(root string) error {
	for _, list := range lists() {
		path := filepath.Join(root, list.path)
		previous, err := os.ReadFile(path)
		if err != nil && !os.IsNotExist(err) {
			return err
		}
		if err := os.WriteFile(path, []byte(list.render(string(previous))), 0o644); err != nil {
			return err
		}
	}
	return nil
}
