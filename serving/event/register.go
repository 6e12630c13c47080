package event

import "github.com/rs/zerolog"

// Events of the replicated register and its store (200 to 299).
var (
	ReplicaCreated         = define(200, zerolog.InfoLevel, "replica starts with an empty store under a new ID")
	ReplicaRestored        = define(201, zerolog.InfoLevel, "replica restored from its store")
	ReplicaJoined          = define(202, zerolog.InfoLevel, "replica is a voter of the register")
	ReplicaExpelled        = define(203, zerolog.WarnLevel, "replica lost its vote while absent; it continues under a new ID")
	ReplicasChanged        = define(204, zerolog.InfoLevel, "the voters of the register changed")
	ReplicaWithoutMajority = define(205, zerolog.WarnLevel, "no majority of the register yet; retrying")
	ReplicaStoreFailed     = define(206, zerolog.WarnLevel, "store fails to save; replica doesn't vote")
	ReplicaStoreRecovered  = define(207, zerolog.InfoLevel, "store saves again")
	ReplicaStoreUnreadable = define(208, zerolog.WarnLevel, "store can't be read yet; retrying")
	ReplicaIsLearner       = define(209, zerolog.InfoLevel, "replica is a learner: it stores the committed record and doesn't vote")
	StoreQuarantined       = define(210, zerolog.ErrorLevel, "store file is damaged and was moved aside; treated as a lost disk")
	EndpointStoreRemoved   = define(211, zerolog.WarnLevel, "endpoint store is damaged and was removed; it is rebuilt")
	EndpointStoreFailed    = define(212, zerolog.WarnLevel, "endpoints can't be saved or restored; this member confirms no departures, and recovery from a total loss will take longer")
	VoteTransferred        = define(213, zerolog.InfoLevel, "replica transferred its vote to a learner")
	VoteRetained           = define(214, zerolog.InfoLevel, "replica stops with its vote: no learner could take it")
	MajorityLost           = define(215, zerolog.ErrorLevel, "most voters are absent: no change is accepted until enough of them are back with their disks")
	MajorityRestored       = define(216, zerolog.InfoLevel, "a majority of the voters is present again")
)
