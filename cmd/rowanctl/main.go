// Command rowanctl is the operators' command line tool: it reads and changes the configuration, evacuates zones, rolls
// out software versions, and shows the state that the members of the system report.
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

// commandLine holds the flags and commands.
type commandLine struct {
	Control  []string         `help:"Control addresses (host:port) of core members, tried in turn." env:"ROWANLINK_CONTROL" placeholder:"ADDRESS"`
	Member   []string         `help:"Internal addresses (host:port) of the members to be asked what they know, instead of a core member at its control address." env:"ROWANLINK_MEMBER,ROWANLINK_INNER" aliases:"inner" placeholder:"ADDRESS"`
	Settings string           `help:"Settings file of a process; its seeds are the default of --control." env:"ROWANLINK_SETTINGS" type:"path"`
	Timeout  time.Duration    `help:"How long to retry." default:"10s"`
	JSON     bool             `help:"Print JSON instead of tables."`
	Version  kong.VersionFlag `help:"Print the version and exit."`

	Config        configCommand    `cmd:"" help:"Read, check or replace the configuration."`
	Evacuate      evacuateCommand  `cmd:"" help:"Start or end the evacuation of a zone: its endpoints get no more requests."`
	Rollout       rolloutCommand   `cmd:"" help:"Begin a roll-out of a software version, or show one."`
	Members       membersCommand   `cmd:"" help:"List the members of the system."`
	Endpoints     endpointsCommand `cmd:"" help:"List the endpoints."`
	Replicas      replicasCommand  `cmd:"" help:"List the replicas of the configuration and evacuations."`
	Roles         rolesCommand     `cmd:"" aliases:"duties" help:"List the singleton roles and the members that hold them."`
	Versions      versionsCommand  `cmd:"" help:"List which record and configuration each member has."`
	CheckSettings settingsCommand  `cmd:"" name:"settings" help:"Check the settings file of a process."`
}

// offlineCommands are the prefixes of commands that call no member. They must work without a valid settings file, since
// one of them checks such files.
var offlineCommands = []string{"settings check", "config check"}

// session holds the addresses that commands call and the form of their output.
type session struct {
	targets targets
	out     io.Writer
	json    bool
}

// description is the head of the help text.
const description = `Operate a rowanlink serving system.

Exit codes: 0 done; 1 failed, nothing was changed; 3 refused, nothing was changed; 4 no clear answer in time, the order
may or may not be in force: send it again unchanged; 80 the command line is wrong.`

func main() {
	var line commandLine
	parsed := kong.Parse(&line, kong.Name("rowanctl"), kong.Description(description),
		kong.Vars{"version": process.Version()}, kong.ShortUsageOnError(),
		kong.ConfigureHelp(kong.HelpOptions{Compact: true, NoExpandSubcommands: false}))
	if err := run(&line, parsed); err != nil {
		fmt.Fprintf(os.Stderr, "rowanctl: %v\n", err)
		os.Exit(exitCode(err))
	}
}

// run runs the parsed command.
func run(line *commandLine, parsed *kong.Context) error {
	isOffline := slices.ContainsFunc(offlineCommands, func(prefix string) bool {
		return strings.HasPrefix(parsed.Command(), prefix)
	})
	s := &session{out: os.Stdout, json: line.JSON}
	if !isOffline {
		var err error
		if s.targets, err = line.targets(); err != nil {
			return err
		}
	}
	ctx, cancel := context.WithTimeout(context.Background(), line.Timeout)
	defer cancel()
	parsed.BindTo(ctx, (*context.Context)(nil))
	return parsed.Run(s)
}

// Exit codes of a failed command. In addition, kong exits with 80 if the command line is invalid.
const (
	exitFailed   = 1
	exitRejected = 3
	exitInDoubt  = 4
)

// exitCode returns the exit code for an error of a command.
func exitCode(err error) int {
	var rejected *client.RejectedError
	switch {
	case errors.Is(err, client.ErrInDoubt):
		return exitInDoubt
	case errors.As(err, &rejected):
		return exitRejected
	default:
		return exitFailed
	}
}
