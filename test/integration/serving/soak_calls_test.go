package serving

import (
	"context"
	"fmt"
	"time"

	"rowanlink/serving/operator/client"
	"rowanlink/test/fake/endpoint"
	"rowanlink/test/soak/timeline"
)

// callOperator queues a call of the operator.
func (p *soakPlayer) callOperator(event timeline.Event, call func(context.Context, *client.Client) error, apply func(time.Time)) {
	p.awaited++
	p.operatorCalls <- func() {
		operator, ctx, cancel := p.operator()
		defer cancel()
		err := call(ctx, operator)
		p.acknowledged <- acknowledgement{event: event, at: time.Now(), err: err, apply: apply}
	}
}

// changeConfiguration replaces the configuration by one with another route.
func (p *soakPlayer) changeConfiguration(event timeline.Event) {
	base := p.sentVersion
	p.sentVersion++
	version, name := p.sentVersion, fmt.Sprint("more", p.sentVersion)
	p.callOperator(event, func(ctx context.Context, operator *client.Client) error {
		return operator.ReplaceConfiguration(ctx, base, configurationWith(version, name))
	}, func(at time.Time) {
		p.version, p.newestRoute = version, name
		p.versions = append(p.versions, acknowledgedVersion{at: at, version: version})
	})
}

// evacuateUntil evacuates a zone until the end of the event.
func (p *soakPlayer) evacuateUntil(event timeline.Event) {
	zone := locations[event.Targets[0]].zone
	p.callOperator(event, func(ctx context.Context, operator *client.Client) error {
		return operator.Evacuate(ctx, zone)
	}, func(at time.Time) {
		p.evacuations = append(p.evacuations, soakEvacuation{zone: zone, begin: at})
	})
	p.schedule(time.Now().Add(event.For), func() { p.callEndOfEvacuation(event, zone) })
}

// callEndOfEvacuation ends the evacuation of a zone. Requests may go there as soon as the call is sent.
func (p *soakPlayer) callEndOfEvacuation(event timeline.Event, zone string) {
	var sent time.Time
	p.callOperator(event, func(ctx context.Context, operator *client.Client) error {
		sent = time.Now()
		return operator.EndEvacuation(ctx, zone)
	}, func(time.Time) {
		p.evacuations[len(p.evacuations)-1].end = sent // there is one at a time
	})
}

// departEndpoint has an endpoint leave. It repeats its call until it is acknowledged.
func (p *soakPlayer) departEndpoint(event timeline.Event) {
	leaving := p.leaving[event.Targets[0]]
	leave := (*endpoint.Endpoint).Deregister
	if event.Kind == timeline.EndpointCloses {
		leave = drainSilently
	}
	p.awaited++
	go func() {
		ctx, cancel := context.WithTimeout(context.Background(), waitTimeout)
		defer cancel()
		err := leave(leaving, ctx)
		for err != nil && ctx.Err() == nil {
			err = leave(leaving, ctx)
		}
		p.acknowledged <- acknowledgement{event: event, at: time.Now(), err: err, apply: func(at time.Time) {
			p.departures = append(p.departures, soakDeparture{endpoint: leaving, acknowledged: at})
		}}
	}()
}
