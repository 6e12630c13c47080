package upstream

import (
	"bytes"
	"log/slog"
	"strconv"

	"github.com/valyala/fasthttp"

	"rowanlink/webhook/api"
)

const microsPerMillisecond = 1000

// encodeRequest encodes a call as an HTTP request; remaining is the time left for its answer.
func encodeRequest(k *call, remaining api.Micros) []byte {
	request := fasthttp.AcquireRequest()
	defer fasthttp.ReleaseRequest(request)
	fillRequest(request, k, remaining)
	var out bytes.Buffer
	if _, err := request.WriteTo(&out); err != nil {
		slog.Error("call not encoded", "err", err) // can't happen: the texts of a webhook were checked when it was submitted
	}
	return out.Bytes()
}

func fillRequest(request *fasthttp.Request, k *call, remaining api.Micros) {
	request.Header.SetMethod(fasthttp.MethodPost)
	request.Header.SetHost(k.endpoint.addr)
	request.Header.SetUserAgent("rowanlink")
	request.Header.SetContentType("application/octet-stream")
	millis := max(int64(remaining/microsPerMillisecond), 1)
	request.Header.Set("Request-Timeout-Ms", strconv.FormatInt(millis, 10))
	if len(k.webhooks) > 1 {
		request.SetRequestURI("/events/bundle")
		request.SetBodyRaw(encodeBundle(k))
		return
	}
	w := k.webhooks[0]
	request.SetRequestURI("/events")
	request.Header.Set("Request-Id", string(w.RequestID))
	if w.Token != "" {
		request.Header.Set("Idempotency-Key", string(w.Token))
	}
	request.SetBodyRaw(w.Body)
}

// encodeBundle writes a line "id key length" and the body for each webhook.
func encodeBundle(k *call) []byte {
	const noKey = "-"
	var body bytes.Buffer
	for _, w := range k.webhooks {
		key := string(w.Token)
		if key == "" {
			key = noKey
		}
		body.WriteString(string(w.RequestID) + " " + key + " " + strconv.Itoa(len(w.Body)) + "\r\n")
		body.Write(w.Body)
		body.WriteString("\r\n")
	}
	return body.Bytes()
}
