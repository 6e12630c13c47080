// Command faultschedule writes a deployment file whose days are harder than the standard ones: each has many faults at
// once, drawn at random by a seed, in every variant that the bench knows. The deployment itself is that of a given
// site file.
//
// Example:
//
//	go run ./test/faultschedule --site SITE.toml --seed 7 --days 30 --out /tmp/hard/SITE.toml
package main

import (
	"os"
	"path/filepath"

	"github.com/alecthomas/kong"
	"github.com/cockroachdb/errors"
)

// commandLine is the command line.
type commandLine struct {
	Site    string  `help:"Site file with the deployment." required:""`
	Out     string  `help:"File to write; the files beside the site file that it needs are copied next to it." required:""`
	Seed    int64   `help:"Equal seeds give equal days." default:"1"`
	Days    int     `help:"Number of days." default:"30"`
	Least   int     `help:"Least number of faults in a day." default:"5"`
	Most    int     `help:"Largest number of faults in a day." default:"10"`
	Calm    bool    `help:"No faults that disturb the core or the network: rules with a time bound then always hold."`
	Control bool    `help:"Faults of the control plane only, each in all its variants."`
	Long    float64 `help:"Seconds of traffic; 0: as in the file." default:"0"`
}

func main() {
	var options commandLine
	parser := kong.Parse(&options)
	parser.FatalIfErrorf(writeDeployment(&options))
}

// writeDeployment writes the deployment's own part of the site file, followed by random days.
func writeDeployment(options *commandLine) error {
	text, err := os.ReadFile(options.Site)
	if err != nil {
		return errors.Wrap(err, "reading the site file")
	}
	site, err := parseSite(text)
	if err != nil {
		return err
	}
	if err := os.MkdirAll(filepath.Dir(options.Out), 0o755); err != nil {
		return errors.Wrap(err, "making the folder of the file to write")
	}
	if err := copyWireNames(options); err != nil {
		return err
	}
	if options.Long > 0 {
		site.setLength(options.Long)
	}
	days := randomDays(site, options)
	return errors.Wrap(os.WriteFile(options.Out, []byte(site.deployment+days), 0o644), "writing the days")
}

// copyWireNames copies the table of wire names that the site file refers to.
func copyWireNames(options *commandLine) error {
	const wireNames = "wire.json"
	table, err := os.ReadFile(filepath.Join(filepath.Dir(options.Site), wireNames))
	if err != nil {
		return errors.Wrap(err, "reading the wire names")
	}
	return errors.Wrap(os.WriteFile(filepath.Join(filepath.Dir(options.Out), wireNames), table, 0o644), "copying the wire names")
}
