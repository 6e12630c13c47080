// Package config reads the dispatcher's settings, in the names that the users' pages give them, into api.Settings: the
// simulator's path=value pairs and the nested JSON of a real dispatcher's configuration alike. JSON is first flattened
// into such pairs.
package config

import (
	"fmt"
	"slices"
	"strconv"

	"github.com/tidwall/gjson"

	"rowanlink/webhook/api"
)

// registryPushed is the value of registryMode where lists are pushed. All else means that they are requested, which
// spreads the dispatchers' requests.
const registryPushed = "push"

// weightSources are the values of weightSource. Without one, lists state no rates.
var weightSources = []string{"", "silent", "nominal", "rough", "live"}

// Catalog holds the names by which lists and webhooks refer to an index in api.Settings, and whether lists are pushed.
type Catalog struct {
	EventTypes, Tenants, Kinds, Zones []string
	PushedLists                       bool
}

// FromPairs reads settings as the simulator gives them: a path=value pair per line.
func FromPairs(seed uint64, text string) (api.Settings, error) {
	return readSettings(seed, parsePairs(text))
}

// FromJSON reads settings as nested JSON. It also returns the time after which an idle connection to an endpoint is
// closed.
func FromJSON(seed uint64, document gjson.Result) (api.Settings, Catalog, api.Micros, error) {
	p := &pairs{values: map[string]string{}}
	p.flatten("", document)
	catalog := Catalog{
		EventTypes:  names(document, "classes"),
		Tenants:     names(document, "tenants"),
		Kinds:       names(document, "kinds"),
		Zones:       names(document, "zones"),
		PushedLists: p.values["registryMode"] == registryPushed,
	}
	idleTimeout := p.microsRoundedDown("limits.keepalive")
	settings, err := readSettings(seed, p)
	return settings, catalog, idleTimeout, err
}

// names returns the names in a list, in its order; an entry without a name keeps its index.
func names(document gjson.Result, path string) (all []string) {
	for _, v := range document.Get(path).Array() {
		if v.IsObject() {
			v = v.Get("name")
		}
		all = append(all, v.String())
	}
	return all
}

// CheckReload returns an error where settings can't replace those of a running dispatcher. Webhooks in memory and in the
// write-ahead log refer to their event type and tenant by index: a name keeps its index, new ones are appended, and only
// the last may be removed. The routes of a kind can't be separated or joined while calls are in flight.
func CheckReload(before, after api.Settings, namesBefore, namesAfter Catalog) error {
	for _, list := range []struct {
		key           string
		before, after []string
	}{
		{"classes", namesBefore.EventTypes, namesAfter.EventTypes},
		{"tenants", namesBefore.Tenants, namesAfter.Tenants},
		{"kinds", namesBefore.Kinds, namesAfter.Kinds},
		{"zones", namesBefore.Zones, namesAfter.Zones},
	} {
		for i := range min(len(list.before), len(list.after)) {
			if list.before[i] != list.after[i] {
				return fmt.Errorf("settings %s.%d: %q replaces %q: a name keeps its place, new ones follow the last",
					list.key, i, list.after[i], list.before[i])
			}
		}
	}
	for i := range min(len(before.DestinationKinds), len(after.DestinationKinds)) {
		if before.DestinationKinds[i].SeparateRoutes != after.DestinationKinds[i].SeparateRoutes {
			return fmt.Errorf("settings familyInfo.kindApart.%d can't change in a running process", i)
		}
	}
	return nil
}

// ReportPositions returns the indexes, in a load report, of the share of the limit that is left and of the limit; -1
// where reports don't contain it.
func ReportPositions(text string) (headroom, limit int) {
	fields := parsePairs(text).list("reporting.names")
	return slices.Index(fields, "x0"), slices.Index(fields, "x1")
}

func readSettings(seed uint64, p *pairs) (api.Settings, error) {
	weightSource := p.values["weightSource"]
	settings := api.Settings{
		Seed:              seed,
		Dispatchers:       p.count("fleetSize"),
		Zone:              api.ZoneID(p.count("zone")),
		OverQuotaValue:    p.number("overShareWorth"),
		MaxInFlight:       p.count("familyInfo.slots"),
		BufferSize:        p.count("limits.openCap"),
		MaxAttempts:       p.count("limits.maxAttempts"),
		CanCancel:         p.flag("limits.cancel"),
		RatesListed:       weightSource == "nominal" || weightSource == "rough",
		ConnectTimeout:    p.microsRoundedDown("limits.connectTimeout"),
		MinTurnInterval:   p.microsRoundedUp("period"),
		OrderingGap:       p.microsRoundedUp("rules.turnGap"),
		SlowStartCapacity: p.number("rules.startCapacity"),
		SlowStartDuration: p.microsRoundedUp("rules.warmAfter"),
		OverloadFactor:    p.number("rules.fallMultiple"),
		OverloadDuration:  p.microsRoundedUp("rules.tipAfter"),
	}
	if p.flag("limits.retryAfter") {
		settings.MaxRetryAfter = p.microsRoundedDown("limits.maxRetryAfter")
	}
	if !slices.Contains(weightSources, weightSource) {
		p.fail(fmt.Errorf("setting weightSource: %q is none of silent, nominal, rough, live", weightSource))
	}
	settings.DestinationKinds = p.destinationKinds()
	settings.TenantRates = p.tenantRates()
	eventTypes, err := p.eventTypes()
	settings.EventTypes = eventTypes
	if err != nil {
		return settings, err
	}
	if len(eventTypes) == 0 {
		p.fail(fmt.Errorf("settings name no class"))
	}
	return settings, p.err
}

func (p *pairs) destinationKinds() (kinds []api.DestinationKind) {
	batchSizes := p.list("familyInfo.batchByKind")
	separate := p.list("familyInfo.kindApart")
	for i := range p.list("kinds") {
		kind := api.DestinationKind{BatchSize: 1}
		if i < len(batchSizes) {
			if n, err := strconv.Atoi(batchSizes[i]); err == nil && n > 1 {
				kind.BatchSize = n
			}
		}
		kind.SeparateRoutes = i < len(separate) && separate[i] == "true"
		kinds = append(kinds, kind)
	}
	return kinds
}

func (p *pairs) tenantRates() (rates []float64) {
	for i := range p.entries("tenants") {
		rates = append(rates, p.number(fmt.Sprintf("tenants.%d.allowancePerS", i)))
	}
	return rates
}

func (p *pairs) eventTypes() (all []api.EventType, err error) {
	for i := range p.entries("classes") {
		prefix := fmt.Sprintf("classes.%d.", i)
		semantics, err := p.semantics(prefix + "repeat")
		if err != nil {
			return all, err
		}
		all = append(all, api.EventType{
			LatencyTarget: p.microsRoundedDown(prefix + "aim"),
			TTL:           p.microsRoundedDown(prefix + "deadline"),
			Value:         p.number(prefix + "worth"),
			LateValue:     p.number(prefix + "lateValue"),
			Semantics:     semantics,
			DedupWindow:   p.microsRoundedDown(prefix + "window"),
			DedupByZone:   p.values[prefix+"group"] != "all",
			Ordered:       p.flag(prefix + "oneAtATime"),
		})
	}
	return all, nil
}

func (p *pairs) semantics(key string) (api.Semantics, error) {
	switch p.values[key] {
	case "token":
		return api.Deduplicated, nil
	case "side_effect":
		return api.AtMostOnce, nil
	case "pure":
		return api.Idempotent, nil
	default:
		return 0, fmt.Errorf("setting %s: %q is unknown", key, p.values[key])
	}
}
