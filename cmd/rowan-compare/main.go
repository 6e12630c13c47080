// Command rowan-compare compares variants of the serving system, paired by day and seed, on the users' bench. Each variant
// is a revision of this repository, with a patch if wanted, in scratch clones; the bench's entries of the trials are
// copied into the journal.
package main

import (
	"context"
	"io"
	"os"
	"os/signal"

	"github.com/alecthomas/kong"

	"rowanlink/serving/process"
)

func main() {
	var line trialCommand
	parsed := kong.Parse(&line, kong.Name("rowan-compare"), kong.UsageOnError(),
		kong.Description("Compare variants of the serving system by pairs on the same days and seeds. Each VARIANT is "+
			"NAME=REVISION or NAME=REVISION+PATCHFILE; REVISION may be WORKTREE. All are compared with the first one."),
		kong.Vars{"version": process.Version()}, kong.BindTo(os.Stdout, (*io.Writer)(nil)))
	ctx, stop := signal.NotifyContext(context.Background(), os.Interrupt)
	defer stop()
	parsed.BindTo(ctx, (*context.Context)(nil))
	parsed.FatalIfErrorf(parsed.Run())
}
