package operator

import (
	"context"
	"net/http"
	"strconv"
	"strings"

	"github.com/rs/zerolog"

	"rowanlink/serving/errcode"
	"rowanlink/serving/event"
	"rowanlink/serving/routing"
	"rowanlink/serving/state"
)

// baseVersionHeader is the HTTP header with the version of the configuration that a change is based on.
const baseVersionHeader = "X-Based-On"

// emptyConfiguration is the document that reads return, and amendments apply to, until a configuration is committed.
var emptyConfiguration = []byte(`{"edition":0,"routings":[],"carriers":[]}`)

// ConfigurationResource handles reads and changes of the configuration.
type ConfigurationResource struct {
	register Register
	log      *zerolog.Logger
}

// changeRequest is an operator's request to change the configuration.
type changeRequest struct {
	baseVersion uint64
	body        []byte
}

// Replace replaces the configuration. It responds with 200 once a majority has stored it, 412 if another version is
// current, 400 if it is invalid, 503 if the outcome is in doubt. The change continues if the caller disconnects. This
// is safe: a change is committed only while its base version is current, so it can't overwrite a later change.
func (c *ConfigurationResource) Replace(w http.ResponseWriter, r *http.Request) {
	baseVersion, configuration, err := readConfiguration(w, r)
	if err != nil {
		c.reject(w, err)
		return
	}
	c.applyChange(w, r, configuration.Version, func(ctx context.Context) error {
		return c.register.ReplaceConfiguration(ctx, baseVersion, configuration)
	})
}

// Amend changes named items of the configuration and responds as Replace does. The amendment is applied to the
// configuration that is in the register at the commit, provided that it has the amendment's base version.
func (c *ConfigurationResource) Amend(w http.ResponseWriter, r *http.Request) {
	amendment, err := readAmendment(w, r)
	if err != nil {
		c.reject(w, err)
		return
	}
	c.applyChange(w, r, amendment.content.Version, func(ctx context.Context) error {
		return c.register.AmendConfiguration(ctx, amendment)
	})
}

// Read responds with the newest configuration, byte for byte as it was sent, or with 503 if no majority answers.
func (c *ConfigurationResource) Read(w http.ResponseWriter, r *http.Request) {
	ctx, cancel := context.WithTimeout(r.Context(), changeTimeout)
	defer cancel()
	record, err := c.register.Read(ctx)
	if err != nil {
		writeError(w, errcode.NoQuorum.With("%v", err))
		return
	}
	document, err := documentOf(record.Configuration)
	if err != nil {
		writeError(w, err)
		return
	}
	writeJSON(w, http.StatusOK, document)
}

// reject responds to a request that is invalid in itself; the register isn't asked.
func (c *ConfigurationResource) reject(w http.ResponseWriter, err error) {
	event.ConfigurationRejected.Log(c.log).Err(err).Send()
	writeError(w, err)
}

// applyChange changes the register and responds with the outcome.
func (c *ConfigurationResource) applyChange(w http.ResponseWriter, r *http.Request, version uint64,
	change func(context.Context) error) {
	ctx, cancel := context.WithTimeout(context.WithoutCancel(r.Context()), changeTimeout)
	defer cancel()
	if err := change(ctx); err != nil {
		c.writeChangeError(w, changeError(err, errcode.ChangeInDoubt), version)
		return
	}
	event.ConfigurationAcknowledged.Log(c.log).Uint64("version", version).Send()
	writeJSON(w, http.StatusOK, emptyBody)
}

// writeChangeError logs and responds with the error of a change.
func (c *ConfigurationResource) writeChangeError(w http.ResponseWriter, err error, version uint64) {
	kind := event.ConfigurationRejected
	if errcode.ChangeInDoubt.Is(err) {
		kind = event.ChangeInDoubt
	}
	kind.Log(c.log).Uint64("version", version).Err(err).Send()
	writeError(w, err)
}

// readConfiguration reads and validates a new configuration and its base version.
func readConfiguration(w http.ResponseWriter, r *http.Request) (uint64, state.Configuration, error) {
	request, err := readChangeRequest(w, r)
	if err != nil {
		return 0, state.Configuration{}, err
	}
	table, err := routing.Parse(request.body)
	if err != nil {
		return 0, state.Configuration{}, err
	}
	configuration, err := state.NewConfiguration(table.Version, request.body)
	return request.baseVersion, configuration, err
}

// readChangeRequest reads the base version and the body of a change.
func readChangeRequest(w http.ResponseWriter, r *http.Request) (changeRequest, error) {
	baseVersion, err := parseBaseVersion(r.Header.Get(baseVersionHeader))
	if err != nil {
		return changeRequest{}, err
	}
	body, err := readBody(w, r, maxDocumentBytes)
	return changeRequest{baseVersion: baseVersion, body: body}, err
}

// parseBaseVersion parses a version number, which may be quoted like an entity tag.
func parseBaseVersion(text string) (uint64, error) {
	version, err := strconv.ParseUint(strings.Trim(strings.TrimSpace(text), `"`), 10, 64)
	if err != nil {
		return 0, errcode.BaseVersionUnreadable.With("%s: %q", baseVersionHeader, text)
	}
	return version, nil
}

// documentOf returns a configuration's document; before the first configuration, an empty one.
func documentOf(configuration state.Configuration) ([]byte, error) {
	if configuration.Version == 0 {
		return emptyConfiguration, nil
	}
	return configuration.Decompress()
}
