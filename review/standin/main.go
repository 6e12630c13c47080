// Command standin runs the review's cases: it starts the project's own programs as a small deployment on loopback
// addresses, plays clients, endpoints, the operator and the platform, and checks one rule by what these have seen.
//
// It exits with 1 if the rule was broken, 0 if it held, and 2 if the case couldn't run.
package main

import (
	"context"
	"fmt"
	"os"
	"os/signal"
	"path/filepath"
	"sync"
	"syscall"
	"time"
)

// maxRunTime ends a case whatever it is doing.
const maxRunTime = 110 * time.Second

// Exit codes of a case.
const (
	exitHeld   = 0
	exitBroken = 1
	exitCannot = 2
)

// caseFunc plays one case. It returns the violations that it has found, or an error if the case couldn't run.
type caseFunc func(ctx context.Context, r *record, trouble bool) (violations []string, err error)

var cases = map[string]caseFunc{
	"signoff":   playSignOff,
	"minority":  playMinority,
	"directory": playDirectory,
}

func main() {
	if len(os.Args) != 3 || cases[os.Args[1]] == nil {
		fmt.Fprintln(os.Stderr, "usage: standin CASE FOLDER (from the repository's root)")
		os.Exit(exitCannot)
	}
	os.Exit(run(cases[os.Args[1]], os.Args[2], os.Getenv("TROUBLE") != "0"))
}

func run(play caseFunc, folder string, trouble bool) int {
	r, err := newRecord(filepath.Join(folder, "record.txt"))
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return exitCannot
	}
	defer r.close()
	ctx, stop := signal.NotifyContext(context.Background(), syscall.SIGTERM, syscall.SIGINT)
	defer stop()
	ctx, cancel := context.WithTimeout(ctx, maxRunTime)
	defer cancel()
	r.log("case", "disruption played: %v", trouble)
	violations, err := play(ctx, r, trouble)
	if err == nil && ctx.Err() != nil {
		err = ctx.Err()
	}
	switch {
	case err != nil:
		r.log("result", "the case could not run: %v", err)
		fmt.Println("could not run:", err)
		return exitCannot
	case len(violations) > 0:
		for _, violation := range violations {
			r.log("violation", "%s", violation)
		}
		r.log("result", "the rule was broken, %d times", len(violations))
		fmt.Printf("broken, %d times; the first: %s\n", len(violations), violations[0])
		return exitBroken
	}
	r.log("result", "the rule held")
	fmt.Println("held")
	return exitHeld
}

// record is the protocol of a case: a line for each thing that was sent, answered or run.
type record struct {
	mutex   sync.Mutex
	file    *os.File
	started time.Time
}

func newRecord(path string) (*record, error) {
	file, err := os.Create(path)
	return &record{file: file, started: time.Now()}, err
}

// log writes a line with the seconds since the start.
func (r *record) log(kind, format string, arguments ...any) {
	r.logAt(time.Now(), kind, format, arguments...)
}

func (r *record) logAt(at time.Time, kind, format string, arguments ...any) {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	fmt.Fprintf(r.file, "%8.3f %-9s %s\n", r.seconds(at), kind, fmt.Sprintf(format, arguments...))
}

// seconds returns a time as seconds since the start.
func (r *record) seconds(at time.Time) float64 { return at.Sub(r.started).Seconds() }

func (r *record) close() { _ = r.file.Close() }
