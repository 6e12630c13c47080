// Package config reads the dispatcher's settings into api.Settings. The simulator gives them as path=value pairs, and a
// production dispatcher's configuration as nested JSON, which is flattened into such pairs first. The keys are those of
// the user documentation.
package config

import (
	"fmt"
	"slices"
	"strconv"

	"github.com/tidwall/gjson"

	"rowanlink/webhook/api"
)

// registryPushed is the value of the setting registryMode that has endpoint lists pushed to the dispatcher. With any
// other value the dispatchers request the lists, at different times.
const registryPushed = "push"

// weightSources are the allowed values of the setting weightSource. Endpoint lists contain rates only with
// nominal and rough.
var weightSources = []string{"", "silent", "nominal", "rough", "live"}

// Catalog holds the names that endpoint lists and webhooks use. A name's position is its index in the
// matching list of api.Settings, if there is one.
type Catalog struct {
	EventTypes, Tenants, Kinds, Zones []string
	PushedLists                       bool // endpoint lists are pushed to the dispatcher
}

// FromPairs reads settings in the simulator's form, with one path=value pair per line.
func FromPairs(seed uint64, text string) (api.Settings, error) {
	return readSettings(seed, parsePairs(text))
}

// FromJSON reads settings from nested JSON. It also returns the names that they use, and how long a connection to an
// endpoint may be idle before it is closed.
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

// names returns the names of a list's entries in their order. An entry without a name yields an empty string, so
// that the others keep their index.
func names(document gjson.Result, path string) (all []string) {
	for _, v := range document.Get(path).Array() {
		if v.IsObject() {
			v = v.Get("name")
		}
		all = append(all, v.String())
	}
	return all
}

// CheckReload returns an error if the new settings (after) can't replace the current ones (before) of a running
// dispatcher. Webhooks in memory and in the write-ahead log refer to their event type and tenant by index, so a name
// must keep its index: new names are appended, and names are removed only from the end. SeparateRoutes of a
// destination kind can't change in a running process.
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
				return fmt.Errorf("settings %s.%d: %q replaces %q: a name must keep its index, new names follow the last",
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

// ReportPositions returns the indexes of two fields of a load report: headroom, which is the unused fraction of the
// limit, and the limit. An index is -1 if reports don't contain the field.
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
		p.fail(fmt.Errorf("settings contain no classes"))
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
