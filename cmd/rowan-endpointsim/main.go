// Command rowan-endpointsim simulates the endpoints of a serving system on one machine, so that the system can be tried
// out: it starts the endpoints that a file describes, submits the first configuration, and prints the requests that
// reach the endpoints.
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
	// configureTimeout bounds the time until the first configuration is in force.
	configureTimeout = time.Minute
	// shutdownTimeout bounds the graceful shutdown of the endpoints.
	shutdownTimeout = 10 * time.Second
)

// commandLine is the command line.
type commandLine struct {
	File    string           `arg:"" type:"existingfile" help:"TOML file of services and their endpoints."`
	Quiet   bool             `help:"Don't print requests."`
	Crash   bool             `help:"End like a crash, without a graceful shutdown."`
	Version kong.VersionFlag `help:"Print the version and exit."`
}

func main() {
	var line commandLine
	parsed := kong.Parse(&line, kong.Name("rowan-endpointsim"), kong.Description("Simulate the endpoints of a serving system."),
		kong.Vars{"version": process.Version()}, kong.ShortUsageOnError())
	ctx, stop := signal.NotifyContext(context.Background(), syscall.SIGTERM, syscall.SIGINT)
	defer stop()
	parsed.FatalIfErrorf(run(ctx, &line))
}

// run runs the endpoints until the context ends.
func run(ctx context.Context, line *commandLine) error {
	file, err := loadFile(line.File)
	if err != nil {
		return err
	}
	running := context.WithoutCancel(ctx) // the endpoints are ended below, not by the signal
	endpoints, err := startEndpoints(running, file, requestPrinter(line.Quiet))
	if err != nil {
		return err
	}
	if err := submitConfiguration(ctx, file, filepath.Dir(line.File)); err != nil {
		return err
	}
	<-ctx.Done()
	if !line.Crash {
		shutDownEndpoints(running, endpoints)
	}
	return nil
}

// requestPrinter returns a function that prints each phase of a request; nil if nothing is to be printed.
func requestPrinter(quiet bool) func(endpoint.RequestEvent) {
	if quiet {
		return nil
	}
	return func(e endpoint.RequestEvent) { fmt.Printf("%s %s\n", e.At.Format("15:04:05.000"), e) }
}

// startEndpoints starts all endpoints of the file.
func startEndpoints(
	ctx context.Context, file *simulationFile, onRequest func(endpoint.RequestEvent),
) (started []*endpoint.Endpoint, err error) {
	for _, options := range file.endpoints() {
		options.OnRequest = onRequest
		e, err := endpoint.Start(ctx, options)
		if err != nil {
			return nil, errors.Wrapf(err, "service %s", options.Service)
		}
		fmt.Printf("%s of %s in %s at %s\n", e.ID, options.Service, options.Zone, e.Address())
		started = append(started, e)
	}
	return started, nil
}

// submitConfiguration submits the first configuration. It has no effect if the system has one already.
func submitConfiguration(ctx context.Context, file *simulationFile, folder string) error {
	if file.Configuration == "" {
		return nil
	}
	document, err := os.ReadFile(filepath.Join(folder, file.Configuration))
	if err != nil {
		return errors.Wrap(err, "configuration")
	}
	ctx, cancel := context.WithTimeout(ctx, configureTimeout)
	defer cancel()
	operator := &client.Client{Addresses: file.Control}
	err = operator.ReplaceConfiguration(ctx, 0, document)
	var rejection *client.RejectedError
	if errors.As(err, &rejection) {
		fmt.Println("the system keeps the configuration that it has:", rejection.Text)
		return nil
	}
	if err == nil {
		fmt.Println("the first configuration is in force")
	}
	return errors.Wrap(err, "configuration")
}

// shutDownEndpoints shuts all endpoints down gracefully.
func shutDownEndpoints(ctx context.Context, endpoints []*endpoint.Endpoint) {
	ctx, cancel := context.WithTimeout(ctx, shutdownTimeout)
	defer cancel()
	var shutdowns sync.WaitGroup
	for _, e := range endpoints {
		shutdowns.Go(func() {
			if err := e.Shutdown(ctx); err != nil {
				_, _ = fmt.Fprintln(os.Stderr, e.ID, err)
			}
		})
	}
	shutdowns.Wait()
}
