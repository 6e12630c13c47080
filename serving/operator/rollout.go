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

// maxRolloutDuration is the longest duration (over_s) that an order may give for its roll-out.
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

// rolloutReasonNames are the names in responses of the reasons for a rollback.
var rolloutReasonNames = map[state.RolloutReason]string{
	state.RolloutFailures:     "failures",
	state.RolloutSlow:         "slow",
	state.RolloutNoEndpoints:  "no_endpoints",
	state.RolloutUnobservable: "unobservable",
}

// orderFields are the fields of a roll-out order.
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
	register      Register
	isRecent      func(orderRevision uint64) bool // may be nil, see Options.IsRecentRollout
	checkRollouts func(ctx context.Context) error // may be nil, see Options.CheckRollouts
	log           *zerolog.Logger
}

// Begin begins a roll-out. It responds with 200 once the order is committed, also if the same order was committed
// before; 400 if it is invalid; 404 if the configuration doesn't name the service; 413 if the body is too large; 503 if
// there is no configuration yet, if a member's release doesn't support roll-outs, or if the outcome is in doubt. The
// request continues if the caller disconnects, and a committed order is always carried out.
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
		r.writeOrderError(w, order, err)
		return
	}
	if err := r.register.BeginRollout(ctx, order, r.isRecentOrder); err != nil {
		r.writeOrderError(w, order, err)
		return
	}
	r.logOrder(event.RolloutAcknowledged, order).Send()
	writeJSON(w, http.StatusOK, emptyBody)
}

// writeOrderError logs and responds with the error of an order. The order was rejected, or its outcome is in doubt.
func (r *RolloutResource) writeOrderError(w http.ResponseWriter, order rollout.Order, err error) {
	if errcode.RolloutServiceUnknown.Is(err) || errcode.RolloutBeforeConfiguration.Is(err) ||
		errcode.RolloutUnsupported.Is(err) {
		r.logOrder(event.RolloutRejected, order).Err(err).Send()
		writeError(w, err)
		return
	}
	r.logOrder(event.ChangeInDoubt, order).Err(err).Send()
	writeError(w, changeError(err, errcode.ChangeInDoubt))
}

// checkReleases returns errcode.RolloutUnsupported if no roll-out may begin now.
func (r *RolloutResource) checkReleases(ctx context.Context) error {
	if r.checkRollouts == nil {
		return nil
	}
	return r.checkRollouts(ctx)
}

// isRecentOrder reports whether the operator may still be retrying the order with this revision.
func (r *RolloutResource) isRecentOrder(orderRevision uint64) bool {
	return r.isRecent == nil || r.isRecent(orderRevision)
}

// logOrder starts a log line of the kind with the fields of an order.
func (r *RolloutResource) logOrder(kind event.Kind, order rollout.Order) *zerolog.Event {
	return kind.Log(r.log).Str("service", order.Service).Str("target", order.Target).Dur("duration_ms", order.Duration)
}

// rolloutBody is the body of the response to a read. Some callers know only its first two fields and ignore the others.
type rolloutBody struct {
	State   string             `json:"state"`
	Target  string             `json:"target"`
	Step    string             `json:"step,omitempty"`
	Verdict rolloutVerdictBody `json:"verdict"`
	Retired []string           `json:"retired,omitempty"`
}

// rolloutVerdictBody is the part of the response with the counts that the newest decision is based on and, for a
// rollback, its reason.
type rolloutVerdictBody struct {
	Reason   string     `json:"reason,omitempty"`
	Route    string     `json:"route,omitempty"`
	Target   countsBody `json:"target"`
	Baseline countsBody `json:"baseline"`
}

// countsBody holds counts of endpoints' answers, as state.AnswerCounts explains them.
type countsBody struct {
	Answers int `json:"answers"`
	Failed  int `json:"failed"`
	Timed   int `json:"timed"`
	Slow    int `json:"slow"`
}

// Read responds with the newest committed roll-out of a service, 404 if there never was one, or 503 if no majority
// answers.
func (r *RolloutResource) Read(w http.ResponseWriter, request *http.Request) {
	ctx, cancel := context.WithTimeout(request.Context(), changeTimeout)
	defer cancel()
	record, err := r.register.Read(ctx)
	if err != nil {
		writeError(w, errcode.NoQuorum.With("%v", err))
		return
	}
	service := request.PathValue("service")
	newest, found := record.Rollout(service)
	if !found {
		writeError(w, errcode.RolloutUnknown.With("%q", service))
		return
	}
	body, err := json.Marshal(newRolloutBody(newest))
	if err != nil {
		writeError(w, err)
		return
	}
	writeJSON(w, http.StatusOK, body)
}

// newRolloutBody returns the response that describes a roll-out. It has a step only while the roll-out is in progress.
func newRolloutBody(described state.Rollout) rolloutBody {
	body := rolloutBody{
		State:  rolloutStateNames[described.State],
		Target: described.Target,
		Verdict: rolloutVerdictBody{
			Reason:   rolloutReasonNames[described.Verdict.Reason],
			Route:    described.Verdict.Route,
			Target:   countsBody(described.Verdict.Target),
			Baseline: countsBody(described.Verdict.Baseline),
		},
		Retired: described.Retired,
	}
	if described.State == state.RolloutInProgress {
		body.Step = rolloutStepNames[described.Step]
	}
	return body
}

// readOrder reads and validates a roll-out order.
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

// checkService returns nil if a configuration names the service. Otherwise it returns
// errcode.RolloutBeforeConfiguration if there is no configuration yet, or errcode.RolloutServiceUnknown.
func checkService(configuration state.Configuration, service string) error {
	if configuration.Version == 0 {
		return errcode.RolloutBeforeConfiguration.With("%q", service)
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
		return errcode.RolloutServiceUnknown.With("%q", service)
	}
	return nil
}
