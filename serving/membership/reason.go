package membership

// DownReason is why a member was marked as down.
type DownReason uint8

// The reasons for which a member is marked as down.
const (
	// SuspectedByWatchers: the majority of its live watchers suspect it, at least two (or its only watcher).
	SuspectedByWatchers DownReason = iota
	// SuspectedAndSilent: it was suspected without a certain majority, and neither it nor its zone responded to probes,
	// see evaluateSuspicions.
	SuspectedAndSilent
	// ZoneUnreachable: it is suspected, and no member of its zone responded, see evaluateZones.
	ZoneUnreachable
	// UnwatchedAndSilent: there was no sufficient evidence that it is alive, because its watchers are dead too, and it
	// responded to no probe, see evaluateConfirmations.
	UnwatchedAndSilent
)

// String returns the reason in the form used in logs.
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
