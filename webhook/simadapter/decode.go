package simadapter

import (
	"fmt"
	"math"

	"rowanlink/webhook/api"
)

// decode reads an event's fields and returns the call on the instance's policy that the event causes, or nil if it causes
// none.
func (s *server) decode(in *instance, code byte, f *fields) (call func(), err error) {
	switch code {
	case eventTopology:
		call, err = s.decodeTopology(in, f)
	case eventNew:
		call, err = decodeNew(in, f)
	case eventOutcome:
		call, err = decodeOutcome(in, f)
	case eventVanished:
		id := api.WebhookID(f.u32())
		call = func() { in.policy.Withdraw(id) }
	case eventWakeup:
		timer := api.TimerID(f.u32())
		call = func() { in.policy.TimerFired(timer) }
	case eventEcho:
		f.skip(14)
		f.skip(4 * int(f.u8()))
	case eventFirst:
		f.skip(17)
	case eventPeer:
		f.skip(2)
		f.text(uint32(f.u16()))
	}
	if err != nil {
		return nil, err
	}
	if f.truncated {
		return nil, errShort
	}
	return call, nil
}

func (s *server) decodeTopology(in *instance, f *fields) (func(), error) {
	f.skip(8)
	number, form := f.u16(), f.u8()
	switch {
	case f.truncated || form == listFailed:
		return nil, nil
	case form > listFailed:
		return nil, fmt.Errorf("list form %d is unknown", form)
	case int(number) >= listNumbers || !s.defined[number]:
		return nil, fmt.Errorf("list %d was never defined", number)
	}
	list := s.lists[number]
	complete := form == listComplete || form == listCached
	return func() { in.policy.UpdateEndpoints(list, complete) }, nil
}

func decodeNew(in *instance, f *fields) (func(), error) {
	w := api.Webhook{
		ID:          api.WebhookID(f.u32()),
		EventType:   api.EventTypeID(f.u8()),
		Tenant:      api.TenantID(f.u32()),
		OrderingKey: api.OrderingKey(f.u64()),
		Deadline:    micros(f.u64()),
	}
	f.skip(8)
	destination := f.f32()
	f.skip(1)
	if !f.truncated && !(destination >= 0 && destination <= math.MaxUint16) {
		return nil, fmt.Errorf("destination %v is no valid number", destination)
	}
	w.Destination = api.DestinationID(destination)
	return func() { in.policy.Submit(w) }, nil
}

func decodeOutcome(in *instance, f *fields) (func(), error) {
	result := api.AttemptResult{Webhook: api.WebhookID(f.u32())}
	f.skip(1)
	result.Endpoint = api.EndpointID(f.u32())
	outcome := f.u16()
	result.Latency = micros(f.u64())
	result.Final = f.u8() != 0
	retryAfterMillis := f.u32()
	report := decodeReport(in, f, result.Endpoint)
	if f.truncated {
		return nil, errShort
	}
	if int(outcome) >= len(outcomes) {
		return nil, fmt.Errorf("outcome %d is unknown", outcome)
	}
	result.Outcome = outcomes[outcome]
	if result.Outcome == api.Rejected {
		result.RetryAfter = api.Micros(retryAfterMillis) * microsPerMillisecond
	}
	return func() {
		if report != nil {
			in.policy.ReportLoad(*report)
		}
		in.policy.AttemptEnded(result)
	}, nil
}

// decodeReport reads a load report. It returns nil if there is none, or if it lacks the fields that are used.
func decodeReport(in *instance, f *fields, endpoint api.EndpointID) *api.LoadReport {
	values := make([]float64, f.u8())
	for i := range values {
		values[i] = float64(f.f32())
	}
	if in.headroomIndex < 0 || in.limitIndex < 0 || max(in.headroomIndex, in.limitIndex) >= len(values) {
		return nil
	}
	return &api.LoadReport{
		Endpoint: endpoint,
		Headroom: values[in.headroomIndex],
		Limit:    values[in.limitIndex],
	}
}

// define stores an endpoint list under its number. A later list of the same number replaces it.
func (s *server) define(f *fields) error {
	number, n := f.u16(), f.u32()
	if f.truncated || uint64(n)*entryLen > uint64(len(f.rest)) {
		return errShort
	}
	if number >= listNumbers {
		return fmt.Errorf("list number %d is over %d", number, listNumbers-1)
	}
	list := make([]api.EndpointEntry, n)
	for i := range list {
		entry, err := decodeEntry(f)
		if err != nil {
			return err
		}
		list[i] = entry
	}
	s.lists[number] = list
	s.defined[number] = true
	return nil
}

func decodeEntry(f *fields) (api.EndpointEntry, error) {
	entry := api.EndpointEntry{
		Endpoint:    api.EndpointID(f.u32()),
		Zone:        api.ZoneID(f.u16()),
		Kind:        api.DestinationKindID(f.u16()),
		Destination: api.DestinationID(f.u16()),
	}
	status := f.u8()
	if int(status) >= len(endpointStatuses) {
		return entry, fmt.Errorf("state %d of an endpoint is unknown", status)
	}
	entry.Status = endpointStatuses[status]
	entry.Rate = float64(f.f32())
	f.skip(8)
	return entry, nil
}
