package main

import (
	"context"
	"fmt"
	"os"

	"github.com/cockroachdb/errors"

	"rowanlink/serving/errcode"
	"rowanlink/serving/operator/client"
	"rowanlink/serving/routing"
)

// configCommand groups the commands that read, change or check the configuration.
type configCommand struct {
	Get   configGetCommand   `cmd:"" help:"Print the configuration in force, byte for byte as it was sent."`
	Put   configPutCommand   `cmd:"" help:"Replace the configuration."`
	Amend configAmendCommand `cmd:"" help:"Add, replace or remove named routes and services."`
	Check configCheckCommand `cmd:"" help:"Validate a document without calling the system."`
}

// configGetCommand prints the configuration in force, byte for byte as it was sent.
type configGetCommand struct{}

// Run implements the command.
func (c *configGetCommand) Run(ctx context.Context, s *session) error {
	operator, err := s.operatorClient()
	if err != nil {
		return err
	}
	document, err := operator.Configuration(ctx)
	if err != nil {
		return err
	}
	_, err = fmt.Fprintf(s.out, "%s\n", document)
	return err
}

// configPutCommand replaces the configuration.
type configPutCommand struct {
	File string `arg:"" type:"existingfile" help:"Configuration document."`
	Base uint64 `required:"" placeholder:"VERSION" help:"Version that the document is based on, as 'rowanctl config get' shows it; 0 if there is none yet."`
}

// Run implements the command.
func (c *configPutCommand) Run(ctx context.Context, s *session) error {
	document, err := os.ReadFile(c.File)
	if err != nil {
		return errors.Wrap(err, "read configuration")
	}
	operator, err := s.operatorClient()
	if err != nil {
		return err
	}
	if err := operator.ReplaceConfiguration(ctx, c.Base, document); err != nil {
		return err
	}
	return s.printAcknowledgement("in force")
}

// configAmendCommand adds, replaces or removes named routes and services of the configuration.
type configAmendCommand struct {
	File   string `arg:"" type:"existingfile" help:"Amendment: a JSON object with 'edition', 'upsert' and 'remove'."`
	Base   uint64 `required:"" placeholder:"VERSION" help:"Version that the amendment is based on, as 'rowanctl config get' shows it; 0 if there is none yet."`
	DryRun bool   `help:"Show what would change, and validate the result, without changing anything."`
}

// Run implements the command.
func (c *configAmendCommand) Run(ctx context.Context, s *session) error {
	text, err := os.ReadFile(c.File)
	if err != nil {
		return errors.Wrap(err, "read amendment")
	}
	amendment, err := routing.ParseAmendment(text)
	if err != nil {
		return err
	}
	operator, err := s.operatorClient()
	if err != nil {
		return err
	}
	if c.DryRun {
		return c.printChanges(ctx, s, operator, amendment)
	}
	if err := operator.AmendConfiguration(ctx, c.Base, text); err != nil {
		return err
	}
	return s.printAcknowledgement("in force")
}

// printChanges prints what the amendment would change in the configuration in force. If the amendment would be
// rejected, it returns the error of the rejection.
func (c *configAmendCommand) printChanges(ctx context.Context, s *session, operator *client.Client,
	amendment *routing.Amendment) error {
	document, err := operator.Configuration(ctx)
	if err != nil {
		return err
	}
	current, err := routing.Parse(document)
	if err != nil {
		return err
	}
	if current.Version != c.Base {
		return errcode.VersionConflict.With("version %d is current, not %d", current.Version, c.Base)
	}
	if amendment.Version <= current.Version {
		return errcode.VersionNotAbove.With("%d is not above %d", amendment.Version, current.Version)
	}
	if _, err := routing.Parse(amendment.Apply(document)); err != nil {
		return err
	}
	changes := amendment.Changes(document)
	if changes == nil {
		changes = []routing.ItemChange{} // an empty list in JSON, not null
	}
	lines := make([]string, 0, len(changes))
	for _, change := range changes {
		lines = append(lines, fmt.Sprintf("%s %s %s", change.Kind, change.List, change.Name))
	}
	return s.printLines(changes, lines...)
}

// configCheckCommand validates a configuration document without calling the system.
type configCheckCommand struct {
	File string `arg:"" type:"existingfile" help:"Configuration document."`
}

// documentSummary sums up a valid document.
type documentSummary struct {
	Version  uint64 `json:"version"`
	Routes   int    `json:"routes"`
	Services int    `json:"services"`
}

// Run implements the command.
func (c *configCheckCommand) Run(s *session) error {
	document, err := os.ReadFile(c.File)
	if err != nil {
		return errors.Wrap(err, "read configuration")
	}
	table, err := routing.Parse(document)
	if err != nil {
		return err
	}
	summary := documentSummary{
		Version:  table.Version,
		Routes:   len(table.Routes()),
		Services: len(table.Services()),
	}
	line := fmt.Sprintf("the document is in order: version %d, %d routes, %d services",
		summary.Version, summary.Routes, summary.Services)
	return s.printLines(summary, line)
}
