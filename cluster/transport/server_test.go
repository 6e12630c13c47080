package transport

import (
	"testing"

	"github.com/klauspost/compress/s2"
	"github.com/stretchr/testify/require"
	"github.com/valyala/fasthttp"
)

func TestServer_RejectsOversizedDecompressedBodies(t *testing.T) {
	address := startServer(t, func(*fasthttp.RequestCtx) { t.Error("handled") })
	for body, status := range map[string]int{
		string(s2.Encode(nil, make([]byte, MaxMessageSize+1))): fasthttp.StatusRequestEntityTooLarge,
		"\xff": fasthttp.StatusBadRequest,
	} {
		request, response := fasthttp.AcquireRequest(), fasthttp.AcquireResponse()
		request.SetRequestURI("http://" + address + "/x")
		request.Header.SetMethod(fasthttp.MethodPost)
		request.Header.Set(compressionHeader, compressionS2)
		request.SetBodyString(body)
		require.NoError(t, fasthttp.Do(request, response))
		require.Equal(t, status, response.StatusCode())
	}
}
