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

// compareCommand is the command line.
type compareCommand struct {
	Version  kong.VersionFlag `help:"Print the version and exit."`
	Bench    string           `required:"" type:"existingfile" env:"ROWANTRIAL_BENCH" help:"The bench's program."`
	Site     []string         `required:"" type:"existingfile" sep:"," help:"Site files."`
	Day      []string         `required:"" sep:"," help:"Names of standard days or files of days."`
	Seed     []int            `required:"" sep:"," help:"Seeds; each day is run with each of them."`
	Jobs     int              `default:"4" help:"Concurrent runs."`
	Scratch  string           `required:"" type:"path" help:"Folder for the clones and reports."`
	Why      string           `required:"" help:"Purpose of the trial, for the journal."`
	WithCPU  bool             `help:"Count processor time; results then vary with the load of the machine."`
	Variants []string         `arg:"" name:"variant" help:"NAME=REVISION or NAME=REVISION+PATCHFILE."`
}

// benchRun is a run of the bench: one day of one site with one seed and one variant.
type benchRun struct {
	site, day string
	seed      int
	variant   *variant
}

// benchResult is a run with its result.
type benchResult struct {
	benchRun
	report *benchReport
	err    error
}

// name identifies a run in file names and progress messages.
func (p *benchRun) name() string {
	return filepath.Base(p.site) + "-" + filepath.Base(p.day) + "-" + strconv.Itoa(p.seed) + "-" + p.variant.name
}

// Run runs the command.
func (c *compareCommand) Run(ctx context.Context, out io.Writer) error {
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
	results := c.runAll(ctx, top, c.listRuns(variants))
	writeTables(out, variants, results)
	return nil
}

// listRuns lists all runs. Those that are compared with each other are near each other in time.
func (c *compareCommand) listRuns(variants []*variant) (runs []benchRun) {
	for _, seed := range c.Seed {
		for _, site := range c.Site {
			for _, day := range c.Day {
				for _, variant := range variants {
					runs = append(runs, benchRun{site: site, day: day, seed: seed, variant: variant})
				}
			}
		}
	}
	return runs
}

// runAll makes the runs with as many workers as there are jobs. Each worker has its own clone of each variant.
func (c *compareCommand) runAll(ctx context.Context, top string, runs []benchRun) []benchResult {
	results := make([]benchResult, len(runs))
	next := make(chan int)
	var workers sync.WaitGroup
	for number := range c.Jobs {
		workers.Go(func() {
			worker := &worker{options: c, top: top, number: number, clones: map[string]string{}}
			for index := range next {
				report, err := worker.run(ctx, &runs[index])
				results[index] = benchResult{benchRun: runs[index], report: report, err: err}
				printProgress(&results[index])
			}
		})
	}
	for index := range runs {
		next <- index
	}
	close(next)
	workers.Wait()
	return results
}

func printProgress(result *benchResult) {
	if result.err != nil {
		fmt.Fprintf(os.Stderr, "%s: %v\n", result.name(), result.err)
		return
	}
	fmt.Fprintf(os.Stderr, "%s: %.4f %s\n", result.name(), result.report.Value, result.report.failureText())
}
