package mutants

// mutant is one guard taken out of the code. No file of the repository is changed.
type mutant struct {
	name    string // what the changed code does wrong
	file    string // below the repository's root
	old     string // stands once in the file
	replace string
	pkg     string // with the tests
	tests   string // regular expression of the tests, of which at least one must fail
}

// mutants has the guards of the register, the read path, quorum contact, leases and fences, membership and gossip.
var mutants = []mutant{
	{
		name: "a proposal below a promise is accepted",
		file: "serving/register/acceptorstate.go",
		old: "accept(request *AcceptRequest) transition {\n\tswitch {\n\tcase request.ReplicaID != s.ReplicaID:\n" +
			"\t\treturn transition{vote: Vote{Result: WrongReplica}}\n\tcase request.Ballot.Before(s.Promised):",
		replace: "accept(request *AcceptRequest) transition {\n\tswitch {\n\tcase request.ReplicaID != s.ReplicaID:\n" +
			"\t\treturn transition{vote: Vote{Result: WrongReplica}}\n\tcase false:",
		pkg: "serving/register", tests: "TestEnumeratedFaults|TestScripts",
	},
	{
		name:    "a vote is given for another replica's ID",
		file:    "serving/register/acceptorstate.go",
		old:     "prepare(request *PrepareRequest) transition {\n\tswitch {\n\tcase request.ReplicaID != s.ReplicaID:",
		replace: "prepare(request *PrepareRequest) transition {\n\tswitch {\n\tcase false:",
		pkg:     "serving/register", tests: "TestScripts",
	},
	{
		name: "a vote is visible before it is on disk",
		file: "serving/register/acceptor.go",
		old:  "\tif err := storage.save(result.next); err != nil {\n\t\treturn nil, err\n\t}\n\ta.durable.Store(&result.next)\n",
		replace: "\ta.durable.Store(&result.next)\n\tif err := storage.save(result.next); err != nil {\n\t\treturn nil, err\n" +
			"\t}\n",
		pkg: "serving/register", tests: "TestAcceptor_NoVoteBeforeDurable",
	},
	{
		name:    "the lowest accepted proposal is proposed again",
		file:    "serving/register/preparetally.go",
		old:     "if t.highestAccepted.Ballot.Before(accepted.Ballot) {",
		replace: "if t.highestAccepted.Ballot.IsZero() || accepted.Ballot.Before(t.highestAccepted.Ballot) {",
		pkg:     "serving/register", tests: "TestScripts|TestRandomHistories",
	},
	{
		name:    "a change of the voters needs no majority of the outgoing set",
		file:    "serving/register/jointconfig.go",
		old:     "return jointConfig{proposal.OutgoingVoters, proposal.Record.Voters}",
		replace: "return jointConfig{proposal.Record.Voters}",
		pkg:     "serving/register", tests: "TestScripts|TestExploreRegister",
	},
	{
		name:    "a change on an older version is accepted",
		file:    "serving/register/update.go",
		old:     "\tcase basedOn != current:\n",
		replace: "\tcase false:\n",
		pkg:     "serving/register", tests: "TestReplaceConfiguration|TestScripts",
	},
	{
		name:    "a repeated change is rejected",
		file:    "serving/register/update.go",
		old:     "case record.WasApplied(applied.Version, applied.Digest):",
		replace: "case false:",
		pkg:     "serving/register", tests: "TestReplaceConfiguration",
	},
	{
		name:    "a change older than the history is rejected",
		file:    "serving/register/update.go",
		old:     "case basedOn != current && record.MayBeForgotten(applied.Version):",
		replace: "case false:",
		pkg:     "serving/register", tests: "TestReplaceConfiguration",
	},
	{
		name:    "updates that an earlier release has dropped count as never applied",
		file:    "serving/state/history.go",
		old:     "\t\tr.ForgottenVersion = r.TruncatedVersion\n",
		replace: "",
		pkg:     "serving/state", tests: "TestAddToHistory|TestWasApplied",
	},
	{
		name:    "a change is proposed for a caller that has left",
		file:    "serving/register/attempt.go",
		old:     "if ctx.Err() != nil {",
		replace: "if false {",
		pkg:     "serving/register", tests: "TestChange_NoProposalForCancelledCaller",
	},
	{
		name:    "an evacuation's end that changes nothing isn't written as a fence",
		file:    "serving/register/attempt.go",
		old:     "isJoint() && !resolved.fence",
		replace: "isJoint()",
		pkg:     "serving/register", tests: "TestChange_Fences",
	},
	{
		name:    "a read returns what no majority has accepted",
		file:    "serving/register/read.go",
		old:     "case tally.isCommitted() && !tally.highestAccepted.Proposal.isJoint():",
		replace: "case true:",
		pkg:     "serving/register", tests: "TestRead_Finishes|TestUncommitted",
	},
	{
		name:    "a minority confirms an agent's record",
		file:    "serving/register/majorityrevision.go",
		old:     "if len(set.Replicas) == 0 || countVoters(set, answered) < set.Quorum() {",
		replace: "if len(set.Replicas) == 0 || countVoters(set, answered) < 1 {",
		pkg:     "serving/agent", tests: "TestConfirmRecord",
	},
	{
		name:    "a proxy's record goes back",
		file:    "serving/proxy/system_view.go",
		old:     "if record == nil || v.record != nil && record.Revision <= v.record.Revision {",
		replace: "if record == nil {",
		pkg:     "serving/proxy", tests: "TestSystemView",
	},
	{
		name:    "a minority counts as contact with a majority",
		file:    "serving/quorum/checker.go",
		old:     "live >= targets.Quorum",
		replace: "live+1 >= targets.Quorum",
		pkg:     "serving/quorum", tests: "TestChecker",
	},
	{
		name:    "a lease holder allows for no drift of clocks",
		file:    "cluster/lease/holder.go",
		old:     "api.Micros(float64(ttl)*(1-clockDrift)/(1+clockDrift)) - clockReadingError",
		replace: "ttl",
		pkg:     "cluster/lease", tests: "TestHolder|TestSimulat|TestModel|TestSearch",
	},
	{
		name:    "a former leader expires a session",
		file:    "cluster/lease/table.go",
		old:     "if op.LeaderEpoch != t.leaderEpoch {",
		replace: "if false {",
		pkg:     "cluster/lease", tests: "TestTable|TestSimulat|TestModel|TestSearch",
	},
	{
		name:    "a fence admits an earlier epoch",
		file:    "cluster/lease/fence.go",
		old:     "if e == 0 || e < f.highest[r] {",
		replace: "if e == 0 {",
		pkg:     "cluster/lease", tests: ".",
	},
	{
		name:    "a role's order under an earlier epoch is executed",
		file:    "serving/singleton/singleton.go",
		old:     "return epoch >= t.claimByRole[role].Epoch",
		replace: "return epoch > 0",
		pkg:     "serving/singleton", tests: ".",
	},
	{
		name:    "a single watcher of several marks a member as down",
		file:    "serving/membership/evaluation.go",
		old:     "const minVotesWithoutProbe = 2",
		replace: "const minVotesWithoutProbe = 1",
		pkg:     "serving/membership", tests: "TestDoubt",
	},
	{
		name:    "a member that responds is marked as down by its suspected watchers",
		file:    "serving/membership/doubt.go",
		old:     "return !certain[name] && now.Sub(t.members[name].lastContact) < RemoteSuspicionTimeout",
		replace: "return false",
		pkg:     "serving/membership", tests: "TestDoubt",
	},
	{
		name:    "a member is suspected by a minority of its watchers",
		file:    "serving/membership/evaluation.go",
		old:     "if set[name] && 2*votes <= voters {",
		replace: "if set[name] && votes == 0 && voters > 0 {",
		pkg:     "serving/membership", tests: "TestTick|TestDoubt",
	},
	{
		name:    "members that nobody alive watches are never probed",
		file:    "serving/membership/tick.go",
		old:     "\tt.evaluateConfirmations(now)\n",
		replace: "",
		pkg:     "serving/membership", tests: "TestConfirmation",
	},
	{
		name:    "a watcher that began to watch after the member's death counts as evidence that it is alive",
		file:    "serving/membership/confirmation.go",
		old:     " && !l.member.newestEvidenceAt.Before(since)",
		replace: "",
		pkg:     "serving/membership", tests: "TestConfirmation",
	},
	{
		name:    "a member is marked as down that other members still reach",
		file:    "serving/membership/probe.go",
		old:     "return tracked.reachable || ",
		replace: "return ",
		pkg:     "serving/membership", tests: "TestConfirmation",
	},
	{
		name:    "a watcher never says that it has taken a member for down",
		file:    "serving/membership/tick.go",
		old:     "if tracked.isLive() && !isOverdue {",
		replace: "if !tracked.isLive() || !isOverdue {",
		pkg:     "serving/membership", tests: "TestTick",
	},
	{
		name:    "a response doesn't stand for an overdue heartbeat",
		file:    "serving/membership/partition.go",
		old:     "\t\t\twatched.restartTimeout(now)\n",
		replace: "\t\t\t_ = watched\n",
		pkg:     "serving/membership", tests: "TestOverdueMembers",
	},
	{
		name:    "an older version of a member replaces a newer one",
		file:    "serving/membership/table.go",
		old:     "return IsNewer(version, known)",
		replace: "return version != known",
		pkg:     "serving/membership", tests: ".",
	},
	{
		name:    "a suspicion of a watcher's earlier incarnation counts",
		file:    "serving/membership/evaluation.go",
		old:     " &&\n\t\tsuspicion.WatcherIncarnation == watcher.member.Incarnation",
		replace: " && watcher != nil",
		pkg:     "serving/membership", tests: "TestMergeSuspicion_Invalidation",
	},
	{
		name:    "a key that has expired is stored again",
		file:    "serving/gossip/engine.go",
		old:     "if e.expired.hasExpired(id, entry.Version) {",
		replace: "if e.expired.hasExpired(id, entry.Version) && false {",
		pkg:     "serving/gossip", tests: ".",
	},
}
