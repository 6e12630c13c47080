package main

import (
	"rowanlink/serving/settings"
)

// settingsCommand groups the commands for settings files.
type settingsCommand struct {
	Check settingsCheckCommand `cmd:"" help:"Validate a settings file."`
}

// settingsCheckCommand validates a settings file.
type settingsCheckCommand struct {
	File string `arg:"" type:"existingfile" help:"Settings file."`
}

// Run implements the command.
func (c *settingsCheckCommand) Run(s *session) error {
	processSettings, err := settings.Load(c.File)
	if err != nil {
		return err
	}
	return s.printLines(processSettings, "the file is in order")
}
