package main

import (
	"fmt"
	"os"

	"github.com/cockroachdb/errors"

	"rowanlink/serving/errcode"
	"rowanlink/serving/operator/client"
	"rowanlink/serving/routing"
)

// configCommand groups the commands on the configuration.
type configCommand struct {
	Get   configGetCommand   `cmd:"" help:"Print the configuration in force, as it was put."`
	Put   configPutCommand   `cmd:"" help:"Replace the configuration."`
	Amend configAmendCommand `cmd:"" help:"Add, replace or remove named routes and services."`
	Check configCheckCommand `cmd:"" help:"Tell whether a document would be taken, without calling anybody."`
}

// configGetCommand prints the configuration in force, byte for byte as it was put.
type configGetCommand struct{}

// Run implements the command.
func (c *configGetCommand) Run(s *session) error {
	operator, err := s.operator()
	if err != nil {
		return err
	}
	document, err := operator.Configuration(s.ctx)
	if err != nil {
		return err
	}
	_, err = fmt.Fprintf(s.out, "%s\n", document)
	return err
}

// configPutCommand replaces the configuration.
type configPutCommand struct {
	File string `arg:"" type:"existingfile" help:"Configuration document."`
	Base uint64 `required:"" placeholder:"VERSION" help:"Version that the document builds on, as 'rowanctl config get' shows it; 0 if there is none yet."`
}

// Run implements the command.
func (c *configPutCommand) Run(s *session) error {
	document, err := os.ReadFile(c.File)
	if err != nil {
		return errors.Wrap(err, "read configuration")
	}
	operator, err := s.operator()
	if err != nil {
		return err
	}
	if err := operator.ReplaceConfiguration(s.ctx, c.Base, document); err != nil {
		return err
	}
	return s.done("in force")
}

// configAmendCommand changes named items of the configuration.
type configAmendCommand struct {
	File   string `arg:"" type:"existingfile" help:"Amendment: a JSON object with 'edition', 'upsert' and 'remove'."`
	Base   uint64 `required:"" placeholder:"VERSION" help:"Version that the amendment builds on, as 'rowanctl config get' shows it; 0 if there is none yet."`
	DryRun bool   `help:"Show what would change, and check the result, without changing anything."`
}

// Run implements the command.
func (c *configAmendCommand) Run(s *session) error {
	text, err := os.ReadFile(c.File)
	if err != nil {
		return errors.Wrap(err, "read amendment")
	}
	amendment, err := routing.ParseAmendment(text)
	if err != nil {
		return err
	}
	operator, err := s.operator()
	if err != nil {
		return err
	}
	if c.DryRun {
		return c.show(s, operator, amendment)
	}
	if err := operator.AmendConfiguration(s.ctx, c.Base, text); err != nil {
		return err
	}
	return s.done("in force")
}

// show prints what the amendment would change in the configuration in force. The errors are those that the order
// would be refused with.
func (c *configAmendCommand) show(s *session, operator *client.Client, amendment *routing.Amendment) error {
	document, err := operator.Configuration(s.ctx)
	if err != nil {
		return err
	}
	before, err := routing.Parse(document)
	if err != nil {
		return err
	}
	if before.Version != c.Base {
		return errcode.VersionConflict.With("version %d is current, not %d", before.Version, c.Base)
	}
	if amendment.Version <= before.Version {
		return errcode.VersionNotAbove.With("%d is not above %d", amendment.Version, before.Version)
	}
	if _, err := routing.Parse(amendment.Apply(document)); err != nil {
		return err
	}
	difference := amendment.Changes(document)
	lines := make([]string, 0, len(difference))
	for _, change := range difference {
		lines = append(lines, string(change.Kind)+" "+change.List+" "+change.Name)
	}
	return s.print(difference, lines, nil)
}

// configCheckCommand checks a configuration document without calling anybody.
type configCheckCommand struct {
	File string `arg:"" type:"existingfile" help:"Configuration document."`
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
	checked := checkedDocument{Version: table.Version, Routes: len(table.Routes()), Services: len(table.Services())}
	line := fmt.Sprintf("the document is in order: version %d, %d routes, %d services",
		checked.Version, checked.Routes, checked.Services)
	return s.print(checked, []string{line}, nil)
}

// checkedDocument sums up a document that is in order.
type checkedDocument struct {
	Version  uint64 `json:"version"`
	Routes   int    `json:"routes"`
	Services int    `json:"services"`
}

// evacuateCommand evacuates a zone or takes that back.
type evacuateCommand struct {
	Zone string `arg:"" help:"Zone whose endpoints are to get nothing more."`
	End  bool   `help:"Take the evacuation back."`
}

// Run implements the command.
func (c *evacuateCommand) Run(s *session) error {
	operator, err := s.operator()
	if err != nil {
		return err
	}
	change, outcome := operator.Evacuate, "evacuated"
	if c.End {
		change, outcome = operator.EndEvacuation, "back in use"
	}
	if err := change(s.ctx, c.Zone); err != nil {
		return err
	}
	return s.done(outcome)
}

// operator is where the session's orders go. The error is errNoControl.
func (s *session) operator() (*client.Client, error) {
	if len(s.where.control) == 0 {
		return nil, errNoControl
	}
	return &client.Client{Addresses: s.where.control}, nil
}

// acknowledged is the answer to an order that was carried out.
type acknowledged struct {
	Acknowledged bool   `json:"acknowledged"`
	Outcome      string `json:"outcome"`
}

// done prints that an order was carried out.
func (s *session) done(outcome string) error {
	return s.print(acknowledged{Acknowledged: true, Outcome: outcome}, []string{"acknowledged: " + outcome}, nil)
}
