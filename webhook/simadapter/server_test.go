package simadapter

import (
	"bytes"
	"encoding/binary"
	"math"
	"testing"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"rowanlink/webhook/api"
	"rowanlink/webhook/config"
	"rowanlink/webhook/policy"
)

const settings = "classes.count=1\nclasses.0.aim=2000000000\nclasses.0.deadline=9000000000\n" +
	"classes.0.repeat=pure\nclasses.0.worth=1\nkinds=a\nfamilyInfo.slots=4\nlimits.openCap=9\n" +
	"limits.maxAttempts=3\nfleetSize=1\nperiod=5000000\nunknown.key=x,y\n"

func newPolicy(s api.Settings, h api.Host) api.Policy { return policy.New(s, h) }

// encode returns the concatenated values of the wire's types in little-endian order.
func encode(values ...any) []byte {
	var b bytes.Buffer
	for _, v := range values {
		if text, ok := v.(string); ok {
			v = []byte(text)
		}
		if err := binary.Write(&b, binary.LittleEndian, v); err != nil {
			panic(err)
		}
	}
	return b.Bytes()
}

func record(code byte, values ...any) []byte {
	body := encode(values...)
	return append(encode(code, uint32(len(body))), body...)
}

func batch(records ...[]byte) []byte {
	body := bytes.Join(records, nil)
	return append(encode(uint32(len(body)), uint64(1e9), uint32(7)), body...)
}

// testInstance is the instance that the events are addressed to.
const testInstance = uint16(3)

func openRecord() []byte {
	return record(eventOpen, testInstance, uint64(5), uint32(len(settings)), settings)
}

func listRecord() []byte {
	return record(eventDefine, uint16(2), uint32(1),
		uint32(77), uint16(0), uint16(0), uint16(3), byte(0), float32(9), uint64(0))
}

func topologyRecord() []byte {
	return record(eventTopology, testInstance, uint64(1), uint16(2), byte(2))
}

func webhookRecord(id uint32) []byte {
	return record(eventNew, testInstance, id, byte(0), uint32(0), uint64(0), uint64(9e9), uint64(0), float32(3), byte(0))
}

func serve(t testing.TB, input []byte) ([]byte, error) {
	t.Helper()
	var out bytes.Buffer
	err := Serve(bytes.NewReader(input), &out, newPolicy)
	return out.Bytes(), err
}

func TestWebhookIsSentToItsEndpoint(t *testing.T) {
	out, err := serve(t, append(batch(), batch(openRecord(), listRecord(), topologyRecord(), webhookRecord(42))...))
	assert.NoError(t, err)
	assert.Equal(t, encode(uint32(0), uint32(0), uint32(7)), out[:replyHeaderLen], "an empty batch is answered")
	assert.Contains(t, string(out), string(encode(byte(actionAttempt), uint32(18), uint16(3), uint32(42), uint32(77))))
}

func TestInstanceKilledAndRestartedInOneBatchStartsAnew(t *testing.T) {
	detach := record(eventDetach, uint16(3))
	out, err := serve(t, batch(openRecord(), listRecord(), topologyRecord(), webhookRecord(42), detach, openRecord(), topologyRecord()))
	assert.NoError(t, err)
	assert.NotContains(t, string(out), string(encode(byte(actionAttempt), uint32(18))), "the killed instance's attempt is dropped")
}

func TestPanicBecomesTheLastAction(t *testing.T) {
	var out bytes.Buffer
	err := Serve(bytes.NewReader(batch(openRecord())), &out, func(api.Settings, api.Host) api.Policy {
		panic("no idea")
	})
	assert.NoError(t, err)
	assert.Equal(t, byte(actionCrash), out.Bytes()[replyHeaderLen])
	assert.Contains(t, out.String(), "no idea")
}

// malformedInputs returns malformed inputs, each under a part of the error message that it causes.
func malformedInputs() map[string][]byte {
	truncated := encode(byte(eventWakeup), uint32(99), testInstance)
	return map[string][]byte{
		"batch header":    {1, 2, 3},
		"breaks off":      encode(uint32(1<<31), uint64(0), uint32(0)),
		"short record":    batch([]byte{7, 0}),
		"are left":        batch(openRecord(), truncated),
		"unknown code":    batch(record(99, uint16(3))),
		"is unknown":      batch(record(eventWakeup, uint16(9), uint32(0))),
		"never defined":   batch(openRecord(), topologyRecord()),
		"shorter than":    batch(openRecord(), record(eventWakeup, uint16(3))),
		"no valid number": batch(openRecord(), bytes.Replace(webhookRecord(1), encode(float32(3)), encode(float32(-1)), 1)),
		"list number":     batch(record(eventDefine, uint16(16), uint32(0))),
		"outcome 9": batch(openRecord(), record(eventOutcome, uint16(3), uint32(1), byte(0), uint32(1), uint16(9),
			uint64(0), byte(0), uint32(0), byte(0))),
		"not a usable":      batch(record(eventOpen, uint16(1), uint64(1), uint32(11), "fleetSize=x")),
		"form 9":            batch(openRecord(), listRecord(), record(eventTopology, uint16(3), uint64(1), uint16(2), byte(9))),
		"state 7":           batch(bytes.Replace(listRecord(), encode(uint16(3), byte(0)), encode(uint16(3), byte(7)), 1)),
		"shorter than its ": batch(record(eventDefine, uint16(0), uint32(1<<31))),
	}
}

func TestMalformedInputIsExplained(t *testing.T) {
	for message, input := range malformedInputs() {
		_, err := serve(t, input)
		if assert.Error(t, err, message) {
			assert.ErrorContains(t, err, message)
		}
	}
}

func FuzzServe(f *testing.F) {
	for _, input := range malformedInputs() {
		f.Add(input)
	}
	f.Add(batch(openRecord(), listRecord(), topologyRecord(), webhookRecord(42)))
	f.Fuzz(func(t *testing.T, input []byte) {
		out, err := serve(t, input)
		if err == nil && len(input) > 0 {
			assert.GreaterOrEqual(t, len(out), replyHeaderLen, "each batch is answered")
		}
		assert.NotContains(t, string(out), "goroutine ", "the policy panicked")
	})
}

// reportRecorder is a policy that records the last load report.
type reportRecorder struct {
	api.Policy
	headroom, limit float64
}

func (r *reportRecorder) ReportLoad(report api.LoadReport) {
	r.headroom = report.Headroom
	r.limit = report.Limit
}

func TestLoadReportIsDecodedByItsFieldNamesAndATruncatedOneIsIgnored(t *testing.T) {
	recorder := &reportRecorder{}
	in := &instance{policy: recorder}
	in.headroomIndex, in.limitIndex = config.ReportPositions("reporting.names=x1,x0\n")
	values := binary.LittleEndian.AppendUint32([]byte{2}, math.Float32bits(40))
	values = binary.LittleEndian.AppendUint32(values, math.Float32bits(0.5))
	report := decodeReport(in, &fields{rest: values}, 1)
	require.NotNil(t, report)
	in.policy.ReportLoad(*report)
	assert.Equal(t, []float64{0.5, 40}, []float64{recorder.headroom, recorder.limit})
	assert.Nil(t, decodeReport(in, &fields{rest: []byte{0}}, 1))
	truncated := &fields{rest: values[:5]}
	decodeReport(in, truncated, 1)
	assert.True(t, truncated.truncated)
	assert.InDelta(t, 0.5, recorder.headroom, 1e-9)
}
