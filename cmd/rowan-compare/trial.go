package main

import (
	"context"
	"fmt"
	"io"
	"os"
	"path/filepath"
	"strconv"
	"sync"

	"github.com/alecthomas/kong"
	"github.com/cockroachdb/errors"
)

// trialCommand is the command line.
type trialCommand struct {
	Version  kong.VersionFlag `help:"Print the version and end."`
	Bench    string           `required:"" type:"existingfile" env:"ROWANTRIAL_BENCH" help:"The bench's program."`
	Site     []string         `required:"" type:"existingfile" sep:"," help:"Site files."`
	Day      []string         `required:"" sep:"," help:"Names of standard days, or files of days."`
	Seed     []int            `required:"" sep:"," help:"Seeds; each day is played with each."`
	Jobs     int              `default:"4" help:"Plays at once."`
	Scratch  string           `required:"" type:"path" help:"Folder for the clones and reports."`
	Why      string           `required:"" help:"What the trial is for; goes into the journal."`
	WithCPU  bool             `help:"Have processor time counted; results then vary with the machine's load."`
	Variants []string         `arg:"" name:"variant" help:"NAME=REVISION or NAME=REVISION+PATCHFILE."`
}

// play is one day of one site with one seed, played by one variant.
type play struct {
	site, day string
	seed      int
	variant   *variant
}

// played is a play and what came of it.
type played struct {
	play
	report *report
	err    error
}

// name tells plays apart in file names and progress.
func (p *play) name() string {
	return filepath.Base(p.site) + "-" + filepath.Base(p.day) + "-" + strconv.Itoa(p.seed) + "-" + p.variant.name
}

// Run implements the command.
func (c *trialCommand) Run(ctx context.Context, out io.Writer) error {
	top, err := repositoryTop(ctx)
	if err != nil {
		return err
	}
	variants, err := parseVariants(ctx, top, c.Variants)
	if err != nil {
		return err
	}
	if err := os.MkdirAll(c.Scratch, 0o755); err != nil {
		return errors.Wrap(err, "scratch folder")
	}
	results := c.playAll(ctx, top, c.plays(variants))
	writeTables(out, variants, results)
	return nil
}

// plays lists all plays so that those that are compared run near each other in time.
func (c *trialCommand) plays(variants []*variant) (plays []play) {
	for _, seed := range c.Seed {
		for _, site := range c.Site {
			for _, day := range c.Day {
				for _, variant := range variants {
					plays = append(plays, play{site: site, day: day, seed: seed, variant: variant})
				}
			}
		}
	}
	return plays
}

// playAll plays with as many workers as there are jobs; each has a clone of its own for each variant.
func (c *trialCommand) playAll(ctx context.Context, top string, plays []play) []played {
	results := make([]played, len(plays))
	next := make(chan int)
	var workers sync.WaitGroup
	for number := range c.Jobs {
		workers.Go(func() {
			worker := &worker{command: c, top: top, number: number, clones: map[string]string{}}
			for index := range next {
				report, err := worker.play(ctx, &plays[index])
				results[index] = played{play: plays[index], report: report, err: err}
				printProgress(&results[index])
			}
		})
	}
	for index := range plays {
		next <- index
	}
	close(next)
	workers.Wait()
	return results
}

func printProgress(result *played) {
	if result.err != nil {
		fmt.Fprintf(os.Stderr, "%s: %v\n", result.name(), result.err)
		return
	}
	fmt.Fprintf(os.Stderr, "%s: %.4f %s\n", result.name(), result.report.Worth, result.report.trouble())
}
