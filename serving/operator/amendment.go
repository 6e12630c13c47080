package operator

import (
	"encoding/binary"
	"net/http"

	"rowanlink/serving/errcode"
	"rowanlink/serving/routing"
	"rowanlink/serving/state"
)

// Amendment is an order to change named items of the configuration.
type Amendment struct {
	baseVersion uint64
	digest      state.Digest // of the order: what it builds on and its body
	amendment   *routing.Amendment
}

// readAmendment reads an amendment, before the register sees it.
func readAmendment(w http.ResponseWriter, r *http.Request) (Amendment, error) {
	basedOn, body, err := readChangeRequest(w, r)
	if err != nil {
		return Amendment{}, err
	}
	amendment, err := routing.ParseAmendment(body)
	if err != nil {
		return Amendment{}, err
	}
	order := binary.BigEndian.AppendUint64([]byte("amendment"), basedOn)
	return Amendment{baseVersion: basedOn, digest: state.DigestOf(append(order, body...)), amendment: amendment}, nil
}

// Apply makes the configuration that comes of the amendment. Errors are those of routing.Parse and
// errcode.RequestTooLarge.
func (a *Amendment) Apply(current state.Configuration) (state.Configuration, error) {
	document, err := openConfiguration(current)
	if err != nil {
		return state.Configuration{}, err
	}
	amended := a.amendment.Apply(document)
	if len(amended) > maxDocumentBytes {
		return state.Configuration{}, errcode.AmendedConfigurationTooLarge.With("%d bytes", len(amended))
	}
	table, err := routing.Parse(amended)
	if err != nil {
		return state.Configuration{}, err
	}
	return state.NewConfiguration(table.Version, amended)
}
