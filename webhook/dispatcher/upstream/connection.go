package upstream

import (
	"bufio"
	"bytes"
	"context"
	"net"
	"regexp"
	"time"

	"rowanlink/internal/socket"
	"rowanlink/webhook/api"
)

const readBufferSize = 4096 // bytes; also the longest head of an answer

// connection is one connection to an endpoint. It carries one call at a time.
type connection struct {
	net.Conn
	reader    *bufio.Reader
	idleSince api.Micros
}

func dial(addr string, timeout time.Duration) (*connection, error) {
	dialer := net.Dialer{Timeout: timeout, KeepAlive: -1}
	c, err := dialer.DialContext(context.Background(), "tcp", addr)
	if err != nil {
		return nil, err
	}
	return &connection{Conn: c, reader: bufio.NewReaderSize(c, readBufferSize)}, nil
}

// isQuiet reports, without waiting, whether no unread data has arrived and the other side hasn't closed the connection. A
// call written to a closed connection would end as a reset, after which it may have run, and surplus bytes after one answer
// would be read as the next answer.
func (c *connection) isQuiet() bool {
	if c.reader.Buffered() > 0 {
		return false
	}
	quiet, _ := socket.Inspect(c.Conn)
	return quiet
}

// write writes a call and reports whether it is written completely; if not, the call never ran. Data that arrives before
// the call's last byte is written can't be an answer to it. Therefore the connection is checked once more before that
// byte, as is whether the call may still be made.
func (c *connection) write(request []byte, until time.Time, stillAllowed func() bool) bool {
	last := len(request) - 1
	if last < 0 || c.SetDeadline(until) != nil {
		return false
	}
	if _, err := c.Write(request[:last]); err != nil || !c.isQuiet() || !stillAllowed() {
		return false
	}
	_, err := c.Write(request[last:])
	return err == nil
}

var interimHead = regexp.MustCompile(`^HTTP/1\.1 1(0[02-9]|[1-9]\d)[ \r]`)

// readHead returns an answer's head without consuming it; interim answers before it are dropped. With an error it returns
// what was received. The first byte may arrive until the deadline, the rest within restTimeout after it.
func (c *connection) readHead(until time.Time, restTimeout api.Micros) ([]byte, error) {
	for {
		if _, err := c.reader.Peek(1); err != nil {
			return nil, err
		}
		if soon := time.Now().Add(restTimeout.Duration()); soon.Before(until) {
			if err := c.SetReadDeadline(soon); err != nil {
				return nil, err
			}
		}
		head, err := c.peekHead()
		if err != nil || !interimHead.Match(head) {
			return head, err
		}
		if _, err := c.reader.Discard(len(head)); err != nil {
			return nil, err
		}
		if err := c.SetReadDeadline(until); err != nil {
			return nil, err
		}
	}
}

// peekHead reads until a head is complete.
func (c *connection) peekHead() ([]byte, error) {
	headEnd := []byte("\r\n\r\n")
	var head []byte
	for {
		_, err := c.reader.Peek(len(head) + 1)
		head, _ = c.reader.Peek(c.reader.Buffered())
		if end := bytes.Index(head, headEnd); end >= 0 {
			return head[:end+len(headEnd)], nil
		}
		if err != nil {
			return head, err
		}
	}
}
