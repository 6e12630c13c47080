package rollout

import (
	"rowanlink/serving/state"
)

const (
	// requiredBadEndpoints is the number of the target's endpoints that must have given bad answers, and
	// requiredBadShare their share of those with testedAnswers answers at least: the fault of a few endpoints is not one
	// of the version. Of endpoints that are loaded on purpose requiredBadProbes suffice, or a single one where hardly
	// any answer of the versions in force fails.
	requiredBadEndpoints = 3
	requiredBadShare     = 0.4
	requiredBadProbes    = 2
	calmFailureShare     = 0.005 // of the baseline's answers, up to which a single such endpoint suffices
	testedAnswers        = 4
)

// Spread counts the target's endpoints by what their answers were like.
type Spread struct {
	Bad       int // endpoints with bad answers, but those that were loaded on purpose
	Tested    int // endpoints with testedAnswers answers at least, but those
	TestedBad int // of these, endpoints with bad answers
	BadProbes int // endpoints that were loaded on purpose, with bad answers
}

// spread counts the target's endpoints.
func (e *evidence) spread() (s Spread) {
	for _, counts := range e.endpoints {
		isBad := count(counts.Bad > 0)
		if counts.LoadProbe {
			s.BadProbes += isBad
			continue
		}
		s.Bad += isBad
		if counts.Answers >= testedAnswers {
			s.Tested++
			s.TestedBad += isBad
		}
	}
	return s
}

// isOfVersion reports whether so many of the target's endpoints gave bad answers that the fault is one of the version.
// live is the number of the target's endpoints.
func (s *Spread) isOfVersion(live int) bool {
	return s.Bad >= min(requiredBadEndpoints, max(live, 1)) && float64(s.TestedBad) >= requiredBadShare*float64(s.Tested)
}

// isOfProbes reports whether so many of the endpoints that were loaded on purpose gave bad answers that the fault is one
// of the version. baseline are the counts of the versions in force.
func (s *Spread) isOfProbes(live int, baseline state.AnswerCounts) bool {
	required := requiredBadProbes
	if float64(baseline.Failed) <= calmFailureShare*float64(baseline.Answers) {
		required = 1
	}
	return s.BadProbes >= min(required, max(live, 1))
}

// count returns 1 if the condition holds.
func count(condition bool) int {
	if condition {
		return 1
	}
	return 0
}
