package mutants

// endpointMutants has the guards of what is acknowledged to endpoints and operators, and of successors.
var endpointMutants = []mutant{
	{
		name:    "an endpoint's end is acknowledged by one disk alone",
		file:    "serving/endpoints/exchange/replication.go",
		old:     "return awaitQuorum(ctx, results, copies, targets.Quorum)",
		replace: "return awaitQuorum(ctx, results, copies, targets.Quorum-1)",
		pkg:     "serving/endpoints/exchange", tests: "TestPutReplicated",
	},
	{
		name:    "a member acknowledges an endpoint's end from memory",
		file:    "serving/member/handlers.go",
		old:     "if message.Durable {",
		replace: "if message.Durable && false {",
		pkg:     "serving/member", tests: "TestPushDurable",
	},
	{
		name:    "an older state of an endpoint replaces its end on disk",
		file:    "serving/core/departures.go",
		old:     "if !d.isNewer(endpoint) {",
		replace: "if false {",
		pkg:     "serving/core", tests: "TestEndpointSaver",
	},
	{
		name:    "a snapshot drops the ends of endpoints from the disk",
		file:    "serving/core/endpointsaver.go",
		old:     "if changes.Snapshot {",
		replace: "if false {",
		pkg:     "serving/core", tests: "TestEndpointSaver",
	},
	{
		name:    "the ends of endpoints on disk aren't restored",
		file:    "serving/core/endpointrestorer.go",
		old:     "departed := r.publishDepartures(saved)",
		replace: "departed := 0",
		pkg:     "serving/core", tests: "TestEndpointRestorer",
	},
	{
		name:    "what came from one other member counts as replicated",
		file:    "serving/endpoints/merge.go",
		old:     "	t.recordBroadcast(e)\n}",
		replace: "	t.recordBroadcast(e)\n	e.broadcast.replicated = true\n}",
		pkg:     "serving/operator", tests: "TestDeregistration",
	},
	{
		name:    "late heartbeats bring a departed endpoint back",
		file:    "serving/endpoints/registration.go",
		old:     "if !confirmed {",
		replace: "if false {",
		pkg:     "serving/endpoints", tests: "TestTable",
	},
	{
		name:    "a successor that departs while it is checked is registered",
		file:    "serving/endpoints/heartbeat.go",
		old:     "e.successor = nil // it may be",
		replace: "// it may be",
		pkg:     "serving/endpoints", tests: "TestTable",
	},
	{
		name:    "a departure is acknowledged before the proxies have applied it",
		file:    "serving/endpoints/exchange/replication.go",
		old:     "unconfirmed := notified.Wait()",
		replace: "unconfirmed := 0\n\tnotified.Cancel()",
		pkg:     "serving/endpoints/exchange", tests: "TestPutReplicated",
	},
	{
		name:    "a change is acknowledged before the proxies have applied it",
		file:    "serving/core/appliedregister.go",
		old:     "unconfirmed := notified.Wait()",
		replace: "unconfirmed := 0\n\tnotified.Cancel()",
		pkg:     "serving/core", tests: "TestAppliedRegister",
	},
	{
		name:    "an agent confirms what its proxy hasn't applied",
		file:    "serving/agent/applied.go",
		old:     "return current && position <= p.applied.endpointsPosition",
		replace: "return current && position > 0",
		pkg:     "serving/agent", tests: "TestAwaitApplied",
	},
}
