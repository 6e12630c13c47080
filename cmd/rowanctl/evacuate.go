package main

import "context"

// evacuateCommand starts or ends the evacuation of a zone.
type evacuateCommand struct {
	Zone string `arg:"" help:"Zone to evacuate."`
	End  bool   `help:"End the evacuation."`
}

// Run implements the command.
func (c *evacuateCommand) Run(ctx context.Context, s *session) error {
	operator, err := s.operatorClient()
	if err != nil {
		return err
	}
	change, outcome := operator.Evacuate, "evacuated"
	if c.End {
		change, outcome = operator.EndEvacuation, "back in use"
	}
	if err := change(ctx, c.Zone); err != nil {
		return err
	}
	return s.printAcknowledgement(outcome)
}
