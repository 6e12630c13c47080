package membership

// DownReason is why a member was marked as down.
type DownReason uint8

// The reasons for which a member is marked as down.
const (
	// SuspectedByWatchers: most of its live watchers suspect it, two at least.
	SuspectedByWatchers DownReason = iota
	// SuspectedAndSilent: it was doubtful and responded to no probe, see evaluateSuspicions.
	SuspectedAndSilent
	// ZoneUnreachable: nobody of its zone responded, see evaluateZones.
	ZoneUnreachable
	// UnwatchedAndSilent: nobody alive watches it, and it responded to no probe, see evaluateConfirmations.
	UnwatchedAndSilent
)

// String returns the reason as it is logged.
func (r DownReason) String() string {
	switch r {
	case SuspectedByWatchers:
		return "suspected_by_watchers"
	case SuspectedAndSilent:
		return "suspected_and_silent"
	case ZoneUnreachable:
		return "zone_unreachable"
	default:
		return "unwatched_and_silent"
	}
}
