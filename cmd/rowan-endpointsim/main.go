// Command rowan-endpointsim plays the endpoints of a serving system on one machine, so that the system can be tried: it
// starts the endpoints that a file names, puts the first configuration in force, and shows what comes to them.
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

	"github.com/alecthomas/kong"
	"github.com/cockroachdb/errors"

	"rowanlink/serving/operator/client"
	"rowanlink/serving/process"
	"rowanlink/test/fake/endpoint"
)

const (
	// configureWithin bounds the wait until the first configuration is in force.
	configureWithin = time.Minute
	// leaveWithin bounds the planned end of the endpoints.
	leaveWithin = 10 * time.Second
)

// grammar is the command line.
type grammar struct {
	File    string           `arg:"" type:"existingfile" help:"TOML file of services and their endpoints."`
	Quiet   bool             `help:"Don't show each request."`
	Crash   bool             `help:"End without a word to the system, as by a crash."`
	Version kong.VersionFlag `help:"Print the version and end."`
}

func main() {
	var line grammar
	parsed := kong.Parse(&line, kong.Name("rowan-endpointsim"), kong.Description("Play the endpoints of a serving system."),
		kong.Vars{"version": process.Version()}, kong.ShortUsageOnError())
	ctx, stop := signal.NotifyContext(context.Background(), syscall.SIGTERM, syscall.SIGINT)
	defer stop()
	parsed.FatalIfErrorf(run(ctx, &line))
}

// run plays the endpoints until the context ends.
func run(ctx context.Context, line *grammar) error {
	file, err := load(line.File)
	if err != nil {
		return err
	}
	endpoints, err := start(file, notes(line.Quiet))
	if err != nil {
		return err
	}
	if err := configure(ctx, file, filepath.Dir(line.File)); err != nil {
		return err
	}
	<-ctx.Done()
	if !line.Crash {
		leave(endpoints)
	}
	return nil
}

// notes shows what becomes of requests.
func notes(quiet bool) func(endpoint.Note) {
	if quiet {
		return nil
	}
	return func(n endpoint.Note) { fmt.Fprintf(os.Stdout, "%s %s\n", n.At.Format("15:04:05.000"), n) }
}

// start starts all endpoints.
func start(file *file, note func(endpoint.Note)) (started []*endpoint.Endpoint, err error) {
	for _, options := range file.endpoints() {
		options.Note = note
		e, err := endpoint.Start(options)
		if err != nil {
			return nil, errors.Wrapf(err, "service %s", options.Service)
		}
		fmt.Fprintf(os.Stdout, "%s of %s in %s at %s\n", e.ID, options.Service, options.Zone, e.Address())
		started = append(started, e)
	}
	return started, nil
}

// configure puts the first configuration in force, unless there is one already.
func configure(ctx context.Context, file *file, folder string) error {
	if file.Configuration == "" {
		return nil
	}
	document, err := os.ReadFile(filepath.Join(folder, file.Configuration))
	if err != nil {
		return errors.Wrap(err, "configuration")
	}
	ctx, cancel := context.WithTimeout(ctx, configureWithin)
	defer cancel()
	operator := &client.Client{Addresses: file.Control}
	err = operator.ReplaceConfiguration(ctx, 0, document)
	var refusal *client.RejectedError
	if errors.As(err, &refusal) {
		fmt.Fprintln(os.Stdout, "the system keeps the configuration that it has:", refusal.Text)
		return nil
	}
	if err == nil {
		fmt.Fprintln(os.Stdout, "the first configuration is in force")
	}
	return errors.Wrap(err, "configuration")
}

// leave ends all endpoints by plan.
func leave(endpoints []*endpoint.Endpoint) {
	ctx, cancel := context.WithTimeout(context.Background(), leaveWithin)
	defer cancel()
	var all sync.WaitGroup
	for _, e := range endpoints {
		all.Go(func() {
			if err := e.Leave(ctx); err != nil {
				fmt.Fprintln(os.Stderr, e.ID, err)
			}
		})
	}
	all.Wait()
}
