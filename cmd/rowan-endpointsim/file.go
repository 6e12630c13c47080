package main

import (
	"bytes"
	"os"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/pelletier/go-toml/v2"

	"rowanlink/test/fake/endpoint"
)

// simulationFile is the TOML file that describes the endpoints. Times are in milliseconds.
type simulationFile struct {
	Control       []string       `toml:"control"`       // control addresses of the system
	Configuration string         `toml:"configuration"` // file of the first configuration, relative to this file; empty: none
	Services      []serviceEntry `toml:"service"`
}

// serviceEntry describes a service and its endpoints.
type serviceEntry struct {
	Name             string          `toml:"name"`
	HealthPath       string          `toml:"health_path"`
	Edition          string          `toml:"edition"`
	Slots            int             `toml:"slots"`
	Connections      int             `toml:"connections"`
	HeartbeatMillis  int             `toml:"beat_ms"`
	DrainMillis      int             `toml:"drain_ms"`
	ProcessingMillis float64         `toml:"work_ms"`
	WarmupMillis     int             `toml:"cold_ms"`
	WarmupRate       float64         `toml:"cold_rate_s"`
	Engine           *engineEntry    `toml:"engine"`
	Endpoints        []endpointEntry `toml:"endpoint"`
}

// engineEntry describes a language model's engine.
type engineEntry struct {
	Model            string  `toml:"model"`
	DecodeStepMillis float64 `toml:"step_ms"`
	PrefillRate      float64 `toml:"tokens_read_ms"`
	CacheTokens      int     `toml:"cache_tokens"`
	TokensPerEvent   int     `toml:"stride"`
}

// endpointEntry describes one endpoint of a service.
type endpointEntry struct {
	Zone   string `toml:"zone"`
	Listen string `toml:"listen"`
}

// loadFile reads a file. Unknown fields are errors.
func loadFile(path string) (*simulationFile, error) {
	content, err := os.ReadFile(path)
	if err != nil {
		return nil, errors.Wrap(err, "file")
	}
	read := &simulationFile{}
	decoder := toml.NewDecoder(bytes.NewReader(content)).DisallowUnknownFields()
	if err := decoder.Decode(read); err != nil {
		return nil, errors.Wrapf(err, "%s", path)
	}
	return read, nil
}

// endpoints returns the options of all endpoints.
func (f *simulationFile) endpoints() (all []endpoint.Options) {
	for _, s := range f.Services {
		for _, e := range s.Endpoints {
			options := s.options()
			options.Control = f.Control
			options.Zone = e.Zone
			options.ListenAddress = e.Listen
			all = append(all, options)
		}
	}
	return all
}

// options returns the options that a service's endpoints have in common.
func (s *serviceEntry) options() endpoint.Options {
	options := endpoint.Options{
		Service:           s.Name,
		HealthPath:        s.HealthPath,
		Edition:           s.Edition,
		Slots:             s.Slots,
		MaxConnections:    s.Connections,
		HeartbeatInterval: milliseconds(float64(s.HeartbeatMillis)),
		DrainTime:         milliseconds(float64(s.DrainMillis)),
		ProcessingTime:    milliseconds(s.ProcessingMillis),
		Warmup: endpoint.Warmup{
			Span:    milliseconds(float64(s.WarmupMillis)),
			MaxRate: s.WarmupRate,
		},
	}
	if s.Engine != nil {
		options.Engine = &endpoint.Engine{
			Model:          s.Engine.Model,
			DecodeStep:     milliseconds(s.Engine.DecodeStepMillis),
			PrefillRate:    s.Engine.PrefillRate,
			CacheTokens:    s.Engine.CacheTokens,
			TokensPerEvent: s.Engine.TokensPerEvent,
		}
	}
	return options
}

func milliseconds(number float64) time.Duration {
	return time.Duration(number * float64(time.Millisecond))
}
