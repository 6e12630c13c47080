package eventloop

import "rowanlink/webhook/api"

// ExportState lists what the module knows of destinations that match; it waits for the turn. idle: no call to
// them is out, so that nothing can be added to it any more.
func (d *Loop) ExportState(match func(api.DestinationID) bool) (all []api.DestinationState, idle bool) {
	done := make(chan struct{})
	d.x.Post(func() {
		defer close(done)
		idle = true
		dests := map[api.DestinationID]bool{}
		for _, l := range d.listed {
			dests[l.Destination] = match(l.Destination)
		}
		for id, w := range d.held {
			idle = idle && !(match(w.Destination) && d.out[id])
		}
		for dest, is := range dests {
			if l, known := d.teacher().ExportState(dest); is && known {
				all = append(all, l)
			}
		}
	})
	d.awaits(done)
	return all, idle
}

// ImportState has the module take over what another one knew, with times of this clock.
func (d *Loop) ImportState(all []api.DestinationState) {
	d.x.Post(func() {
		for _, l := range all {
			d.teacher().ImportState(l)
		}
	})
}

func (d *Loop) teacher() api.StateTransferer {
	m := d.module
	if held, ok := m.(interface{ Unwrap() api.Policy }); ok {
		m = held.Unwrap()
	}
	return m.(api.StateTransferer)
}
