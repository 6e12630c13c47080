package event

import "github.com/rs/zerolog"

// The events of the spread of updates and of the membership.
var (
	MeshJoined            = define(300, zerolog.InfoLevel, "joined the other members")
	MembersChanged        = define(301, zerolog.InfoLevel, "the live members changed")
	MemberDown            = define(302, zerolog.DebugLevel, "a member is down")
	MemberUp              = define(303, zerolog.DebugLevel, "a member is live")
	IncarnationRaised     = define(304, zerolog.InfoLevel, "an earlier life of this process is newer; incarnation raised")
	SuspicionRefuted      = define(305, zerolog.InfoLevel, "others took this process for dead; it has spoken again")
	SingletonRoleTaken    = define(306, zerolog.InfoLevel, "took a singleton duty")
	GossipEntryUnreadable = define(307, zerolog.WarnLevel, "a spread entry cannot be read")
	SeedAddressInvalid    = define(308, zerolog.WarnLevel, "a seed address cannot be used")
)
