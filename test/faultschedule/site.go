package main

import (
	"fmt"
	"strings"

	"github.com/cockroachdb/errors"
	"github.com/pelletier/go-toml/v2"
)

// dayHeader begins each day of a site file.
const dayHeader = "[[day]]"

// namedEntry is a table of which only the name is needed.
type namedEntry struct {
	Name  string `toml:"name"`
	Model string `toml:"model"`
}

// site is what is needed of a site file.
type site struct {
	deployment string // the text before the first day
	Length     float64
	Zones      []namedEntry
	Services   []namedEntry
	Classes    []namedEntry
	traffic    []string // the traffic blocks of the file's own days, as text
}

// parseSite parses a site file.
func parseSite(text []byte) (*site, error) {
	deployment, days, found := strings.Cut(string(text), dayHeader)
	if !found {
		return nil, errors.New("the site file has no day")
	}
	var read struct {
		Length   float64      `toml:"length_s"`
		Zones    []namedEntry `toml:"zones"`
		Services []namedEntry `toml:"services"`
		Classes  []namedEntry `toml:"classes"`
	}
	if err := toml.Unmarshal([]byte(deployment), &read); err != nil {
		return nil, errors.Wrap(err, "parsing the site file")
	}
	drawn := &site{deployment: deployment, Length: read.Length, Zones: read.Zones, Services: read.Services, Classes: read.Classes}
	drawn.traffic = trafficBlocks(days)
	if len(drawn.traffic) == 0 {
		return nil, errors.New("no day of the site file has traffic")
	}
	return drawn, nil
}

// trafficBlocks returns the traffic block of each day.
func trafficBlocks(days string) []string {
	const begin, end = "\ntraffic = [", "\n]"
	var blocks []string
	for _, part := range strings.Split(days, begin)[1:] {
		body, _, found := strings.Cut(part, end)
		if found {
			blocks = append(blocks, strings.TrimPrefix(begin, "\n")+body+end)
		}
	}
	return blocks
}

// setLength sets the length of the days in seconds.
func (s *site) setLength(seconds float64) {
	lines := strings.Split(s.deployment, "\n")
	for index, line := range lines {
		if strings.HasPrefix(line, "length_s = ") {
			lines[index] = fmt.Sprintf("length_s = %.1f", seconds)
		}
	}
	s.deployment = strings.Join(lines, "\n")
	s.Length = seconds
}
