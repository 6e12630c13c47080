package schema

import (
	"strings"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"rowanlink/serving/errcode"
)

type testPart struct {
	Name  string
	Count int
}

type testDocument struct {
	Name     string
	Tags     []string
	Kind     int
	Enabled  bool
	Version  uint64
	Ratio    float64
	Timeout  time.Duration
	Part     testPart
	Optional *testPart
	Parts    []testPart
}

var partFields = Table[testPart]{
	{Name: "name", Check: NotEmpty, Type: String(func(p *testPart) *string { return &p.Name })},
	{Name: "count", Default: "7", ZeroMeansDefault: true, Type: Int(func(p *testPart) *int { return &p.Count })},
}

var testFields = Table[testDocument]{
	{Name: "name", Required: true, Type: String(func(d *testDocument) *string { return &d.Name })},
	{Name: "tags", Type: Strings(func(d *testDocument) *[]string { return &d.Tags })},
	{Name: "kind", Type: Enum(map[string]int{"a": 1, "b": 2}, func(d *testDocument) *int { return &d.Kind })},
	{Name: "enabled", Type: Bool(func(d *testDocument) *bool { return &d.Enabled })},
	{Name: "version", Type: Uint64(func(d *testDocument) *uint64 { return &d.Version })},
	{Name: "ratio", Check: Positive, Type: Float64(func(d *testDocument) *float64 { return &d.Ratio })},
	{Name: "timeout_s", Type: Duration(time.Second, func(d *testDocument) *time.Duration { return &d.Timeout })},
	{Name: "part", Type: Object(partFields, func(d *testDocument) *testPart { return &d.Part })},
	{Name: "optional", Type: OptionalObject(partFields, func(d *testDocument) **testPart { return &d.Optional })},
	{Name: "parts", Type: ObjectList(partFields, "name", func(d *testDocument) *[]testPart { return &d.Parts })},
}

func TestTable_ParseStoresAllTypes(t *testing.T) {
	document := `{"name":"n","tags":["x","y"],"kind":"b","enabled":true,"version":18446744073709551615,"ratio":0.5,
		"timeout_s":1.5,"part":{"name":"p","count":3},"optional":{"count":0},"parts":[{"name":"q"}],"unknown":[{}]}`
	var parsed testDocument
	require.NoError(t, testFields.Parse([]byte(document), &parsed))
	assert.Equal(t, testDocument{
		Name:     "n",
		Tags:     []string{"x", "y"},
		Kind:     2,
		Enabled:  true,
		Version:  1<<64 - 1,
		Ratio:    0.5,
		Timeout:  1500 * time.Millisecond,
		Part:     testPart{Name: "p", Count: 3},
		Optional: &testPart{Count: 7},
		Parts:    []testPart{{Name: "q", Count: 7}},
	}, parsed)
}

func TestTable_ParseTreatsNullAsMissing(t *testing.T) {
	var parsed testDocument
	require.NoError(t, testFields.Parse([]byte(`{"name":"n","ratio":null,"optional":null}`), &parsed))
	assert.Equal(t, testDocument{Name: "n"}, parsed)
}

func TestTable_ParseErrors(t *testing.T) {
	for _, test := range []struct {
		document string
		kind     errcode.Kind
		detail   string
	}{
		{``, errcode.DocumentUnreadable, "truncated"},
		{`{"name":"n"`, errcode.DocumentUnreadable, "truncated"},
		{`{"name":"n"} 1`, errcode.DocumentUnreadable, "truncated"},
		{`[]`, errcode.DocumentUnreadable, "it isn't an object"},
		{strings.Repeat("[", maxDepth+1) + strings.Repeat("]", maxDepth+1), errcode.DocumentUnreadable, "truncated"},
		{`{}`, errcode.FieldInvalid, "name is missing"},
		{`{"name":1}`, errcode.FieldInvalid, "name must be a string, found 1"},
		{`{"name":"n","tags":[1]}`, errcode.FieldInvalid, "tags must be a list of strings, found [1]"},
		{`{"name":"n","kind":"c"}`, errcode.FieldInvalid, `kind must be a known value, found "c"`},
		{`{"name":"n","enabled":0}`, errcode.FieldInvalid, "enabled must be true or false, found 0"},
		{`{"name":"n","version":-1}`, errcode.FieldInvalid, "version must be a non-negative integer, found -1"},
		{`{"name":"n","ratio":0}`, errcode.FieldInvalid, "ratio must be above 0, found 0"},
		{`{"name":"n","timeout_s":"1"}`, errcode.FieldInvalid, `timeout_s must be a non-negative number, found "1"`},
		{`{"name":"n","part":{"count":1.5}}`, errcode.FieldInvalid, "part.count must be a non-negative integer, found 1.5"},
		{`{"name":"n","optional":7}`, errcode.FieldInvalid, "optional must be an object, found 7"},
		{`{"name":"n","parts":[{"name":""}]}`, errcode.FieldInvalid, `parts[0] "".name must not be empty, found ""`},
		{`{"name":"n","parts":[{},{"name":"q","count":-1}]}`, errcode.FieldInvalid,
			`parts[1] "q".count must be a non-negative integer, found -1`},
	} {
		var parsed testDocument
		err := testFields.Parse([]byte(test.document), &parsed)
		assert.True(t, test.kind.Is(err), "%s: %v", test.document, err)
		assert.ErrorContains(t, err, test.detail, test.document)
	}
}

func TestParse_ReducesLongDurations(t *testing.T) {
	var parsed testDocument
	require.NoError(t, testFields.Parse([]byte(`{"name":"n","timeout_s":1e300}`), &parsed))
	assert.Equal(t, maxDuration, parsed.Timeout)
}
