package main

import (
	"os"

	"github.com/schollz/progressbar/v3"
)

// newProgress makes a progress bar on standard error, which is visible on terminals only.
func newProgress(runs int, description string) *progressbar.ProgressBar {
	return progressbar.NewOptions(
		runs,
		progressbar.OptionSetWriter(os.Stderr),
		progressbar.OptionSetDescription(description),
		progressbar.OptionShowCount(),
		progressbar.OptionClearOnFinish(),
		progressbar.OptionSetVisibility(isTerminal(os.Stderr)),
	)
}

func isTerminal(f *os.File) bool {
	info, err := f.Stat()
	return err == nil && info.Mode()&os.ModeCharDevice != 0
}
