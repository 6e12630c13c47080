package errcode

import (
	"net/http"
	"testing"

	"github.com/cockroachdb/errors"
	"github.com/stretchr/testify/assert"
)

func TestError_Text(t *testing.T) {
	assert.EqualError(t, ZoneUnknown.With("%q", "z"), `R0413 unknown zone: "z"`)
	assert.EqualError(t, ZoneUnknown.With(""), "R0413 unknown zone")
}

func TestKind_Is(t *testing.T) {
	wrapped := errors.Wrap(ZoneUnknown.With("z"), "evacuate")
	assert.True(t, ZoneUnknown.Is(wrapped))
	assert.False(t, NoQuorum.Is(wrapped))
	assert.False(t, ZoneUnknown.Is(errors.New("other")))
	assert.False(t, ZoneUnknown.Is(nil))
}

func TestOf(t *testing.T) {
	assert.Equal(t, http.StatusNotFound, Of(errors.Wrap(ZoneUnknown.With("z"), "evacuate")).Kind.Status)
	assert.Equal(t, &Error{Kind: Internal, Detail: "other"}, Of(errors.New("other")))
}

func TestDefine_PanicsForADuplicate(t *testing.T) {
	assert.Panics(t, func() { define(Internal.Code, http.StatusTeapot, "duplicate") })
}
