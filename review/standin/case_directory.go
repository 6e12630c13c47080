package main

import (
	"context"
	"encoding/json"
	"fmt"
	"net"
	"net/http"
	"net/url"
	"slices"
	"time"
)

const (
	directoryFronts = 30
	// keptPerZone of the ten fronts of each zone stay; the others, three in five, are lost.
	keptPerZone = 4
	// forgetTime is contact_ms + 3 s, after which the directory may name no machine that was killed.
	forgetTime = 4*time.Second + 3*time.Second
	// answersAllowed is the number of answers that may do so nevertheless.
	answersAllowed = 3
	// watchTime is how long the directory is asked after the loss.
	watchTime = 15 * time.Second
)

// playDirectory loses three in five of the machines that clients reach, for good. The directory of the others is asked
// where to go.
func playDirectory(ctx context.Context, r *record, trouble bool) ([]string, error) {
	d, err := newDeployment(r, 3, directoryFronts, smallSite)
	if err != nil {
		return nil, err
	}
	defer d.close()
	kept, lost := nameFronts(d)
	if err := d.startAll(); err != nil {
		return nil, err
	}
	e, err := startEndpoint(ctx, d, 1, "stock", places[0])
	if err != nil {
		return nil, err
	}
	defer e.close()
	if err := d.replaceConfiguration(ctx, 0, plainConfiguration); err != nil {
		return nil, err
	}
	if err := d.waitUntilReady(ctx); err != nil {
		return nil, err
	}
	sleep(ctx, 10*time.Second)
	lostAt := time.Now()
	if trouble {
		d.kill(lost...)
	} else {
		lost = nil
	}
	return watchDirectory(ctx, r, kept, lost, lostAt), ctx.Err()
}

// nameFronts names the machines as the pages' example does, and divides the fronts into those that stay and the rest.
func nameFronts(d *deployment) (kept, lost []*machine) {
	for _, core := range d.cores {
		core.name = "sorting-" + core.place.zone + "-1"
	}
	count := map[string]int{}
	for _, front := range d.fronts {
		zone := front.place.zone
		count[zone]++
		front.name = fmt.Sprintf("counter-%s-%d", zone, count[zone])
		if count[zone] <= keptPerZone {
			kept = append(kept, front)
		} else {
			lost = append(lost, front)
		}
	}
	return kept, lost
}

// watchDirectory asks the directories of some machines, for clients of each zone. It returns the answers that name,
// beside a running machine, one that was lost more than forgetTime before, unless there are few.
func watchDirectory(ctx context.Context, r *record, kept, lost []*machine, lostAt time.Time) (wrong []string) {
	client := &http.Client{Timeout: time.Second}
	for time.Since(lostAt) < watchTime && ctx.Err() == nil {
		for _, front := range kept[:3] {
			for _, zone := range places {
				askedAt := time.Now()
				addresses, err := lookUp(ctx, client, front, zone)
				r.logAt(askedAt, "lookup", "%s for %s: %v, %v", front.name, zone.zone, addresses, err)
				named := namedMachines(addresses, lost)
				running := len(namedMachines(addresses, kept)) > 0
				if askedAt.Sub(lostAt) > forgetTime && running && len(named) > 0 {
					wrong = append(wrong, fmt.Sprintf("DRAIN: %s answers a client of %s with %v, killed %.2f s before", front.name,
						zone.zone, named, askedAt.Sub(lostAt).Seconds()))
				}
			}
		}
		sleep(ctx, 250*time.Millisecond)
	}
	r.log("check", "%d answers named a machine that was killed over %v before; %d are allowed", len(wrong), forgetTime,
		answersAllowed)
	if len(wrong) <= answersAllowed {
		return nil
	}
	return wrong
}

// namedMachines returns the names of those machines whose addresses are listed.
func namedMachines(addresses []string, machines []*machine) (names []string) {
	for _, m := range machines {
		if slices.Contains(addresses, fmt.Sprintf("%s:%d", m.ip, portFront)) {
			names = append(names, m.name)
		}
	}
	return names
}

// lookUp asks a machine's directory where a client should go.
func lookUp(ctx context.Context, client *http.Client, at *machine, from place) ([]string, error) {
	query := url.Values{"name": {host}, "region": {from.region}, "zone": {from.zone}}
	address := net.JoinHostPort(at.ip, fmt.Sprint(portDirectory))
	request, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+address+"/lookup?"+query.Encode(), nil)
	if err != nil {
		return nil, err
	}
	response, err := client.Do(request)
	if err != nil {
		return nil, err
	}
	defer func() { _ = response.Body.Close() }()
	var answer struct {
		Addresses []string `json:"addresses"`
	}
	err = json.NewDecoder(response.Body).Decode(&answer)
	return answer.Addresses, err
}
