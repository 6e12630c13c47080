package operator

import (
	"context"
	"encoding/json"
	"net/http"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/rs/zerolog"
	"github.com/tidwall/gjson"

	"rowanlink/serving/errcode"
	"rowanlink/serving/event"
	"rowanlink/serving/rollout"
	"rowanlink/serving/routing"
	"rowanlink/serving/schema"
	"rowanlink/serving/state"
)

// maxRolloutDuration bounds the time that an order may allow.
const maxRolloutDuration = 7 * 24 * time.Hour

// rolloutStateNames are the names of the states of roll-outs in responses.
var rolloutStateNames = map[state.RolloutState]string{
	state.RolloutInProgress: "in_transit",
	state.RolloutPromoted:   "delivered",
	state.RolloutRolledBack: "returned",
}

// rolloutStepNames are the names of the steps in responses.
var rolloutStepNames = map[state.RolloutStep]string{
	state.RolloutCanary: "canary",
	state.RolloutLoad:   "load",
	state.RolloutRamp:   "ramp",
	state.RolloutFull:   "full",
}

// rolloutReasonNames are the names of the reasons of a return in responses.
var rolloutReasonNames = map[state.RolloutReason]string{
	state.RolloutFailures:     "failures",
	state.RolloutSlow:         "slow",
	state.RolloutNoEndpoints:  "no_endpoints",
	state.RolloutUnobservable: "unobservable",
}

// orderFields are the fields of the order of a roll-out.
var orderFields = schema.Table[rollout.Order]{
	{Name: "carrier", Required: true, Check: schema.NotEmpty,
		Type: schema.String(func(o *rollout.Order) *string { return &o.Service })},
	{Name: "target", Required: true, Check: schema.NotEmpty,
		Type: schema.Raw(func(o *rollout.Order, value gjson.Result) error {
			if value.IsObject() || value.IsArray() {
				return errors.New("is not a version")
			}
			o.Target = value.String()
			return nil
		})},
	{Name: "over_s", Required: true,
		Type: schema.Duration(time.Second, func(o *rollout.Order) *time.Duration { return &o.Duration })},
}

// RolloutResource handles the roll-outs of software versions.
type RolloutResource struct {
	register Register
	isRecent func(orderRevision uint64) bool // nil: always
	check    func(ctx context.Context) error // nil: a roll-out may always begin
	log      *zerolog.Logger
}

// Begin begins a roll-out. It responds with 200 once the order is committed, also if it was before, 400 if it is invalid,
// 404 if the configuration doesn't name the service, 503 if the outcome is in doubt. An order that was committed is
// carried out whatever becomes of its caller.
func (r *RolloutResource) Begin(w http.ResponseWriter, request *http.Request) {
	order, err := readOrder(w, request)
	if err != nil {
		event.RolloutRejected.Log(r.log).Err(err).Send()
		writeError(w, err)
		return
	}
	r.logOrder(event.RolloutOrdered, order).Send()
	ctx, cancel := context.WithTimeout(context.WithoutCancel(request.Context()), changeTimeout)
	defer cancel()
	if err := r.checkReleases(ctx); err != nil {
		r.respondRejected(w, order, err)
		return
	}
	if err := r.register.BeginRollout(ctx, order, r.isRecentOrder); err != nil {
		r.respondRejected(w, order, err)
		return
	}
	r.logOrder(event.RolloutAcknowledged, order).Send()
	writeJSON(w, http.StatusOK, emptyBody)
}

// respondRejected responds to an order that wasn't committed, as far as is known.
func (r *RolloutResource) respondRejected(w http.ResponseWriter, order rollout.Order, err error) {
	if errcode.RolloutService.Is(err) || errcode.RolloutTooEarly.Is(err) || errcode.RolloutReleases.Is(err) {
		r.logOrder(event.RolloutRejected, order).Err(err).Send()
		writeError(w, err)
		return
	}
	r.logOrder(event.ChangeInDoubt, order).Err(err).Send()
	writeError(w, changeError(err, errcode.ChangeInDoubt))
}

// checkReleases returns why no roll-out may begin now.
func (r *RolloutResource) checkReleases(ctx context.Context) error {
	if r.check == nil {
		return nil
	}
	return r.check(ctx)
}

func (r *RolloutResource) isRecentOrder(orderRevision uint64) bool {
	return r.isRecent == nil || r.isRecent(orderRevision)
}

func (r *RolloutResource) logOrder(kind event.Kind, order rollout.Order) *zerolog.Event {
	return kind.Log(r.log).Str("service", order.Service).Str("target", order.Target).Dur("duration_ms", order.Duration)
}

// rolloutBody is the response to a read. Callers that only know the first two fields ignore the others.
type rolloutBody struct {
	State   string             `json:"state"`
	Target  string             `json:"target"`
	Step    string             `json:"step,omitempty"`
	Verdict rolloutVerdictBody `json:"verdict"`
	Retired []string           `json:"retired,omitempty"`
}

// rolloutVerdictBody is the part of the response that says what the newest decision rests on.
type rolloutVerdictBody struct {
	Reason   string     `json:"reason,omitempty"`
	Route    string     `json:"route,omitempty"`
	Target   countsBody `json:"target"`
	Baseline countsBody `json:"baseline"`
}

// countsBody are counts of answers.
type countsBody struct {
	Answers int `json:"answers"`
	Failed  int `json:"failed"`
	Timed   int `json:"timed"`
	Slow    int `json:"slow"`
}

// Read responds with the newest roll-out of a service as a majority holds it, 404 if there never was one, or 503 without
// a majority.
func (r *RolloutResource) Read(w http.ResponseWriter, request *http.Request) {
	ctx, cancel := context.WithTimeout(request.Context(), changeTimeout)
	defer cancel()
	record, err := r.register.Read(ctx)
	if err != nil {
		writeError(w, errcode.NoQuorum.With("%v", err))
		return
	}
	service := request.PathValue("service")
	known, found := record.Rollout(service)
	if !found {
		writeError(w, errcode.RolloutUnknown.With("%q", service))
		return
	}
	body, err := json.Marshal(bodyOf(known))
	if err != nil {
		writeError(w, err)
		return
	}
	writeJSON(w, http.StatusOK, body)
}

// bodyOf returns the response that describes a roll-out.
func bodyOf(known state.Rollout) rolloutBody {
	body := rolloutBody{
		State:  rolloutStateNames[known.State],
		Target: known.Target,
		Verdict: rolloutVerdictBody{
			Reason:   rolloutReasonNames[known.Verdict.Reason],
			Route:    known.Verdict.Route,
			Target:   countsBody(known.Verdict.Target),
			Baseline: countsBody(known.Verdict.Baseline),
		},
		Retired: known.Retired,
	}
	if known.State == state.RolloutInProgress {
		body.Step = rolloutStepNames[known.Step]
	}
	return body
}

// readOrder reads and validates the order of a roll-out.
func readOrder(w http.ResponseWriter, request *http.Request) (order rollout.Order, err error) {
	body, err := readBody(w, request, maxOrderBytes)
	if err != nil {
		return order, err
	}
	if err := orderFields.Parse(body, &order); err != nil {
		return order, errcode.RolloutUnreadable.With("%s", errcode.Of(err).Detail)
	}
	if order.Duration <= 0 || order.Duration > maxRolloutDuration {
		return order, errcode.RolloutUnreadable.With("over_s: %v is not between 0 and %v", order.Duration, maxRolloutDuration)
	}
	return order, nil
}

// checkService returns why a configuration has no such service; nil if it has.
func checkService(configuration state.Configuration, service string) error {
	if configuration.Version == 0 {
		return errcode.RolloutTooEarly.With("%q", service)
	}
	document, err := configuration.Decompress()
	if err != nil {
		return err
	}
	table, err := routing.Parse(document)
	if err != nil {
		return err
	}
	if _, found := table.Service(service); !found {
		return errcode.RolloutService.With("%q", service)
	}
	return nil
}
