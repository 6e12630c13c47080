// Package config puts settings into our words: the bench's path=value pairs and the nested JSON of a real
// dispatcher's configuration alike, which is first laid out as such pairs.
package config

import (
	"fmt"
	"math"
	"slices"
	"strconv"
	"strings"

	"github.com/tidwall/gjson"

	"rowanlink/webhook/api"
)

// Names holds what only the sockets need: the names by which lists and webhooks speak of a place in Facts,
// and whether lists are pushed. Whatever else is said of that, or nothing: they are asked for, which spreads
// a fleet.
type Names struct {
	EventTypes, Tenants, Kinds, Zones []string
	Pushed                            bool
}

// FromPairs reads the settings as the bench's wire gives them.
func FromPairs(seed uint64, text string) (api.Settings, error) {
	return read(seed, readPairs(text))
}

// Fits tells whether settings can take the place of others in a running dispatcher. Webhooks held or owed in
// the journal say by its place of which event type and tenant they are: a name keeps its place, new ones
// follow the last, and only the last may go. A kind's routes can't be parted or joined while calls are out.
func Fits(was, now api.Settings, wasNames, nowNames Names) error {
	for _, l := range []struct {
		key      string
		was, now []string
	}{{"classes", wasNames.EventTypes, nowNames.EventTypes}, {"tenants", wasNames.Tenants, nowNames.Tenants},
		{"kinds", wasNames.Kinds, nowNames.Kinds}, {"zones", wasNames.Zones, nowNames.Zones}} {
		for i := range min(len(l.was), len(l.now)) {
			if l.was[i] != l.now[i] {
				return fmt.Errorf("settings %s.%d: %q stands where %q stood: a name keeps its place,"+
					" new ones follow the last", l.key, i, l.now[i], l.was[i])
			}
		}
	}
	for i := range min(len(was.DestinationKinds), len(now.DestinationKinds)) {
		if was.DestinationKinds[i].SeparateRoutes != now.DestinationKinds[i].SeparateRoutes {
			return fmt.Errorf("settings familyInfo.kindApart.%d can't change in a running process", i)
		}
	}
	return nil
}

// FromJSON reads them as nested JSON, and the time after which an idle connection to an endpoint is closed.
func FromJSON(seed uint64, settings gjson.Result) (api.Settings, Names, api.Micros, error) {
	p := &pairs{values: map[string]string{}}
	p.flatten("", settings)
	names := Names{texts(settings, "classes"), texts(settings, "tenants"), texts(settings, "kinds"),
		texts(settings, "zones"), p.values["registryMode"] == "push"}
	idle := p.under("limits.keepalive")
	f, err := read(seed, p)
	return f, names, idle, err
}

// texts are the names in a list, in its order; one without a name keeps its place.
func texts(settings gjson.Result, path string) (all []string) {
	for _, v := range settings.Get(path).Array() {
		if v.IsObject() {
			v = v.Get("name")
		}
		all = append(all, v.String())
	}
	return all
}

// flatten lays a value out as the pairs that the bench's wire would give for it.
func (p *pairs) flatten(path string, v gjson.Result) {
	under := func(name string) string { return strings.TrimPrefix(path+"."+name, ".") }
	switch {
	case v.IsObject():
		v.ForEach(func(name, item gjson.Result) bool {
			p.flatten(under(name.String()), item)
			return true
		})
	case v.IsArray():
		var plain []string
		items := v.Array()
		for i, item := range items {
			if item.IsObject() {
				p.flatten(under(strconv.Itoa(i)), item)
				p.values[under("count")] = strconv.Itoa(len(items))
			} else {
				plain = append(plain, item.String())
			}
		}
		p.values[path] = strings.Join(plain, ",")
	default:
		p.values[path] = v.String()
	}
}

// pairs reads path=value settings. Unknown keys are never looked at; the first bad value is kept in err.
type pairs struct {
	values map[string]string
	err    error
}

func readPairs(text string) *pairs {
	p := &pairs{values: map[string]string{}}
	for line := range strings.Lines(text) {
		if key, value, ok := strings.Cut(strings.TrimRight(line, "\r\n"), "="); ok {
			p.values[key] = value
		}
	}
	return p
}

func (p *pairs) number(key string) float64 {
	text := p.values[key]
	if text == "" {
		return 0
	}
	v, err := strconv.ParseFloat(text, 64)
	if p.err == nil && (err != nil || math.IsNaN(v) || math.IsInf(v, 0) || math.Abs(v) > 1<<62) {
		p.err = fmt.Errorf("setting %s: %q is not a usable number", key, text)
	}
	return v
}

func (p *pairs) count(key string) int { return int(max(0, min(p.number(key), 1<<31))) }

func (p *pairs) flag(key string) bool { return p.values[key] == "true" }

// under and atLeast turn nanoseconds into whole microseconds, rounded the way that keeps the rule.
func (p *pairs) under(key string) api.Micros {
	return api.Micros(math.Floor(p.number(key) / 1000))
}

func (p *pairs) atLeast(key string) api.Micros {
	return api.Micros(math.Ceil(p.number(key) / 1000))
}

func (p *pairs) list(key string) []string {
	if p.values[key] == "" {
		return nil
	}
	return strings.Split(p.values[key], ",")
}

// entries tells how many objects a list holds; no list is longer than the settings have lines.
func (p *pairs) entries(key string) int {
	return min(p.count(key+".count"), len(p.values))
}

// weightSources is what weightSource may say; left out, lists state no rates.
var weightSources = []string{"", "silent", "nominal", "rough", "live"}

// Reports are the places, in a load report, of the share of the limit that is left and of the limit;
// -1 where reports don't hold it.
func Reports(text string) (left, limit int) {
	names := readPairs(text).list("reporting.names")
	return slices.Index(names, "x0"), slices.Index(names, "x1")
}

func read(seed uint64, p *pairs) (api.Settings, error) {
	f := api.Settings{
		Seed: seed, Dispatchers: p.count("fleetSize"), Zone: api.ZoneID(p.count("zone")),
		OverQuotaValue: p.number("overShareWorth"),
		MaxInFlight:    p.count("familyInfo.slots"), BufferSize: p.count("limits.openCap"),
		MaxAttempts: p.count("limits.maxAttempts"), CanCancel: p.flag("limits.cancel"),
		RatesListed:    p.values["weightSource"] == "nominal" || p.values["weightSource"] == "rough",
		ConnectTimeout: p.under("limits.connectTimeout"), MinTurnInterval: p.atLeast("period"),
		OrderingGap: p.atLeast("rules.turnGap"), SlowStartCapacity: p.number("rules.startCapacity"),
		SlowStartDuration: p.atLeast("rules.warmAfter"), OverloadFactor: p.number("rules.fallMultiple"),
		OverloadDuration: p.atLeast("rules.tipAfter"),
	}
	if p.flag("limits.retryAfter") {
		f.MaxRetryAfter = p.under("limits.maxRetryAfter")
	}
	if w := p.values["weightSource"]; p.err == nil && !slices.Contains(weightSources, w) {
		p.err = fmt.Errorf("setting weightSource: %q is none of silent, nominal, rough, live", w)
	}
	batches, apart := p.list("familyInfo.batchByKind"), p.list("familyInfo.kindApart")
	for i := range p.list("kinds") {
		k := api.DestinationKind{BatchSize: 1}
		if i < len(batches) {
			if n, err := strconv.Atoi(batches[i]); err == nil && n > 1 {
				k.BatchSize = n
			}
		}
		k.SeparateRoutes = i < len(apart) && apart[i] == "true"
		f.DestinationKinds = append(f.DestinationKinds, k)
	}
	for i := range p.entries("tenants") {
		f.TenantRates = append(f.TenantRates, p.number(fmt.Sprintf("tenants.%d.allowancePerS", i)))
	}
	for i := range p.entries("classes") {
		at := fmt.Sprintf("classes.%d.", i)
		t := api.EventType{
			LatencyTarget: p.under(at + "aim"), TTL: p.under(at + "deadline"), Value: p.number(at + "worth"),
			LateValue: p.number(at + "lateValue"), DedupWindow: p.under(at + "window"),
			DedupByZone: p.values[at+"group"] != "all", Ordered: p.flag(at + "oneAtATime"),
		}
		switch p.values[at+"repeat"] {
		case "token":
			t.Semantics = api.Deduplicated
		case "side_effect":
			t.Semantics = api.AtMostOnce
		case "pure":
			t.Semantics = api.Idempotent
		default:
			return f, fmt.Errorf("setting %srepeat: %q is unknown", at, p.values[at+"repeat"])
		}
		f.EventTypes = append(f.EventTypes, t)
	}
	if p.err == nil && len(f.EventTypes) == 0 {
		p.err = fmt.Errorf("settings name no class")
	}
	return f, p.err
}
