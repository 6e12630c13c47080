package dispatcher

import (
	"fmt"
	"log/slog"
	"net"
	"os"
	"slices"
	"strconv"

	"github.com/tidwall/gjson"

	"rowanlink/webhook/api"
	"rowanlink/webhook/config"
)

// terms are what the configuration says of the platform, put into our words.
type terms struct {
	told      gjson.Result
	facts     api.Settings
	names     config.Catalog
	idleLimit api.Micros // after which an idle connection to an endpoint is closed
}

// keepNames is for how long a gone endpoint's name may still be waited for: two of the longest TTLs.
func (t terms) keepNames() (longest api.Micros) {
	for _, e := range t.facts.EventTypes {
		longest = max(longest, 2*e.TTL)
	}
	return longest
}

// limit is one of the limits, or what holds where none is told.
func (t terms) limit(name string, otherwise float64) float64 {
	if v := t.told.Get("limits." + name).Float(); v > 0 {
		return v
	}
	return otherwise
}

// settings reads what a dispatcher is told of its platform, for sockets.
func settings(told gjson.Result) (terms, error) {
	seed, err := strconv.ParseUint(told.Get("seed").String(), 16, 64)
	if err != nil {
		return terms{}, fmt.Errorf("seed: %w", err)
	}
	t := terms{told: told}
	t.facts, t.names, t.idleLimit, err = config.FromJSON(seed, told.Get("settings"))
	t.facts.ConnectionLimitsReported = true // the protocol's answer for it has an outcome of its own
	return t, err
}

// fixed is what holds from start to end.
var fixed = []string{"listen", "limits.sockets", "limits.disk_mb", "limits.memory_mb"}

// reload reads the configuration again on each SIGHUP and hands it on whole. A file that can't be read, or
// can't be applied to a running dispatcher, changes nothing.
func reload(hangups <-chan os.Signal, path string, was terms, renew func(terms)) {
	for range hangups {
		now, err := again(path, was)
		if err != nil {
			slog.Error("configuration not read again, the old one stays", "why", err)
			continue
		}
		renew(now)
		was = now.beside(was)
		slog.Info("configuration read again", "discovery", now.told.Get("discovery").String(),
			"slots", now.facts.MaxInFlight, "buffer", now.facts.BufferSize, "fleet", now.facts.Dispatchers,
			"event_types", len(now.names.EventTypes), "kinds", len(now.names.Kinds))
	}
}

// beside is what later settings have to fit. Guards a place whose name has gone against another one: webhooks
// are held and owed by it.
func (t terms) beside(was terms) terms {
	n := &t.names
	n.EventTypes, n.Tenants = stay(was.names.EventTypes, n.EventTypes), stay(was.names.Tenants, n.Tenants)
	n.Kinds, n.Zones = stay(was.names.Kinds, n.Kinds), stay(was.names.Zones, n.Zones)
	t.facts.DestinationKinds = stay(was.facts.DestinationKinds, t.facts.DestinationKinds)
	return t
}

func stay[T any](was, now []T) []T { return slices.Concat(now, was[min(len(now), len(was)):]) }

func again(path string, was terms) (terms, error) {
	told, err := configuration(path)
	if err != nil {
		return terms{}, err
	}
	if _, _, err = net.SplitHostPort(told.Get("discovery").String()); err != nil {
		return terms{}, err
	}
	for _, key := range fixed {
		if told.Get(key).String() != was.told.Get(key).String() {
			return terms{}, fmt.Errorf("%s can't change in a running process", key)
		}
	}
	now, err := settings(told)
	if err != nil {
		return terms{}, err
	}
	return now, config.CheckReload(was.facts, now.facts, was.names, now.names)
}

// configuration reads the file that tells a dispatcher all it is told, and says in one line what is wrong.
func configuration(path string) (gjson.Result, error) {
	raw, err := os.ReadFile(path)
	if err != nil {
		return gjson.Result{}, fmt.Errorf("configuration: %w", err)
	}
	told := gjson.ParseBytes(raw)
	if !gjson.ValidBytes(raw) || !told.IsObject() {
		return gjson.Result{}, fmt.Errorf("configuration %s is not a JSON object", path)
	}
	for _, needed := range []string{"listen", "discovery", "settings"} {
		if !told.Get(needed).Exists() {
			return gjson.Result{}, fmt.Errorf("configuration %s lacks %s", path, needed)
		}
	}
	return told, nil
}
