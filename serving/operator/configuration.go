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

// baseVersionHeader names the version that a configuration builds on.
const baseVersionHeader = "X-Based-On"

// emptyConfiguration is what is read before the first configuration.
var emptyConfiguration = []byte(`{"edition":0,"routings":[],"carriers":[]}`)

// ConfigurationResource is the configuration in force.
type ConfigurationResource struct {
	register Register
	log      *zerolog.Logger
}

// Replace puts a configuration in force: 200 when a majority holds it, 412 when another version is current, 400 when
// it is invalid, 503 when that is open. The work goes on when the caller leaves: the version that the order builds on
// keeps it from being done too late.
func (s *ConfigurationResource) Replace(w http.ResponseWriter, r *http.Request) {
	basedOn, configuration, err := readConfiguration(w, r)
	if err != nil {
		event.ConfigurationRejected.Log(s.log).Err(err).Send()
		writeError(w, err)
		return
	}
	s.applyChange(w, r, configuration.Version, func(ctx context.Context) error {
		return s.register.ReplaceConfiguration(ctx, basedOn, configuration)
	})
}

// Amend changes named items of the configuration under the same terms as Replace. What comes of it is decided on the
// record that the register finds.
func (s *ConfigurationResource) Amend(w http.ResponseWriter, r *http.Request) {
	order, err := readAmendment(w, r)
	if err != nil {
		event.ConfigurationRejected.Log(s.log).Err(err).Send()
		writeError(w, err)
		return
	}
	s.applyChange(w, r, order.amendment.Version, func(ctx context.Context) error {
		return s.register.AmendConfiguration(ctx, order)
	})
}

// applyChange makes a change of the register and answers with what came of it.
func (s *ConfigurationResource) applyChange(w http.ResponseWriter, r *http.Request, version uint64,
	change func(context.Context) error) {
	ctx, cancel := context.WithTimeout(context.WithoutCancel(r.Context()), changeTimeout)
	defer cancel()
	if err := change(ctx); err != nil {
		s.writeChangeError(w, changeError(err, errcode.ChangeInDoubt), version)
		return
	}
	event.ConfigurationAcknowledged.Log(s.log).Uint64("version", version).Send()
	writeJSON(w, http.StatusOK, emptyBody)
}

func (s *ConfigurationResource) writeChangeError(w http.ResponseWriter, err error, version uint64) {
	kind := event.ConfigurationRejected
	if errcode.ChangeInDoubt.Is(err) {
		kind = event.ChangeInDoubt
	}
	kind.Log(s.log).Uint64("version", version).Err(err).Send()
	writeError(w, err)
}

// readConfiguration reads and checks an order, before the register sees it.
func readConfiguration(w http.ResponseWriter, r *http.Request) (uint64, state.Configuration, error) {
	basedOn, document, err := readChangeRequest(w, r)
	if err != nil {
		return 0, state.Configuration{}, err
	}
	table, err := routing.Parse(document)
	if err != nil {
		return 0, state.Configuration{}, err
	}
	configuration, err := state.NewConfiguration(table.Version, document)
	return basedOn, configuration, err
}

// readChangeRequest reads the version that an order builds on and its body.
func readChangeRequest(w http.ResponseWriter, r *http.Request) (basedOn uint64, body []byte, err error) {
	basedOn, err = parseBaseVersion(r.Header.Get(baseVersionHeader))
	if err != nil {
		return 0, nil, err
	}
	body, err = readBody(w, r, maxDocumentBytes)
	return basedOn, body, err
}

// parseBaseVersion reads a version number; quotes round it, as round entity tags, are taken too.
func parseBaseVersion(text string) (uint64, error) {
	version, err := strconv.ParseUint(strings.Trim(strings.TrimSpace(text), `"`), 10, 64)
	if err != nil {
		return 0, errcode.BaseVersionUnreadable.With("%s: %q", baseVersionHeader, text)
	}
	return version, nil
}

// openConfiguration returns the document, before the first one an empty configuration.
func openConfiguration(configuration state.Configuration) ([]byte, error) {
	if configuration.Version == 0 {
		return emptyConfiguration, nil
	}
	return configuration.Decompress()
}

// Read answers with the newest configuration, byte for byte as it was sent, or 503 without a majority.
func (s *ConfigurationResource) Read(w http.ResponseWriter, r *http.Request) {
	ctx, cancel := context.WithTimeout(r.Context(), changeTimeout)
	defer cancel()
	record, err := s.register.Read(ctx)
	if err != nil {
		writeError(w, errcode.NoQuorum.With("%v", err))
		return
	}
	document, err := openConfiguration(record.Configuration)
	if err != nil {
		writeError(w, err)
		return
	}
	writeJSON(w, http.StatusOK, document)
}
