package discovery

import (
	"fmt"
	"log/slog"
	"net"
	"slices"

	"github.com/tidwall/gjson"

	"rowanlink/webhook/api"
	"rowanlink/webhook/config"
)

// statuses maps the registry's lifecycle names of an instance to endpoint statuses.
var statuses = map[string]api.EndpointStatus{
	"SERVING":  api.EndpointActive,
	"DRAINING": api.EndpointDraining,
	"DELETED":  api.EndpointRemoved,
}

// endpointList is one list object as received from the registry.
type endpointList struct {
	generation int64
	complete   bool
	instances  []instance
}

// instance is one usable entry of a list.
type instance struct {
	id, address string
	destination api.DestinationID
	status      api.EndpointStatus
	rate        float64
	kind, zone  string
}

// parseList reads a list object. Entries that can't be used are logged and left out.
func parseList(object gjson.Result) (endpointList, error) {
	generation, instances := object.Get("generation"), object.Get("instances")
	if generation.Type != gjson.Number || !instances.IsArray() {
		return endpointList{}, fmt.Errorf("a list without generation or instances: %.80s", object.Raw)
	}
	list := endpointList{generation: generation.Int(), complete: object.Get("reset").Bool()}
	for _, raw := range instances.Array() {
		i, ok := parseInstance(raw)
		if !ok {
			slog.Warn("list entry left out", "entry", raw.Raw)
			continue
		}
		list.instances = append(list.instances, i)
	}
	return list, nil
}

func parseInstance(raw gjson.Result) (i instance, ok bool) {
	cell := raw.Get("cell")
	status, known := statuses[raw.Get("lifecycle").String()]
	i = instance{
		id:          raw.Get("instanceId").String(),
		address:     raw.Get("hostPort").String(),
		destination: api.DestinationID(cell.Uint()),
		status:      status,
		kind:        raw.Get("machineType").String(),
		zone:        raw.Get("zone").String(),
	}
	if rate := raw.Get("weight").Float(); rate > 0 { // not NaN either
		i.rate = rate
	}
	_, _, err := net.SplitHostPort(i.address)
	validAddress := err == nil || status == api.EndpointRemoved
	validCell := cell.Type == gjson.Number && cell.Float() == float64(i.destination)
	return i, i.id != "" && known && validAddress && validCell
}

func (i instance) entry(number api.EndpointID, catalog config.Catalog) api.EndpointEntry {
	return api.EndpointEntry{
		Endpoint:    number,
		Status:      i.status,
		Rate:        i.rate,
		Destination: i.destination,
		Kind:        api.DestinationKindID(indexOrLen(catalog.Kinds, i.kind)),
		Zone:        api.ZoneID(indexOrLen(catalog.Zones, i.zone)),
	}
}

// indexOrLen returns a name's index, or len(names) for an unknown name.
func indexOrLen(names []string, name string) int {
	if i := slices.Index(names, name); i >= 0 {
		return i
	}
	return len(names)
}
