package metrics

import (
	"io"
	"net/http"
	"net/http/httptest"
	"testing"

	"github.com/rs/zerolog"
	"github.com/stretchr/testify/assert"

	"rowanlink/serving/event"
)

func TestHandler(t *testing.T) {
	log := zerolog.Nop()
	event.ProgramStarted.Log(&log).Send()
	handler := Handler(func(w io.Writer) { WriteGauge(w, "rowan_test", 7) })
	response := httptest.NewRecorder()
	handler.ServeHTTP(response, httptest.NewRequestWithContext(t.Context(), http.MethodGet, Path, nil))
	assert.Equal(t, http.StatusOK, response.Code)
	assert.Equal(t, contentType, response.Header().Get("Content-Type"))
	assert.Equal(t, "rowan_test 7\nrowan_events_total{event=\"110\"} 1\n", response.Body.String())

	response = httptest.NewRecorder()
	handler.ServeHTTP(response, httptest.NewRequestWithContext(t.Context(), http.MethodPost, Path, nil))
	assert.Equal(t, http.StatusMethodNotAllowed, response.Code)
}
