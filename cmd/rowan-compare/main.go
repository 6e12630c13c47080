// Command rowan-compare compares variants of the serving system on the users' bench, in pairs with the same day and
// seed. Each variant is a revision of this repository, optionally with a patch, in clones in a scratch folder; the
// bench's journal entries are copied into this repository's journal.
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
	var line compareCommand
	parsed := kong.Parse(&line, kong.Name("rowan-compare"), kong.UsageOnError(),
		kong.Description("Compare variants of the serving system by pairs on the same days and seeds. Each VARIANT is "+
			"NAME=REVISION or NAME=REVISION+PATCHFILE; REVISION may be WORKTREE. All are compared with the first one."),
		kong.Vars{"version": process.Version()}, kong.BindTo(os.Stdout, (*io.Writer)(nil)))
	ctx, stop := signal.NotifyContext(context.Background(), os.Interrupt)
	defer stop()
	parsed.BindTo(ctx, (*context.Context)(nil))
	parsed.FatalIfErrorf(parsed.Run())
}
