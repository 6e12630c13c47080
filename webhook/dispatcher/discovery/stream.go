package discovery

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"io"

	"github.com/tidwall/gjson"
)

// readObjects reads list objects, in any JSON layout, until one is malformed or the stream ends. The changes in a malformed
// object aren't lost: the next watch starts from the last generation that was read.
func (c *Client) readObjects(ctx context.Context, body io.Reader) error {
	for {
		in := &objectReader{in: body, maxSize: c.maxObject, onBlank: c.recordActivity}
		// A new decoder for each object, since a decoder keeps a buffer of the largest one that it has read.
		decoder := json.NewDecoder(in)
		var list rawObject
		err := decoder.Decode(&list)
		if err != nil && (in.size == 0 || ctx.Err() != nil) {
			return err
		}
		if err == nil {
			var rest []byte
			rest, err = io.ReadAll(decoder.Buffered())
			body = io.MultiReader(bytes.NewReader(rest), body)
		}
		if err == nil {
			err = c.handleList(list.Result)
		}
		if err != nil {
			c.reject(in.size, err)
			return fmt.Errorf("%w: %w", errMalformed, err)
		}
		c.recordActivity()
	}
}

// rawObject is an unparsed JSON value, copied once.
type rawObject struct{ gjson.Result }

// UnmarshalJSON implements json.Unmarshaler.
func (o *rawObject) UnmarshalJSON(raw []byte) error {
	o.Result = gjson.ParseBytes(raw)
	return nil
}

// objectReader limits the decoder to maxSize bytes for one object, and drops the blanks before the object: a watch sends
// blank lines all day, and the decoder would buffer them.
type objectReader struct {
	in            io.Reader
	size, maxSize int
	onBlank       func()
}

// Read implements io.Reader.
func (r *objectReader) Read(p []byte) (int, error) {
	if r.size >= r.maxSize {
		return 0, fmt.Errorf("a list of over %d bytes", r.maxSize)
	}
	n, err := r.in.Read(p[:min(len(p), r.maxSize-r.size)])
	if r.size == 0 {
		received := n
		n = copy(p, bytes.TrimLeft(p[:n], " \t\r\n"))
		if n < received {
			r.onBlank()
		}
	}
	r.size += n
	return n, err
}
