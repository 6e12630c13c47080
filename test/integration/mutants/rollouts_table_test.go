package mutants

// rolloutMutants has the guards of roll-outs.
var rolloutMutants = []mutant{
	{
		name:    "a decision that is based on an older state of a roll-out is applied",
		file:    "serving/rollout/transition.go",
		old:     " || next.Revision != t.Revision {",
		replace: " {",
		pkg:     "serving/rollout", tests: "TestTransitions",
	},
	{
		name:    "an order that is sent again after its roll-out was rolled back begins it anew",
		file:    "serving/rollout/transition.go",
		old:     "known.State == state.RolloutRolledBack && !isRecent(known.OrderRevision)",
		replace: "known.State == state.RolloutRolledBack",
		pkg:     "serving/rollout", tests: "TestTransitions",
	},
	{
		name:    "a version that was rolled back isn't retired",
		file:    "serving/rollout/transition.go",
		old:     "		next.State = state.RolloutRolledBack\n		next.Retire(next.Target)",
		replace: "		next.State = state.RolloutRolledBack",
		pkg:     "serving/rollout", tests: "TestTransitions",
	},
	{
		name:    "a report that comes twice counts twice",
		file:    "serving/rollout/evidence.go",
		old:     "last.Incarnation == report.Incarnation && report.Sequence <= last.Sequence",
		replace: "false",
		pkg:     "serving/rollout", tests: "TestEvidence",
	},
	{
		name:    "bad answers of one endpoint roll a version back",
		file:    "serving/rollout/spread.go",
		old:     "s.Bad >= min(requiredBadEndpoints, max(live, 1)) && ",
		replace: "",
		pkg:     "serving/rollout", tests: "TestJudge",
	},
	{
		name:    "a target gets requests without a lease",
		file:    "serving/placement/rollout_draw.go",
		old:     " || !now.Before(r.leaseUntil):",
		replace: ":",
		pkg:     "serving/placement", tests: "TestRollout",
	},
	{
		name:    "a proxy's breaker doesn't close",
		file:    "serving/placement/rollout_draw.go",
		old:     "return draw, !r.breaker.isOpen(now)",
		replace: "return draw, true",
		pkg:     "serving/placement", tests: "TestRollout",
	},
	{
		name:    "retired versions get requests",
		file:    "serving/placement/rollout_versions.go",
		old:     "found && known.IsRetired(info.SoftwareVersion)",
		replace: "found && known.IsRetired(info.ID)",
		pkg:     "serving/placement", tests: "TestRollout",
	},
	{
		name:    "a new version gets requests before any order",
		file:    "serving/placement/rollout_versions.go",
		old:     "return p.isHeld(now, info) && !p.rollouts.versions[info.Service].allHeld",
		replace: "return false",
		pkg:     "serving/placement", tests: "TestRollout",
	},
	{
		name:    "leases are granted after a roll-back was decided",
		file:    "serving/core/rollouts.go",
		old:     " && !r.rollingBack[report.OrderRevision] {",
		replace: " {",
		pkg:     "serving/core", tests: "TestRolloutController",
	},
	{
		name:    "leases are granted without a majority",
		file:    "serving/core/rollouts.go",
		old:     "mayGrant := r.hasQuorum() && r.hasRole()",
		replace: "mayGrant := r.hasRole()",
		pkg:     "serving/core", tests: "TestRolloutController",
	},
}
