package operator

import (
	"encoding/binary"
	"net/http"

	"rowanlink/serving/errcode"
	"rowanlink/serving/routing"
	"rowanlink/serving/state"
)

// Amendment is an operator's request to change named items of the configuration.
type Amendment struct {
	baseVersion uint64
	digest      state.Digest // of the base version and the body; identifies the request when it is retried
	content     *routing.Amendment
}

// readAmendment reads and validates an amendment.
func readAmendment(w http.ResponseWriter, r *http.Request) (Amendment, error) {
	request, err := readChangeRequest(w, r)
	if err != nil {
		return Amendment{}, err
	}
	amendment, err := routing.ParseAmendment(request.body)
	if err != nil {
		return Amendment{}, err
	}
	identity := binary.BigEndian.AppendUint64([]byte("amendment"), request.baseVersion)
	identity = append(identity, request.body...)
	return Amendment{
		baseVersion: request.baseVersion,
		digest:      state.DigestOf(identity),
		content:     amendment,
	}, nil
}

// Apply returns the current configuration with the amendment applied. Its errors include those of routing.Parse and
// errcode.AmendedConfigurationTooLarge.
func (a *Amendment) Apply(current state.Configuration) (state.Configuration, error) {
	document, err := documentOf(current)
	if err != nil {
		return state.Configuration{}, err
	}
	amended := a.content.Apply(document)
	if len(amended) > maxDocumentBytes {
		return state.Configuration{}, errcode.AmendedConfigurationTooLarge.With("%d bytes", len(amended))
	}
	table, err := routing.Parse(amended)
	if err != nil {
		return state.Configuration{}, err
	}
	return state.NewConfiguration(table.Version, amended)
}
