package event

import "github.com/rs/zerolog"

// Events of core processes (900 to 999).
var (
	RecordUnreadable            = define(900, zerolog.ErrorLevel, "the replicated record can't be decoded or encoded; it is skipped")
	RepairFailed                = define(901, zerolog.WarnLevel, "replica set could not be repaired; retrying")
	ChangeRecovered             = define(903, zerolog.InfoLevel, "a change that a lost member left unfinished was resolved")
	RecordApplied               = define(904, zerolog.InfoLevel, "a change of the record was committed, and the proxies have applied it")
	DeparturesPublished         = define(905, zerolog.InfoLevel, "endpoints that had departed before the start are published to the other members")
	RolloutAdvanced             = define(910, zerolog.InfoLevel, "roll-out advanced to its next step")
	RolloutPromoted             = define(911, zerolog.InfoLevel, "roll-out promoted: its target alone gets the service's requests")
	RolloutRolledBack           = define(912, zerolog.WarnLevel, "roll-out rolled back: its target gets no more requests")
	RolloutVerdict              = define(913, zerolog.InfoLevel, "this member decided on a roll-out; the decision is proposed to the register")
	RolloutDecisionNotCommitted = define(914, zerolog.WarnLevel, "a decision on a roll-out wasn't committed; it is proposed again")
	EndpointsRestored           = define(902, zerolog.InfoLevel, "endpoints known before the start were queried and restored")
)
