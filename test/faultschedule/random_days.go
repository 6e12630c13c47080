package main

import (
	"fmt"
	"math/rand"
	"strings"
)

// Times of a day, in seconds from the start of its traffic.
const (
	firstFaultTime = 2.0
	quietSpan      = 3.0 // before the end of the traffic
	clusterSpan    = 0.6 // in which the faults of a cluster begin
)

// randomDays returns all days in the form of the site file.
func randomDays(from *site, options *commandLine) string {
	random := rand.New(rand.NewSource(options.Seed))
	var text strings.Builder
	for number := range options.Days {
		writeDay(&text, from, random, options, number)
	}
	return text.String()
}

// writeDay writes one day: its name, its thresholds, which are as low as possible, its faults and its traffic.
func writeDay(text *strings.Builder, from *site, random *rand.Rand, options *commandLine, number int) {
	fmt.Fprintf(text, "%s\nname = \"hard-%d-%d\"\nslot = \"trouble\"\nseed = %d\n", dayHeader, options.Seed, number, random.Int63n(1e9))
	fmt.Fprintf(text, "one = 0.9\nzero = 0.0\ngoal = { floor = 0.05 }\nlabels = []\nwall = 20.0\nlight = true\n")
	generateEnding := randomEnding
	if options.Control {
		generateEnding = randomControlEnding
	}
	fmt.Fprintf(text, "closing = %s\n", generateEnding(random))
	plan, faults := randomFaults(from, random, options)
	writeList(text, "plan", plan)
	writeList(text, "faults", faults)
	fmt.Fprintf(text, "%s\n\n", from.traffic[random.Intn(len(from.traffic))])
}

// randomFaults returns the faults of a day. On a third of the days all begin in one cluster, on a third in two, on the
// others they are spread out.
func randomFaults(from *site, random *rand.Rand, options *commandLine) (plan, faults []string) {
	times := randomTimes(from, random)
	count := options.Least + random.Intn(options.Most-options.Least+1)
	kinds := allowedFaultKinds(options)
	for range count {
		at := times[random.Intn(len(times))] + random.Float64()*clusterSpan
		kind := pickOne(random, kinds)
		entry := fmt.Sprintf("{ at = %.2f, %s }", at, kind.generate(from, random))
		if kind.planned {
			plan = append(plan, entry)
		} else {
			faults = append(faults, entry)
		}
	}
	return plan, faults
}

// randomTimes returns the times at which faults begin.
func randomTimes(from *site, random *rand.Rand) []float64 {
	last := from.Length - quietSpan
	count := []int{1, 2, 12}[random.Intn(3)]
	times := make([]float64, count)
	for index := range times {
		times[index] = firstFaultTime + random.Float64()*(last-firstFaultTime)
	}
	return times
}

// writeList writes the entries as a list with the name.
func writeList(text *strings.Builder, name string, entries []string) {
	fmt.Fprintf(text, "%s = [\n", name)
	for _, entry := range entries {
		fmt.Fprintf(text, "  %s,\n", entry)
	}
	text.WriteString("]\n")
}

// allowedFaultKinds returns the kinds that a day may have: all or those of the control plane, and with Calm only those
// that are not disruptive.
func allowedFaultKinds(options *commandLine) []faultKind {
	choice := allFaultKinds
	if options.Control {
		choice = controlFaultKinds
	}
	var allowed []faultKind
	for _, one := range choice {
		if !options.Calm || !one.disruptive {
			allowed = append(allowed, one)
		}
	}
	return allowed
}
