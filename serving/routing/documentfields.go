package routing

import (
	"time"

	"rowanlink/serving/schema"
)

// document is a configuration as the operator writes it. Some names in documents, and so in the errors about them, differ
// from those in the code: an edition is a version, a routing is a route, a carrier is a service, a station is a host, and
// a line type is a kind.
type document struct {
	version  uint64
	routes   []routeDocument
	services []Service
	limits   Limits
}

// routeDocument is a route as the operator writes it: with one service, or with a split over several services.
type routeDocument struct {
	Route
	service string
	split   []weightedServiceDocument
}

// weightedServiceDocument is one service of a split as the operator writes it.
type weightedServiceDocument struct {
	service string
	weight  float64
}

// kindNames maps the names of the kinds of route in documents.
var kindNames = map[string]Kind{"once_only": KindAtMostOnce, "repeatable": KindIdempotent, "stream": KindStream}

// The fields of a document and of its parts.
var (
	documentFields = schema.Table[document]{
		{Name: "edition", Required: true, Type: schema.Uint64(func(d *document) *uint64 { return &d.version })},
		{Name: "routings", Type: schema.ObjectList(routeFields, "name",
			func(d *document) *[]routeDocument { return &d.routes })},
		{Name: "carriers", Type: schema.ObjectList(serviceFields, "name",
			func(d *document) *[]Service { return &d.services })},
		{Name: "limits", Default: "{}", Type: schema.Object(limitFields, func(d *document) *Limits { return &d.limits })},
	}

	routeFields = schema.Table[routeDocument]{
		{Name: "name", Type: schema.String(func(r *routeDocument) *string { return &r.Name })},
		{Name: "station", Required: true, Check: schema.NotEmpty,
			Type: schema.String(func(r *routeDocument) *string { return &r.Host })},
		{Name: "lane_prefix", Required: true, Check: schema.SlashDelimited,
			Type: schema.String(func(r *routeDocument) *string { return &r.Prefix })},
		{Name: "line_type", Type: schema.Enum(kindNames, func(r *routeDocument) *Kind { return &r.Kind })},
		{Name: "timeout_ms", Default: "30000", Check: schema.Positive,
			Type: schema.Duration(time.Millisecond, func(r *routeDocument) *time.Duration { return &r.Timeout })},
		{Name: "target_ms", Type: schema.Duration(time.Millisecond, func(r *routeDocument) *time.Duration { return &r.LatencyTarget })},
		{Name: "precedence", Type: schema.Int(func(r *routeDocument) *int { return &r.Precedence })},
		{Name: "carrier", Type: schema.String(func(r *routeDocument) *string { return &r.service })},
		{Name: "split", Type: schema.ObjectList(weightedServiceFields, "carrier",
			func(r *routeDocument) *[]weightedServiceDocument { return &r.split })},
		{Name: "tries", Default: "1", ZeroMeansDefault: true,
			Type: schema.Int(func(r *routeDocument) *int { return &r.MaxAttempts })},
		{Name: "sticky", Type: schema.Bool(func(r *routeDocument) *bool { return &r.Sticky })},
		{Name: "resume", Type: schema.Bool(func(r *routeDocument) *bool { return &r.Resumable })},
		{Name: "gap_aim_ms", Type: schema.Duration(time.Millisecond,
			func(r *routeDocument) *time.Duration { return &r.GapTarget })},
		{Name: "home_regions", Type: schema.Strings(func(r *routeDocument) *[]string { return &r.HomeRegions })},
	}

	weightedServiceFields = schema.Table[weightedServiceDocument]{
		{Name: "carrier", Required: true, Type: schema.String(func(s *weightedServiceDocument) *string { return &s.service })},
		{Name: "share", Type: schema.Float64(func(s *weightedServiceDocument) *float64 { return &s.weight })},
	}

	serviceFields = schema.Table[Service]{
		{Name: "name", Required: true, Check: schema.NotEmpty,
			Type: schema.String(func(s *Service) *string { return &s.Name })},
		{Name: "health_path", Default: `"/"`, Type: schema.String(func(s *Service) *string { return &s.HealthPath })},
		{Name: "conn_cap", Type: schema.Int(func(s *Service) *int { return &s.MaxConnections })},
		{Name: "cold_s", Type: schema.Duration(time.Second, func(s *Service) *time.Duration { return &s.WarmUpDuration })},
		{Name: "cold_rate_s", Type: schema.Float64(func(s *Service) *float64 { return &s.WarmUpRate })},
		{Name: "engine", Type: schema.OptionalObject(engineFields, func(s *Service) **Engine { return &s.Engine })},
	}

	engineFields = schema.Table[Engine]{
		{Name: "berths", Type: schema.Int(func(e *Engine) *int { return &e.Slots })},
		{Name: "cache_tokens", Type: schema.Int(func(e *Engine) *int { return &e.CacheTokens })},
		{Name: "stride", Default: "1", ZeroMeansDefault: true, Type: schema.Int(func(e *Engine) *int { return &e.TokensPerEvent })},
	}

	limitFields = schema.Table[Limits]{
		{Name: "header_bytes", Default: "65536", ZeroMeansDefault: true,
			Type: schema.Int(func(l *Limits) *int { return &l.MaxHeaderBytes })},
		{Name: "body_bytes", Default: "8388608", ZeroMeansDefault: true,
			Type: schema.Int(func(l *Limits) *int { return &l.MaxBodyBytes })},
		{Name: "header_wait_ms", Default: "10000", ZeroMeansDefault: true,
			Type: schema.Duration(time.Millisecond, func(l *Limits) *time.Duration { return &l.HeaderTimeout })},
		{Name: "idle_ms", Default: "60000", ZeroMeansDefault: true,
			Type: schema.Duration(time.Millisecond, func(l *Limits) *time.Duration { return &l.IdleTimeout })},
	}
)
