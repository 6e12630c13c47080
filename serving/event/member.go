package event

import "github.com/rs/zerolog"

// Events of the membership and of gossip (300 to 399).
var (
	MembershipJoined      = define(300, zerolog.InfoLevel, "joined the other members")
	MembersChanged        = define(301, zerolog.InfoLevel, "the live members changed")
	MemberDown            = define(302, zerolog.DebugLevel, "a member is down")
	MemberUp              = define(303, zerolog.DebugLevel, "a member is live")
	IncarnationRaised     = define(304, zerolog.InfoLevel, "an earlier run of this process has a higher incarnation; incarnation raised")
	SuspicionRefuted      = define(305, zerolog.InfoLevel, "refuted the suspicion that this process is down")
	SingletonRoleTaken    = define(306, zerolog.InfoLevel, "took a singleton role")
	GossipEntryUnreadable = define(307, zerolog.WarnLevel, "a gossiped entry can't be decoded")
	SeedAddressInvalid    = define(308, zerolog.WarnLevel, "a seed address is invalid")
)
