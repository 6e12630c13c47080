package main

import (
	"bytes"
	"os"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/pelletier/go-toml/v2"

	"rowanlink/test/fake/endpoint"
)

// file is what a TOML file says. Times are in milliseconds.
type file struct {
	Control       []string  `toml:"control"`       // control addresses of the system
	Configuration string    `toml:"configuration"` // file of the first configuration, relative to this file; empty: none
	Services      []service `toml:"service"`
}

// service is one service and its endpoints.
type service struct {
	Name        string        `toml:"name"`
	HealthPath  string        `toml:"health_path"`
	Edition     string        `toml:"edition"`
	Slots       int           `toml:"slots"`
	Connections int           `toml:"connections"`
	BeatMillis  int           `toml:"beat_ms"`
	DrainMillis int           `toml:"drain_ms"`
	WorkMillis  float64       `toml:"work_ms"`
	ColdMillis  int           `toml:"cold_ms"`
	ColdRate    float64       `toml:"cold_rate_s"`
	Engine      *engine       `toml:"engine"`
	Endpoints   []oneEndpoint `toml:"endpoint"`
}

// engine describes a language model.
type engine struct {
	Model       string  `toml:"model"`
	StepMillis  float64 `toml:"step_ms"`
	ReadRate    float64 `toml:"tokens_read_ms"`
	CacheTokens int     `toml:"cache_tokens"`
	Stride      int     `toml:"stride"`
}

// oneEndpoint is where one endpoint stands.
type oneEndpoint struct {
	Zone   string `toml:"zone"`
	Listen string `toml:"listen"`
}

// load reads a file. Fields that it doesn't know are errors.
func load(path string) (*file, error) {
	content, err := os.ReadFile(path)
	if err != nil {
		return nil, errors.Wrap(err, "file")
	}
	read := &file{}
	decoder := toml.NewDecoder(bytes.NewReader(content)).DisallowUnknownFields()
	if err := decoder.Decode(read); err != nil {
		return nil, errors.Wrapf(err, "%s", path)
	}
	return read, nil
}

// endpoints are the options of all endpoints.
func (f *file) endpoints() (all []endpoint.Options) {
	for _, s := range f.Services {
		for _, e := range s.Endpoints {
			options := s.options()
			options.Control, options.Zone, options.ListenAddress = f.Control, e.Zone, e.Listen
			all = append(all, options)
		}
	}
	return all
}

// options are what a service's endpoints have in common.
func (s *service) options() endpoint.Options {
	options := endpoint.Options{Service: s.Name, HealthPath: s.HealthPath, Edition: s.Edition, Slots: s.Slots,
		MaxConnections: s.Connections, HeartbeatInterval: millis(float64(s.BeatMillis)), DrainTime: millis(float64(s.DrainMillis)),
		ProcessingTime: millis(s.WorkMillis), Warmup: endpoint.Warmup{Span: millis(float64(s.ColdMillis)), MaxRate: s.ColdRate}}
	if s.Engine != nil {
		options.Engine = &endpoint.Engine{Model: s.Engine.Model, DecodeStep: millis(s.Engine.StepMillis),
			PrefillRate: s.Engine.ReadRate, CacheTokens: s.Engine.CacheTokens, TokensPerEvent: s.Engine.Stride}
	}
	return options
}

func millis(number float64) time.Duration { return time.Duration(number * float64(time.Millisecond)) }
