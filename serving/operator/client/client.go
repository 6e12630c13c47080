// Package client calls the operator's API of the core members: it reads and replaces the configuration and evacuates
// zones. An order goes to the members in turn until one answers clearly.
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
	// callTimeout bounds one call; a core answers within half of it.
	callTimeout = 5 * time.Second
	// minBackoff and maxBackoff bound the growing pause between two rounds over the addresses.
	minBackoff = 100 * time.Millisecond
	maxBackoff = time.Second
	// maxResponseBytes bounds what is read of an answer, in bytes.
	maxResponseBytes = 16 << 20
)

// ErrNoAddress tells that there is nobody to call.
var ErrNoAddress = errors.New("no control address")

// ErrInDoubt is what the errors of orders are that got no clear answer: an order may or may not be in force.
var ErrInDoubt = errors.New("no clear answer in time")

// inDoubtError is such an error, with the last call's. It implements error.
type inDoubtError struct{ last error }

// Error implements error.
func (u *inDoubtError) Error() string { return ErrInDoubt.Error() + ": " + u.last.Error() }

// Is tells that it is ErrInDoubt.
func (u *inDoubtError) Is(target error) bool { return target == ErrInDoubt }

// Unwrap returns the last call's error.
func (u *inDoubtError) Unwrap() error { return u.last }

// Client calls the operator's API. Its methods try until their context ends; sending an order twice does no harm.
// They return errors that are ErrInDoubt, ErrNoAddress, or a *Refusal.
type Client struct {
	Addresses []string // host:port of core members
}

// RejectedError is the clear answer of a member that won't carry an order out.
type RejectedError struct {
	Address string // of the member
	Status  int    // of HTTP
	Text    string // what the member says is wrong, with the number of a result
}

// Error implements error.
func (r *RejectedError) Error() string {
	return "refused by " + r.Address + " with " + strconv.Itoa(r.Status) + ": " + r.Text
}

// Configuration returns the newest configuration, byte for byte as it was put.
func (c *Client) Configuration(ctx context.Context) ([]byte, error) {
	return c.send(ctx, call{method: http.MethodGet, path: readPath})
}

// ReplaceConfiguration puts a document in force that builds on the version base; 0: it is the first one.
func (c *Client) ReplaceConfiguration(ctx context.Context, base uint64, document []byte) error {
	return c.changeConfiguration(ctx, replacePath, base, document)
}

// AmendConfiguration changes named items of version base, as an amendment says.
func (c *Client) AmendConfiguration(ctx context.Context, base uint64, amendment []byte) error {
	return c.changeConfiguration(ctx, amendPath, base, amendment)
}

// changeConfiguration sends an order on the configuration that builds on a version.
func (c *Client) changeConfiguration(ctx context.Context, path string, base uint64, body []byte) error {
	header := http.Header{contentTypeHeader: {jsonContentType}, baseVersionHeader: {strconv.FormatUint(base, 10)}}
	_, err := c.send(ctx, call{method: http.MethodPost, path: path, header: header, body: body})
	return err
}

// Evacuate orders that nothing more go to the endpoints of a zone.
func (c *Client) Evacuate(ctx context.Context, zone string) error {
	return c.setEvacuation(ctx, beginEvacuationPath, zone)
}

// EndEvacuation takes that order back.
func (c *Client) EndEvacuation(ctx context.Context, zone string) error {
	return c.setEvacuation(ctx, endEvacuationPath, zone)
}

func (c *Client) setEvacuation(ctx context.Context, path, zone string) error {
	_, err := c.send(ctx, call{method: http.MethodPost, path: path + url.PathEscape(zone)})
	return err
}

// call is one call of the operator's API.
type call struct {
	method string
	path   string
	header http.Header
	body   []byte
}

// send tries an order at the addresses in turn until one answers clearly or the context ends.
func (c *Client) send(ctx context.Context, call call) ([]byte, error) {
	if len(c.Addresses) == 0 {
		return nil, ErrNoAddress
	}
	between := minBackoff
	for {
		var last error
		for _, address := range c.Addresses {
			answer, clear, err := attempt(ctx, address, call)
			if clear {
				return answer, err
			}
			last = errors.CombineErrors(last, err)
		}
		if !ctxsleep.Sleep(ctx, between) {
			return nil, &inDoubtError{last: last}
		}
		between = min(2*between, maxBackoff)
	}
}

// attempt makes one call. Clear tells that the answer is final.
func attempt(ctx context.Context, address string, call call) (answer []byte, clear bool, err error) {
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	request, err := http.NewRequestWithContext(ctx, call.method, "http://"+address+call.path, bytes.NewReader(call.body))
	if err != nil {
		return nil, true, errors.Wrap(err, "control address")
	}
	for name, values := range call.header {
		request.Header[name] = values
	}
	response, err := http.DefaultClient.Do(request)
	if err != nil {
		return nil, false, err
	}
	defer response.Body.Close()
	answer, err = io.ReadAll(io.LimitReader(response.Body, maxResponseBytes))
	if err != nil {
		return nil, false, errors.Wrapf(err, "answer of %s", address)
	}
	if response.StatusCode/100 == 2 {
		return answer, true, nil
	}
	refusal := &RejectedError{Address: address, Status: response.StatusCode, Text: errorText(answer)}
	return nil, isFinal(response.StatusCode), refusal
}

// errorText is the text of an answer that isn't 2xx: that of the field "error" where the answer is a JSON object.
func errorText(answer []byte) string {
	var failure struct {
		Error string `json:"error"`
	}
	if json.Unmarshal(answer, &failure) == nil && failure.Error != "" {
		return failure.Error
	}
	return strings.TrimSpace(string(answer))
}

// isFinal tells whether a status other than 2xx settles the order.
func isFinal(status int) bool {
	again := status == http.StatusRequestTimeout || status == http.StatusTooManyRequests
	return status/100 == 4 && !again
}
