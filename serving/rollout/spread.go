package rollout

import (
	"rowanlink/serving/state"
)

const (
	// A fault of a few endpoints isn't a fault of the version. So the version counts as faulty only if at least
	// requiredBadEndpoints of the target's endpoints gave bad answers, and at least requiredBadShare of its tested
	// endpoints did, which are those with at least minTestedAnswers answers.
	requiredBadEndpoints = 3
	requiredBadShare     = 0.4
	// Of the load probes, requiredBadProbes with bad answers suffice. A single one suffices if at most
	// healthyFailureShare of the baseline's answers fail.
	requiredBadProbes   = 2
	healthyFailureShare = 0.005
	minTestedAnswers    = 4
)

// FaultSpread tells how far bad answers are spread over the target's endpoints.
type FaultSpread struct {
	Bad       int // endpoints with bad answers, load probes excluded
	Tested    int // endpoints with at least minTestedAnswers answers, load probes excluded
	TestedBad int // those of Tested with bad answers
	BadProbes int // load probes with bad answers
}

// spread returns how far bad answers are spread over the target's endpoints.
func (e *evidence) spread() (s FaultSpread) {
	for _, counts := range e.endpoints {
		isBad := boolToInt(counts.Bad > 0)
		if counts.LoadProbe {
			s.BadProbes += isBad
			continue
		}
		s.Bad += isBad
		if counts.Answers >= minTestedAnswers {
			s.Tested++
			s.TestedBad += isBad
		}
	}
	return s
}

// isVersionFault reports whether so many of the target's endpoints gave bad answers that the fault is one of the version.
// live is the number of the target's endpoints that accept requests and respond.
func (s *FaultSpread) isVersionFault(live int) bool {
	return s.Bad >= min(requiredBadEndpoints, max(live, 1)) && float64(s.TestedBad) >= requiredBadShare*float64(s.Tested)
}

// isVersionFaultUnderLoad reports whether so many of the load probes gave bad answers that the fault is one of the
// version. baseline has the counts of the versions in force.
func (s *FaultSpread) isVersionFaultUnderLoad(live int, baseline state.AnswerCounts) bool {
	required := requiredBadProbes
	if float64(baseline.Failed) <= healthyFailureShare*float64(baseline.Answers) {
		required = 1
	}
	return s.BadProbes >= min(required, max(live, 1))
}

// boolToInt returns 1 if the condition holds, 0 otherwise.
func boolToInt(condition bool) int {
	if condition {
		return 1
	}
	return 0
}
