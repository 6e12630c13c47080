// Package client is a client of the operators' API of the core members: it reads and changes the configuration,
// evacuates zones and rolls out software versions. It sends a call to the members in turn until one gives a final
// response.
package client

import (
	"bytes"
	"context"
	"encoding/json"
	"io"
	"net/http"
	"net/url"
	"strconv"
	"strings"
	"time"

	"github.com/cockroachdb/errors"

	"rowanlink/internal/ctxsleep"
)

const (
	// callTimeout bounds one attempt. It is twice the time within which a core member responds.
	callTimeout = 5 * time.Second
	// minBackoff and maxBackoff bound the exponential backoff between two rounds over the addresses.
	minBackoff = 100 * time.Millisecond
	maxBackoff = time.Second
	// maxResponseBytes bounds what is read of a response.
	maxResponseBytes = 16 << 20
)

// ErrNoAddress is returned by a Client without addresses.
var ErrNoAddress = errors.New("no control address")

// ErrInDoubt is returned for a call that got no clear answer, that is, no final response, before its context ended. A
// change may or may not be in force then.
var ErrInDoubt = errors.New("no clear answer in time")

// inDoubtError is ErrInDoubt with the errors of the last round over the addresses.
type inDoubtError struct{ last error }

// Error implements error.
func (e *inDoubtError) Error() string { return ErrInDoubt.Error() + ": " + e.last.Error() }

// Is reports that the error is ErrInDoubt.
func (e *inDoubtError) Is(target error) bool { return target == ErrInDoubt }

// Unwrap returns the errors of the last round over the addresses.
func (e *inDoubtError) Unwrap() error { return e.last }

// Client calls the operators' API. Its methods retry until their context ends; sending a change twice is harmless.
// Their errors are ErrInDoubt, ErrNoAddress or a *RejectedError. Other errors mean an invalid address, or a body that
// can't be encoded or decoded.
type Client struct {
	Addresses []string // host:port of core members
}

// RejectedError is returned for a call that a member rejected with a final response.
type RejectedError struct {
	Address string // of the member
	Status  int    // HTTP status
	Text    string // the member's error text, with the number of its errcode.Kind
}

// Error implements error.
func (e *RejectedError) Error() string {
	return "refused by " + e.Address + " with " + strconv.Itoa(e.Status) + ": " + e.Text
}

// Configuration returns the newest configuration, byte for byte as it was sent.
func (c *Client) Configuration(ctx context.Context) ([]byte, error) {
	return c.send(ctx, call{method: http.MethodGet, path: readPath})
}

// ReplaceConfiguration replaces the configuration of version baseVersion by a document. The base version is 0 if there
// is no configuration yet.
func (c *Client) ReplaceConfiguration(ctx context.Context, baseVersion uint64, document []byte) error {
	return c.changeConfiguration(ctx, replacePath, baseVersion, document)
}

// AmendConfiguration applies an amendment to the configuration of version baseVersion.
func (c *Client) AmendConfiguration(ctx context.Context, baseVersion uint64, amendment []byte) error {
	return c.changeConfiguration(ctx, amendPath, baseVersion, amendment)
}

func (c *Client) changeConfiguration(ctx context.Context, path string, baseVersion uint64, body []byte) error {
	header := http.Header{
		contentTypeHeader: {jsonContentType},
		baseVersionHeader: {strconv.FormatUint(baseVersion, 10)},
	}
	_, err := c.send(ctx, call{method: http.MethodPost, path: path, header: header, body: body})
	return err
}

// Evacuate starts the evacuation of a zone: its endpoints get no more requests.
func (c *Client) Evacuate(ctx context.Context, zone string) error {
	return c.setEvacuation(ctx, beginEvacuationPath, zone)
}

// EndEvacuation ends the evacuation of a zone.
func (c *Client) EndEvacuation(ctx context.Context, zone string) error {
	return c.setEvacuation(ctx, endEvacuationPath, zone)
}

func (c *Client) setEvacuation(ctx context.Context, path, zone string) error {
	_, err := c.send(ctx, call{method: http.MethodPost, path: path + url.PathEscape(zone)})
	return err
}

// BeginRollout orders a roll-out: within the duration, the traffic of a service is moved to the target, a software
// version.
func (c *Client) BeginRollout(ctx context.Context, service, target string, duration time.Duration) error {
	order := rolloutOrder{Service: service, Target: target, Seconds: duration.Seconds()}
	body, err := json.Marshal(order)
	if err != nil {
		return errors.Wrap(err, "encode the order")
	}
	header := http.Header{contentTypeHeader: {jsonContentType}}
	_, err = c.send(ctx, call{method: http.MethodPost, path: beginRolloutPath, header: header, body: body})
	return err
}

// Rollout returns the newest roll-out of a service.
func (c *Client) Rollout(ctx context.Context, service string) (Rollout, error) {
	var found Rollout
	body, err := c.send(ctx, call{method: http.MethodGet, path: readRolloutPath + url.PathEscape(service)})
	if err != nil {
		return found, err
	}
	return found, errors.Wrap(json.Unmarshal(body, &found), "decode the roll-out")
}

// call is one call of the operators' API.
type call struct {
	method string
	path   string
	header http.Header
	body   []byte
}

// send sends a call to the addresses in turn until one gives a final response or the context ends.
func (c *Client) send(ctx context.Context, request call) ([]byte, error) {
	if len(c.Addresses) == 0 {
		return nil, ErrNoAddress
	}
	backoff := minBackoff
	for {
		var roundError error
		for _, address := range c.Addresses {
			body, isFinal, err := attempt(ctx, address, request)
			if isFinal {
				return body, err
			}
			roundError = errors.CombineErrors(roundError, err)
		}
		if !ctxsleep.Sleep(ctx, backoff) {
			return nil, &inDoubtError{last: roundError}
		}
		backoff = min(2*backoff, maxBackoff)
	}
}

// attempt sends a call to one address. If isFinal is true, body or err is the outcome of the call; otherwise the call
// is sent to the next address.
func attempt(ctx context.Context, address string, request call) (body []byte, isFinal bool, err error) {
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	httpRequest, err := http.NewRequestWithContext(ctx, request.method, "http://"+address+request.path,
		bytes.NewReader(request.body))
	if err != nil {
		return nil, true, errors.Wrap(err, "control address")
	}
	for name, values := range request.header {
		httpRequest.Header[name] = values
	}
	response, err := http.DefaultClient.Do(httpRequest)
	if err != nil {
		return nil, false, err
	}
	defer func() { _ = response.Body.Close() }() // nothing was written, so no error can lose data
	body, err = io.ReadAll(io.LimitReader(response.Body, maxResponseBytes))
	if err != nil {
		return nil, false, errors.Wrapf(err, "answer of %s", address)
	}
	if response.StatusCode/100 == 2 {
		return body, true, nil
	}
	rejected := &RejectedError{Address: address, Status: response.StatusCode, Text: errorText(body)}
	return nil, isFinalStatus(response.StatusCode), rejected
}

// errorText returns the text of an unsuccessful response: the field "error" of a JSON object, else the body itself.
func errorText(body []byte) string {
	var decoded struct {
		Error string `json:"error"`
	}
	if json.Unmarshal(body, &decoded) == nil && decoded.Error != "" {
		return decoded.Error
	}
	return strings.TrimSpace(string(body))
}

// isFinalStatus reports whether an unsuccessful status means that the call has no effect, now or later.
func isFinalStatus(status int) bool {
	isRetriable := status == http.StatusRequestTimeout || status == http.StatusTooManyRequests
	return status/100 == 4 && !isRetriable
}
