package event

import "github.com/rs/zerolog"

// Events of the replicated register and its store.
var (
	ReplicaCreated         = define(200, zerolog.InfoLevel, "replica starts with an empty store under a new ID")
	ReplicaRestored        = define(201, zerolog.InfoLevel, "replica restored from its store")
	ReplicaJoined          = define(202, zerolog.InfoLevel, "replica is a voter of the register")
	ReplicaExpelled        = define(203, zerolog.WarnLevel, "replica lost its vote while away and goes on under a new ID")
	ReplicasChanged        = define(204, zerolog.InfoLevel, "the voters of the register were changed")
	ReplicaWithoutMajority = define(205, zerolog.WarnLevel, "no majority of the register yet; trying on")
	ReplicaStoreFailed     = define(206, zerolog.WarnLevel, "store refuses or fails to save; replica votes nothing")
	ReplicaStoreRecovered  = define(207, zerolog.InfoLevel, "store saves again")
	ReplicaStoreUnreadable = define(208, zerolog.WarnLevel, "store can't be read yet; trying on")
	ReplicaIsLearner       = define(209, zerolog.InfoLevel, "replica is a learner: it keeps the committed record and doesn't vote")
	StoreMovedAside        = define(210, zerolog.ErrorLevel, "store file is damaged and was moved aside; treated as a lost disk")
	EndpointStoreRemoved   = define(211, zerolog.WarnLevel, "copy of the endpoints on disk is damaged and was removed; it is made anew")
	EndpointStoreFailed    = define(212, zerolog.WarnLevel, "endpoints can't be saved or restored; a start after a loss of everything will take longer")
	VoteTransferred        = define(213, zerolog.InfoLevel, "a learner has taken this replica's vote")
	VoteRetained           = define(214, zerolog.InfoLevel, "this replica ends with its vote: no learner could take it")
	MajorityLost           = define(215, zerolog.ErrorLevel, "most voters are absent: no order is taken until enough of them are back with their disks")
	MajorityRestored       = define(216, zerolog.InfoLevel, "most voters are there again")
)
