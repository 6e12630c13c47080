package main

import (
	"fmt"
	"math/rand"
	"strings"
)

// The times of a day, in seconds from the start of its traffic.
const (
	firstFaultTime = 2.0
	quietSpan     = 3.0 // before the end of the traffic
	clusterSpan  = 0.6 // troubles that are meant to meet begin within it
)

// randomDays draws all days and writes them as the site file would.
func randomDays(from *site, given *commandLine) string {
	chance := rand.New(rand.NewSource(given.Seed))
	var text strings.Builder
	for number := range given.Days {
		writeDay(&text, from, chance, given, number)
	}
	return text.String()
}

// writeDay writes one day: its name, its marks, which are as low as can be, its troubles and its traffic.
func writeDay(text *strings.Builder, from *site, chance *rand.Rand, given *commandLine, number int) {
	fmt.Fprintf(text, "%s\nname = \"hard-%d-%d\"\nslot = \"trouble\"\nseed = %d\n", dayHeader, given.Seed, number, chance.Int63n(1e9))
	fmt.Fprintf(text, "one = 0.9\nzero = 0.0\ngoal = { floor = 0.05 }\nlabels = []\nwall = 20.0\nlight = true\n")
	closing := randomEnding
	if given.Control {
		closing = randomControlEnding
	}
	fmt.Fprintf(text, "closing = %s\n", closing(chance))
	plan, faults := randomFaults(from, chance, given)
	writeList(text, "plan", plan)
	writeList(text, "faults", faults)
	fmt.Fprintf(text, "%s\n\n", from.traffic[chance.Intn(len(from.traffic))])
}

// randomFaults draws the troubles of a day. A third of the days have them all begin at one moment, a third in two
// clusters, the others spread them out.
func randomFaults(from *site, chance *rand.Rand, given *commandLine) (plan, faults []string) {
	moments := randomTimes(from, chance)
	many := given.Least + chance.Intn(given.Most-given.Least+1)
	choice := allowedFaultKinds(given)
	for range many {
		at := moments[chance.Intn(len(moments))] + chance.Float64()*clusterSpan
		kind := pickOne(chance, choice)
		entry := fmt.Sprintf("{ at = %.2f, %s }", at, kind.generate(from, chance))
		if kind.planned {
			plan = append(plan, entry)
		} else {
			faults = append(faults, entry)
		}
	}
	return plan, faults
}

// randomTimes draws the moments at which troubles begin.
func randomTimes(from *site, chance *rand.Rand) []float64 {
	last := from.Length - quietSpan
	many := []int{1, 2, 12}[chance.Intn(3)]
	moments := make([]float64, many)
	for index := range moments {
		moments[index] = firstFaultTime + chance.Float64()*(last-firstFaultTime)
	}
	return moments
}

// writeList writes the entries as a list of the given name.
func writeList(text *strings.Builder, name string, entries []string) {
	fmt.Fprintf(text, "%s = [\n", name)
	for _, entry := range entries {
		fmt.Fprintf(text, "  %s,\n", entry)
	}
	text.WriteString("]\n")
}

// allowedFaultKinds are the kinds that a day may draw from: all or those of the control side, and only those that leave the
// core and the machines in touch where that is asked for.
func allowedFaultKinds(given *commandLine) []faultKind {
	choice := allFaultKinds
	if given.Control {
		choice = controlFaultKinds
	}
	var allowed []faultKind
	for _, one := range choice {
		if !given.Calm || !one.disruptive {
			allowed = append(allowed, one)
		}
	}
	return allowed
}
