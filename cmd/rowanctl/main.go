// Command rowanctl is the operators' command line: it reads and changes the configuration, evacuates zones, and
// shows what the members of the system know.
package main

import (
	"context"
	"fmt"
	"io"
	"os"
	"slices"
	"strings"
	"time"

	"github.com/alecthomas/kong"
	"github.com/cockroachdb/errors"

	"rowanlink/serving/operator/client"
	"rowanlink/serving/process"
)

// grammar is the command line.
type grammar struct {
	Control  []string         `help:"Control addresses (host:port) of the system; more than one are tried in turn." env:"ROWANLINK_CONTROL" placeholder:"ADDRESS"`
	Inner    []string         `help:"Addresses (host:port) at which a member takes other members' calls; needed where --settings is not given." env:"ROWANLINK_INNER" placeholder:"ADDRESS"`
	Settings string           `help:"Settings file of a process: its seeds stand in for --control and --inner." env:"ROWANLINK_SETTINGS" type:"path"`
	Timeout  time.Duration    `help:"How long to try." default:"10s"`
	JSON     bool             `help:"Print JSON instead of tables."`
	Version  kong.VersionFlag `help:"Print the version and end."`

	Config        configCommand    `cmd:"" help:"Read, check or replace the configuration."`
	Evacuate      evacuateCommand  `cmd:"" help:"Send nothing more to the endpoints of a zone, or take that back."`
	Members       membersCommand   `cmd:"" help:"List the members of the system."`
	Endpoints     endpointsCommand `cmd:"" help:"List the endpoints."`
	Replicas      replicasCommand  `cmd:"" help:"List the replicas of the configuration and evacuations."`
	Duties        dutiesCommand    `cmd:"" help:"List the singleton duties and who does them."`
	Versions      versionsCommand  `cmd:"" help:"List which record and configuration each member has."`
	CheckSettings settingsCommand  `cmd:"" name:"settings" help:"Check the settings file of a process."`
}

// offlineCommands begin with these words: they call nobody, and a settings file that is wrong doesn't keep them from
// saying so.
var offlineCommands = []string{"settings check", "config check"}

// session is what each command gets: where to call, how long, and where to print.
type session struct {
	ctx   context.Context
	where targets
	out   io.Writer
	json  bool
}

// description stands at the top of the help.
const description = `Operate a rowanlink serving system.

Exit codes: 0 done; 1 failed, nothing was changed; 3 refused, nothing was changed; 4 no clear answer in time, the order
may or may not be in force: send it again unchanged; 80 the command line is wrong.`

func main() {
	var line grammar
	parsed := kong.Parse(&line, kong.Name("rowanctl"), kong.Description(description),
		kong.Vars{"version": process.Version()}, kong.ShortUsageOnError(),
		kong.ConfigureHelp(kong.HelpOptions{Compact: true, NoExpandSubcommands: false}))
	if err := run(&line, parsed); err != nil {
		fmt.Fprintf(os.Stderr, "rowanctl: %v\n", err)
		os.Exit(exitCode(err))
	}
}

// run carries the command out.
func run(line *grammar, parsed *kong.Context) error {
	offline := slices.ContainsFunc(offlineCommands, func(command string) bool {
		return strings.HasPrefix(parsed.Command(), command)
	})
	var where targets
	if !offline {
		var err error
		if where, err = line.targets(); err != nil {
			return err
		}
	}
	ctx, cancel := context.WithTimeout(context.Background(), line.Timeout)
	defer cancel()
	return parsed.Run(&session{ctx: ctx, where: where, out: os.Stdout, json: line.JSON})
}

// Exit codes; kong's own is 80, for a command line that is wrong.
const (
	exitFailed  = 1
	exitRefused = 3
	exitUnclear = 4
)

// exitCode is the code with which the command ends over an error.
func exitCode(err error) int {
	var refusal *client.RejectedError
	switch {
	case errors.Is(err, client.ErrInDoubt):
		return exitUnclear
	case errors.As(err, &refusal):
		return exitRefused
	default:
		return exitFailed
	}
}
