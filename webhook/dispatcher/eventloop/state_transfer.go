package eventloop

import "rowanlink/webhook/api"

// ExportState lists what the module knows of destinations that match; it waits for the turn. idle: no call to
// them is out, so that nothing can be added to it any more.
func (d *Loop) ExportState(match func(api.DestinationID) bool) (all []api.DestinationState, idle bool) {
	done := make(chan struct{})
	d.inbox.Post(func() {
		defer close(done)
		idle = true
		dests := map[api.DestinationID]bool{}
		for _, l := range d.endpoints {
			dests[l.Destination] = match(l.Destination)
		}
		for id, w := range d.webhooks {
			idle = idle && !(match(w.Destination) && d.inFlight[id])
		}
		for dest, is := range dests {
			if l, known := d.stateTransferer().ExportState(dest); is && known {
				all = append(all, l)
			}
		}
	})
	d.wait(done)
	return all, idle
}

// ImportState has the module take over what another one knew, with times of this clock.
func (d *Loop) ImportState(all []api.DestinationState) {
	d.inbox.Post(func() {
		for _, l := range all {
			d.stateTransferer().ImportState(l)
		}
	})
}

func (d *Loop) stateTransferer() api.StateTransferer {
	m := d.policy
	if held, ok := m.(interface{ Unwrap() api.Policy }); ok {
		m = held.Unwrap()
	}
	return m.(api.StateTransferer)
}
