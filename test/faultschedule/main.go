// Command harddays writes a deployment file whose days are harder than the standard ones: each holds many troubles at
// once, drawn by a seed, with every variant that the bench knows. The deployment itself is that of a given site file.
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

// commandLine are the command line.
type commandLine struct {
	Site    string  `help:"Site file whose deployment is taken." required:""`
	Out     string  `help:"File to write; the files beside the site file that it needs are copied next to it." required:""`
	Seed    int64   `help:"The same seed draws the same days." default:"1"`
	Days    int     `help:"How many days." default:"30"`
	Least   int     `help:"Fewest troubles in a day." default:"5"`
	Most    int     `help:"Most troubles in a day." default:"10"`
	Calm    bool    `help:"Leave the core and the links in peace: rules with a time bound then hold throughout."`
	Control bool    `help:"Draw the troubles of the control side alone, each in all its variants."`
	Long    float64 `help:"Seconds of traffic, in place of the file's own." default:"0"`
}

func main() {
	var given commandLine
	parser := kong.Parse(&given)
	parser.FatalIfErrorf(writeDeployment(&given))
}

// writeDeployment draws the days and puts them behind the deployment's own part of the site file.
func writeDeployment(given *commandLine) error {
	text, err := os.ReadFile(given.Site)
	if err != nil {
		return errors.Wrap(err, "reading the site file")
	}
	site, err := parseSite(text)
	if err != nil {
		return err
	}
	if err := os.MkdirAll(filepath.Dir(given.Out), 0o755); err != nil {
		return errors.Wrap(err, "making the folder of the file to write")
	}
	if err := copyWireNames(given); err != nil {
		return err
	}
	if given.Long > 0 {
		site.setLength(given.Long)
	}
	days := randomDays(site, given)
	return errors.Wrap(os.WriteFile(given.Out, []byte(site.deployment+days), 0o644), "writing the days")
}

// copyWireNames copies the table of wire names that the site file refers to.
func copyWireNames(given *commandLine) error {
	const wireNames = "wire.json"
	table, err := os.ReadFile(filepath.Join(filepath.Dir(given.Site), wireNames))
	if err != nil {
		return errors.Wrap(err, "reading the wire names")
	}
	return errors.Wrap(os.WriteFile(filepath.Join(filepath.Dir(given.Out), wireNames), table, 0o644), "copying the wire names")
}
