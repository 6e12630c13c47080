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

// configuration is the dispatcher's configuration file, with the settings parsed from it.
type configuration struct {
	document    gjson.Result
	settings    api.Settings
	catalog     config.Catalog
	idleTimeout api.Micros // after which an idle connection to an endpoint is closed
}

// immutableKeys can't change while the process runs.
var immutableKeys = []string{"listen", "limits.sockets", "limits.disk_mb", "limits.memory_mb"}

// retainNames returns how long the name of a removed endpoint may still be needed: twice the longest TTL.
func (c configuration) retainNames() (longest api.Micros) {
	for _, t := range c.settings.EventTypes {
		longest = max(longest, 2*t.TTL)
	}
	return longest
}

// limit returns a configured limit, or fallback where the limit is missing or not positive.
func (c configuration) limit(name string, fallback float64) float64 {
	if v := c.document.Get("limits." + name).Float(); v > 0 {
		return v
	}
	return fallback
}

func (c configuration) discoveryAddress() string { return c.document.Get("discovery").String() }

// loadConfiguration reads and checks the file. The text of an error is one line.
func loadConfiguration(path string) (configuration, error) {
	document, err := readDocument(path)
	if err != nil {
		return configuration{}, err
	}
	return parseConfiguration(document)
}

// parseConfiguration reads the settings in the document.
func parseConfiguration(document gjson.Result) (configuration, error) {
	seed, err := strconv.ParseUint(document.Get("seed").String(), 16, 64)
	if err != nil {
		return configuration{}, fmt.Errorf("seed: %w", err)
	}
	c := configuration{document: document}
	c.settings, c.catalog, c.idleTimeout, err = config.FromJSON(seed, document.Get("settings"))
	c.settings.ConnectionLimitsReported = true // upstream recognizes them and reports api.ConnectionLimited
	return c, err
}

func readDocument(path string) (gjson.Result, error) {
	raw, err := os.ReadFile(path)
	if err != nil {
		return gjson.Result{}, fmt.Errorf("configuration: %w", err)
	}
	document := gjson.ParseBytes(raw)
	if !gjson.ValidBytes(raw) || !document.IsObject() {
		return gjson.Result{}, fmt.Errorf("configuration %s is not a JSON object", path)
	}
	for _, key := range []string{"listen", "discovery", "settings"} {
		if !document.Get(key).Exists() {
			return gjson.Result{}, fmt.Errorf("configuration %s lacks %s", path, key)
		}
	}
	return document, nil
}

// reloadOnSignal reads the configuration again on each SIGHUP and passes it on. A file that can't be read, or can't be
// applied to a running dispatcher, changes nothing.
func reloadOnSignal(hangups <-chan os.Signal, path string, current configuration, apply func(configuration)) {
	for range hangups {
		next, err := reload(path, current)
		if err != nil {
			slog.Error("configuration not reloaded, the old one stays in force", "reason", err)
			continue
		}
		apply(next)
		current = next.withRetiredNames(current)
		slog.Info("configuration reloaded",
			"discovery", next.discoveryAddress(),
			"slots", next.settings.MaxInFlight,
			"buffer", next.settings.BufferSize,
			"dispatchers", next.settings.Dispatchers,
			"event_types", len(next.catalog.EventTypes),
			"kinds", len(next.catalog.Kinds))
	}
}

// reload reads a configuration that can replace the current one.
func reload(path string, current configuration) (configuration, error) {
	document, err := readDocument(path)
	if err != nil {
		return configuration{}, err
	}
	if _, _, err := net.SplitHostPort(document.Get("discovery").String()); err != nil {
		return configuration{}, err
	}
	for _, key := range immutableKeys {
		if document.Get(key).String() != current.document.Get(key).String() {
			return configuration{}, fmt.Errorf("%s can't change in a running process", key)
		}
	}
	next, err := parseConfiguration(document)
	if err != nil {
		return configuration{}, err
	}
	return next, config.CheckReload(current.settings, next.settings, current.catalog, next.catalog)
}

// withRetiredNames returns the configuration extended by the names that only the previous one has. Later reloads are checked
// against the result: the index of a removed name must not get another name, since pending webhooks refer to names by
// index.
func (c configuration) withRetiredNames(before configuration) configuration {
	c.catalog.EventTypes = withTail(c.catalog.EventTypes, before.catalog.EventTypes)
	c.catalog.Tenants = withTail(c.catalog.Tenants, before.catalog.Tenants)
	c.catalog.Kinds = withTail(c.catalog.Kinds, before.catalog.Kinds)
	c.catalog.Zones = withTail(c.catalog.Zones, before.catalog.Zones)
	c.settings.DestinationKinds = withTail(c.settings.DestinationKinds, before.settings.DestinationKinds)
	return c
}

// withTail returns now, followed by the elements of before that lie beyond the end of now.
func withTail[T any](now, before []T) []T {
	return slices.Concat(now, before[min(len(now), len(before)):])
}
