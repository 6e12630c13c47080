package main

import (
	"context"
	"time"
)

// cutTime is how long two core machines are cut off.
const cutTime = 5500 * time.Millisecond

// playMinority cuts two of five core machines off from all other machines of the system. Meanwhile an endpoint beside
// them signs off.
func playMinority(ctx context.Context, r *record, trouble bool) ([]string, error) {
	d, err := newWideDeployment(r, 0, 2, 3)
	if err != nil {
		return nil, err
	}
	defer d.close()
	if err := d.startAll(); err != nil {
		return nil, err
	}
	var leaving *endpoint
	for number, zone := range []int{0, 2, 3, 4} {
		e, err := startEndpoint(ctx, d, number+1, "stock", widePlaces[zone])
		if err != nil {
			return nil, err
		}
		defer e.close()
		if zone == 3 {
			leaving = e
		}
	}
	if err := d.replaceConfiguration(ctx, 0, plainConfiguration); err != nil {
		return nil, err
	}
	if err := d.waitUntilReady(ctx); err != nil {
		return nil, err
	}
	sleep(ctx, 12*time.Second)
	clients := newClient(d)
	stopClients := clients.start(ctx, 40, "/stock/")
	defer stopClients()
	sleep(ctx, 5*time.Second)

	begun := time.Now()
	var disruptions []time.Time
	if trouble {
		disruptions = append(disruptions, begun)
		d.network.setCut([]int{4, 5}, []int{1, 2, 3, 6, 7, 8}, true)
		r.logAt(begun, "network", "core-4 and core-5 are cut off from all other machines of the system")
	}
	sleep(ctx, 300*time.Millisecond)
	var acknowledgedAt time.Time
	address, err := leaving.signOff(ctx, func() { acknowledgedAt = time.Now() })
	if err != nil {
		return nil, err
	}
	r.logAt(acknowledgedAt, "endpoint", "the sign-off of %s is acknowledged by %s", leaving.id, address)
	sleep(ctx, time.Until(begun.Add(cutTime)))
	if trouble {
		healedAt := time.Now()
		disruptions = append(disruptions, healedAt)
		d.network.setCut([]int{4, 5}, []int{1, 2, 3, 6, 7, 8}, false)
		r.logAt(healedAt, "network", "the cut is over")
	}
	sleep(ctx, time.Until(acknowledgedAt.Add(serveOn)))
	leaving.close()
	r.log("endpoint", "%s ends", leaving.id)
	stopClients()
	return lateDeliveries(r, clients, leaving, acknowledgedAt, disruptions...), nil
}
