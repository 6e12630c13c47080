package routing

import (
	"fmt"
	"strings"
	"testing"

	"github.com/cockroachdb/datadriven"
	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"
)

// TestParse runs the scripts in testdata/documents. The command "parse" prints the parsed document, or the error.
func TestParse(t *testing.T) {
	datadriven.Walk(t, "testdata/documents", func(t *testing.T, path string) {
		datadriven.RunTest(t, path, func(t *testing.T, d *datadriven.TestData) string {
			if d.Cmd != "parse" {
				d.Fatalf(t, "unknown command %s", d.Cmd)
			}
			table, err := Parse([]byte(d.Input))
			if err != nil {
				return err.Error()
			}
			return describe(table)
		})
	})
}

func describe(table *Table) string {
	var text strings.Builder
	fmt.Fprintf(&text, "version %d limits %+v\n", table.Version, table.Limits)
	for _, route := range table.Routes() {
		fmt.Fprintf(&text, "route %+v\n", route)
	}
	for _, service := range table.Services() {
		engine := service.Engine
		service.Engine = nil
		fmt.Fprintf(&text, "service %+v\n", service)
		if engine != nil {
			fmt.Fprintf(&text, "  engine %+v\n", *engine)
		}
	}
	return text.String()
}

// TestParse_RejectsTruncatedDocuments truncates a document after each of its bytes.
func TestParse_RejectsTruncatedDocuments(t *testing.T) {
	document := newLargeDocument(3)
	_, err := Parse(document)
	require.NoError(t, err)
	for length := range document {
		_, err := Parse(document[:length])
		assert.Error(t, err, "truncated after %d bytes", length)
	}
}

func TestParse_RejectsDeepNesting(t *testing.T) {
	_, err := Parse([]byte(strings.Repeat("[", 4<<20)))
	assert.Error(t, err)
}

func TestParse_IgnoresBracketsInStrings(t *testing.T) {
	_, err := Parse([]byte(`{"edition":1,"mark":"\\\"` + strings.Repeat("[", 5000) + `"}`))
	assert.NoError(t, err)
}

func TestTable_Service(t *testing.T) {
	table, err := Parse(newLargeDocument(1))
	require.NoError(t, err)
	service, found := table.Service("s")
	require.True(t, found)
	assert.Equal(t, "s", service.Name)
	_, found = table.Service("t")
	assert.False(t, found)
}

// newLargeDocument returns a document with the given number of routes, all of one host.
func newLargeDocument(count int) []byte {
	var text strings.Builder
	text.WriteString(`{"edition":7,"routings":[`)
	for index := range count {
		if index > 0 {
			text.WriteString(",")
		}
		fmt.Fprintf(&text, `{"name":"r-%d","station":"ficu95.example","lane_prefix":"/p%d/","line_type":"stream",`+
			`"timeout_ms":4000,"target_ms":800,"precedence":0,"carrier":"s","tries":2,"sticky":true,"resume":true,`+
			`"gap_aim_ms":400,"home_regions":[]}`, index, index)
	}
	text.WriteString(`],"carriers":[{"name":"s","health_path":"/condition","conn_cap":620,"cold_s":3.0}]}`)
	return []byte(text.String())
}

func BenchmarkParse_1400Routes(b *testing.B) {
	text := newLargeDocument(1400)
	b.ReportAllocs()
	for b.Loop() {
		if _, err := Parse(text); err != nil {
			b.Fatal(err)
		}
	}
}
