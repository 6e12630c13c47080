package operator

import (
	"bufio"
	"context"
	"fmt"
	"io"
	"net"
	"net/http/httptest"
	"strings"
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"rowanlink/serving/errcode"
	"rowanlink/serving/state"
)

const (
	validDocument  = ` {"edition":7,"routings":[],"carriers":[]} `
	basedOnZero    = "X-Based-On: 0"
	heartbeatPath  = "/Endpoints.Beat/i-7f3a91c2"
	deregisterPath = "/Endpoints.SignOff/i-7f3a91c2"
)

func heartbeatBody(state string, sequence int) string {
	return fmt.Sprintf(`{"carrier":"huvo11a","address":"10.128.0.9:8080","zone":"z1","edition":"v1","berths":128,`+
		`"state":%q,"cold_left_ms":0,"stage":"both","models":[{"name":"m","edition":1,"adapters":[]}],"call_seq":%d}`,
		state, sequence)
}

func TestReplace_ReadReturnsTheSameBytes(t *testing.T) {
	f := newFixture(t)
	read := f.call("GET", "/Settings.Read", "")
	assert.Equal(t, 200, read.Code)
	assert.JSONEq(t, `{"edition":0,"routings":[],"carriers":[]}`, read.Body.String())

	assert.Equal(t, 200, f.call("POST", "/Settings.Replace", validDocument, basedOnZero).Code)
	assert.EqualValues(t, 7, f.register.record.Configuration.Version)

	read = f.call("GET", "/Settings.Read", "")
	assert.Equal(t, validDocument, read.Body.String())
	assert.Equal(t, "application/json", read.Header().Get("Content-Type"))
}

func TestReplace_LargeConfiguration(t *testing.T) {
	f := newFixture(t)
	document := `{"edition":1,"later":"` + strings.Repeat("x", 4<<20) + `"}`
	assert.Equal(t, 200, f.call("POST", "/Settings.Replace", document, basedOnZero).Code)
	assert.Equal(t, document, f.call("GET", "/Settings.Read", "").Body.String())
}

func TestReplace_RejectsInvalidRequestsBeforeTheRegister(t *testing.T) {
	tests := []struct {
		name, body, header string
		status             int
		code               errcode.Code
	}{
		{"no base", validDocument, "X-Other: 1", 400, errcode.BaseVersionUnreadable.Code},
		{"base isn't a number", validDocument, "X-Based-On: new", 400, errcode.BaseVersionUnreadable.Code},
		{"negative base", validDocument, "X-Based-On: -1", 400, errcode.BaseVersionUnreadable.Code},
		{"truncated", validDocument[:20], basedOnZero, 400, errcode.DocumentUnreadable.Code},
		{"empty", "", basedOnZero, 400, errcode.DocumentUnreadable.Code},
		{"wrong type", `{"edition":7,"routings":3}`, basedOnZero, 400, errcode.FieldInvalid.Code},
		{"too large", strings.Repeat(" ", maxDocumentBytes+1), basedOnZero, 413, errcode.RequestTooLarge.Code},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			f := newFixture(t)
			response := f.call("POST", "/Settings.Replace", test.body, test.header)
			assert.Equal(t, test.status, response.Code)
			assert.Contains(t, response.Body.String(), fmt.Sprintf(`"code":%d`, test.code))
			assert.Zero(t, f.register.calls)
		})
	}
}

func TestReplace_AcceptsQuotedBaseVersion(t *testing.T) {
	assert.Equal(t, 200, newFixture(t).call("POST", "/Settings.Replace", validDocument, `X-Based-On: "0"`).Code)
}

// TestReplace_StatusesOfRegisterErrors: only the statuses 400 and 412, with which the committed record rejects a
// change, are passed to the caller as final. Any other error becomes 503, after which the caller retries.
func TestReplace_StatusesOfRegisterErrors(t *testing.T) {
	withStatus := func(status int) error { return errcode.Kind{Code: 9999, Status: status}.With("") }
	for _, test := range []struct {
		err    error
		status int
	}{
		{withStatus(412), 412}, {withStatus(400), 400}, {withStatus(404), 503}, {withStatus(409), 503},
		{withStatus(500), 503}, {withStatus(503), 503}, {errNoMajority, 503}, {context.DeadlineExceeded, 503},
	} {
		f := newFixture(t)
		f.register.changeError = test.err
		response := f.call("POST", "/Settings.Replace", validDocument, basedOnZero)
		assert.Equal(t, test.status, response.Code, "%v", test.err)
	}
}

// TestHangingRegister_TimesOut makes each call of the register hang in turn. That call must be answered with 503 within
// 2.5 seconds, and the others with 200.
func TestHangingRegister_TimesOut(t *testing.T) {
	calls := []struct{ method, path string }{
		{"POST", "/Settings.Replace"}, {"POST", "/Settings.Amend"}, {"GET", "/Settings.Read"}, {"POST", "/Clearance.Begin/z1"},
		{"POST", "/Clearance.Finish/z1"},
	}
	for hanging := range calls {
		synctest.Test(t, func(t *testing.T) {
			f := newFixture(t)
			f.register.hangAt = map[int]bool{hanging + 1: true}
			for index, call := range calls {
				start := time.Now()
				response := f.call(call.method, call.path, validDocument, basedOnZero)
				if index == hanging {
					assert.Equal(t, 503, response.Code, call.path)
					assert.LessOrEqual(t, time.Since(start), 2500*time.Millisecond)
					continue
				}
				assert.Equal(t, 200, response.Code, call.path)
			}
		})
	}
}

// TestDisconnectedCaller: after its caller disconnects, a change of the configuration continues, since its base version
// keeps it from overwriting a later change. A change of an evacuation has no base version and is abandoned, since a
// late commit might undo a later change.
func TestDisconnectedCaller(t *testing.T) {
	disconnected, disconnect := context.WithCancel(context.Background())
	disconnect()
	synctest.Test(t, func(t *testing.T) {
		f := newFixture(t)
		f.register.hangAt = map[int]bool{1: true, 2: true}
		start := time.Now()
		f.callWith(disconnected, "POST", "/Settings.Replace", validDocument, basedOnZero)
		assert.Equal(t, changeTimeout, time.Since(start))
		start = time.Now()
		f.callWith(disconnected, "POST", "/Clearance.Begin/z1", "")
		assert.Zero(t, time.Since(start))
	})
}

func TestEvacuation(t *testing.T) {
	f := newFixture(t)
	for _, change := range []struct {
		path   string
		active bool
	}{{"/Clearance.Begin/z1", true}, {"/Clearance.Begin/z1", true}, {"/Clearance.Finish/z1", false},
		{"/Clearance.Begin/z1", true}} {
		assert.Equal(t, 200, f.call("POST", change.path, "ignored").Code)
		assert.Equal(t, []state.Evacuation{{Zone: "z1", Active: change.active}}, f.register.record.Evacuations)
	}
	assert.Equal(t, 404, f.call("POST", "/Clearance.Begin/z9", "").Code)
	f.register.failAt = map[int]error{5: errNoMajority, 6: errcode.Kind{Code: 9999, Status: 400}.With("")}
	assert.Equal(t, 503, f.call("POST", "/Clearance.Begin/z1", "").Code)
	assert.Equal(t, 503, f.call("POST", "/Clearance.Begin/z1", "").Code, "a valid change never gets a 4xx")
}

func TestUnknownResource(t *testing.T) {
	f := newFixture(t)
	for _, call := range [][2]string{{"GET", "/"}, {"GET", "/Settings.Replace"}, {"POST", "/Settings.Read"},
		{"POST", "/Endpoints.Beat/"}, {"POST", "/Clearance.Begin/"}} {
		response := f.call(call[0], call[1], "")
		assert.Equal(t, 404, response.Code, "%v", call)
		assert.Contains(t, response.Body.String(), `"code":418`)
	}
}

// TestIncompleteBody_IsRetriable: if the connection breaks off within the body, the status tells the caller to retry.
func TestIncompleteBody_IsRetriable(t *testing.T) {
	f := newFixture(t)
	server := httptest.NewServer(f.handler)
	defer server.Close()
	connection, err := (&net.Dialer{}).DialContext(t.Context(), "tcp", strings.TrimPrefix(server.URL, "http://"))
	require.NoError(t, err)
	defer func() { _ = connection.Close() }()
	_, err = io.WriteString(connection, "POST /Settings.Replace HTTP/1.1\r\nHost: x\r\nX-Based-On: 0\r\n"+
		"Content-Length: 100\r\n\r\n{\"edition\":")
	require.NoError(t, err)
	require.NoError(t, connection.(*net.TCPConn).CloseWrite())
	status, err := bufio.NewReader(connection).ReadString('\n')
	require.NoError(t, err)
	assert.Contains(t, status, "503")
	assert.Zero(t, f.register.calls)
}

func TestStoppedTable_IsUnavailable(t *testing.T) {
	f := newFixture(t)
	f.table.Stop()
	assert.Equal(t, 503, f.call("POST", heartbeatPath, heartbeatBody("accepting", 1)).Code)
	assert.Equal(t, 503, f.call("POST", deregisterPath, "").Code)
}
