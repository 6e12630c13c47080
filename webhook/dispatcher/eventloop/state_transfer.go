package eventloop

import "rowanlink/webhook/api"

// ExportState returns what the policy knows of the destinations that match. idle reports whether no call to them is in
// flight, so that the state can't change any more. It waits for a turn; it may be called from any goroutine.
func (l *Loop) ExportState(matches func(api.DestinationID) bool) (all []api.DestinationState, idle bool) {
	l.runInTurn(func() {
		idle = true
		for id, w := range l.webhooks {
			idle = idle && (!matches(w.Destination) || !l.inFlight[id])
		}
		destinations := map[api.DestinationID]bool{}
		for _, entry := range l.endpoints {
			destinations[entry.Destination] = matches(entry.Destination)
		}
		for destination, matched := range destinations {
			if state, known := l.stateTransferer().ExportState(destination); matched && known {
				all = append(all, state)
			}
		}
	})
	return all, idle
}

// ImportState has the policy take over what another member's policy knew; times are of this member's clock. It may be
// called from any goroutine.
func (l *Loop) ImportState(all []api.DestinationState) {
	l.inbox.Post(func() {
		for _, state := range all {
			l.stateTransferer().ImportState(state)
		}
	})
}

// stateTransferer returns the policy without its wrapper.
func (l *Loop) stateTransferer() api.StateTransferer {
	policy := l.policy
	if wrapper, ok := policy.(interface{ Unwrap() api.Policy }); ok {
		policy = wrapper.Unwrap()
	}
	return policy.(api.StateTransferer)
}
