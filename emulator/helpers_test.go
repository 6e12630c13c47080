package emulator_test

import (
	"fmt"
	"testing"

	"github.com/stretchr/testify/require"

	"rowanlink/emulator"
	"rowanlink/emulator/observe"
	"rowanlink/emulator/seen"
	"rowanlink/webhook"
	"rowanlink/webhook/policy"
)

const sec = emulator.Span(webhook.Second)

func module(f webhook.Facts, h webhook.Host) webhook.Module { return policy.New(f, h) }

// plain is one dispatcher in front of eight destinations of two endpoints each, with one event type of each
// sort.
func plain(troubles ...emulator.Trouble) *emulator.Scenario {
	s := &emulator.Scenario{Name: "plain", Length: 30 * sec,
		Dispatchers: emulator.Dispatchers{Count: 2, Slots: 24, Buffer: 400, Cancel: true, MaxAdvice: 3 * sec,
			RatesStated: true, ListDelay: []emulator.Span{sec, sec}},
		Clients:      emulator.Clients{Rate: 100, Skew: 0.5, Retries: 2, Heed: 1},
		Destinations: emulator.Destinations{Count: 8},
		Events: []emulator.EventType{
			{Name: "idempotent", Target: 3 * sec, TTL: 20 * sec},
			{Name: "tokened", Target: 3 * sec, TTL: 20 * sec, Repeat: "tokened", Window: 8 * sec},
			{Name: "once", Target: 3 * sec, TTL: 20 * sec, Repeat: "at-most-once"},
			{Name: "ordered", Target: 3 * sec, TTL: 20 * sec, Ordered: true, Keys: 12},
		},
		Kinds: []emulator.Kind{{Name: "shop", Endpoints: []int{2}, Answer: sec / 5, Spread: 0.5, Limit: "rate",
			Headroom: 2, Least: 4, TellsWait: 1, Wait: []emulator.Span{sec / 2, sec}}},
		Troubles: troubles}
	s.Complete()
	return s
}

// log writes down all events that it wants.
type log struct {
	wants []seen.What
	all   []seen.Event
}

func (l *log) Wants() []seen.What { return l.wants }
func (l *log) See(e *seen.Event)  { l.all = append(l.all, *e) }

// play runs a scenario under the watch; events of the kinds given come back, too.
func play(
	t *testing.T,
	s *emulator.Scenario,
	start emulator.Starter,
	what ...seen.What,
) (*observe.Watch, []seen.Event,
	observe.Summary) {
	require.NoError(t, s.Check())
	m := emulator.New(s, start)
	terms := observe.Terms{Facts: s.Facts(0, 0), DrainGrace: webhook.Micros(s.Rules.DrainGrace),
		AnswerGrace: 3*webhook.Micros(s.Dispatchers.Tick) + webhook.Second/20}
	w, r, l := observe.NewWatch(terms), observe.NewRecorder(terms), &log{wants: what}
	w.Join(&m.Bus)
	m.Bus.Join(r, l)
	w.Close(m.Run())
	return w, l.all, r.Close()
}

// mutant is the module with its ears or hands tampered with.
type mutant struct {
	webhook.Module
	host
	take      func(key webhook.Key) webhook.Key
	outcome   func(what webhook.Outcome, wait webhook.Micros) (webhook.Outcome, webhook.Micros)
	endpoints func(list []webhook.Entry) []webhook.Entry
}

type host struct {
	webhook.Host
	mute bool
}

func (h *host) DeadLetter(id webhook.WebhookID) {
	if !h.mute {
		h.Host.DeadLetter(id)
	}
}

func (m *mutant) Take(id webhook.WebhookID, evt webhook.EventTypeID, tenant webhook.TenantID, key webhook.Key,
	ttl webhook.Micros, dest webhook.DestinationID) {
	if m.take != nil {
		key = m.take(key)
	}
	m.Module.Take(id, evt, tenant, key, ttl, dest)
}

func (m *mutant) Outcome(
	id webhook.WebhookID,
	ep webhook.EndpointID,
	what webhook.Outcome,
	took webhook.Micros,
	ended bool,
	wait webhook.Micros,
) {
	if m.outcome != nil {
		what, wait = m.outcome(what, wait)
	}
	m.Module.Outcome(id, ep, what, took, ended, wait)
}

func (m *mutant) Endpoints(list []webhook.Entry, whole bool) {
	if m.endpoints != nil {
		list = m.endpoints(list)
	}
	m.Module.Endpoints(list, whole)
}

// tampered starts mutants.
func tampered(facts func(*webhook.Facts), with func(*mutant)) emulator.Starter {
	return func(f webhook.Facts, h webhook.Host) webhook.Module {
		if facts != nil {
			facts(&f)
		}
		m := &mutant{host: host{Host: h}}
		with(m)
		m.Module = policy.New(f, &m.host)
		return m
	}
}

func all(n int) (list []int) {
	for i := range n {
		list = append(list, i)
	}
	return list
}

func texts(b []observe.Breach) (s string) {
	for _, x := range b[:min(len(b), 3)] {
		s += fmt.Sprintln(x)
	}
	return s
}
