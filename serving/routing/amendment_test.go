package routing

import (
	"encoding/json"
	"fmt"
	"slices"
	"testing"

	"github.com/cockroachdb/datadriven"
	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"
)

// TestAmendment_Apply runs the scripts in testdata/amendments. The command "base" sets the document, and "amend" prints
// the amended document, or the error.
func TestAmendment_Apply(t *testing.T) {
	datadriven.Walk(t, "testdata/amendments", func(t *testing.T, path string) {
		var base string
		datadriven.RunTest(t, path, func(t *testing.T, d *datadriven.TestData) string {
			if d.Cmd == "base" {
				base = d.Input
				return ""
			}
			amendment, err := ParseAmendment([]byte(d.Input))
			if err != nil {
				return err.Error()
			}
			amended := amendment.Apply([]byte(base))
			if _, err := Parse(amended); err != nil {
				return fmt.Sprintf("%s\n%v", amended, err)
			}
			return string(amended)
		})
	})
}

// namedItems returns the names and items of a list in a document. It doesn't use the tested code.
func namedItems(t *testing.T, document []byte, list string) (names []string, items map[string]any) {
	t.Helper()
	var decoded map[string]any
	require.NoError(t, json.Unmarshal(document, &decoded), "%s", document)
	items = map[string]any{}
	decodedItems, _ := decoded[list].([]any)
	for _, item := range decodedItems {
		name, _ := item.(map[string]any)["name"].(string)
		names = append(names, name)
		items[name] = item
	}
	return names, items
}

// FuzzAmendment checks that a valid amendment changes only the items that it names, and that applying it twice has the
// same result as applying it once.
func FuzzAmendment(f *testing.F) {
	base := []byte(`{"mark":[1],"edition":3,"routings":[{"name":"a","station":"x","lane_prefix":"/a/","carrier":"s"},` +
		`{"name":"b","station":"x","lane_prefix":"/b/","carrier":"s"}],"carriers":[{"name":"s"},{"name":"t"}]}`)
	f.Add([]byte(`{"edition":4,"upsert":{"routings":[{"name":"b","x":1},{"name":"c"}]},"remove":{"routings":["a","z"]}}`))
	f.Add([]byte(`{"edition":4,"remove":{"carriers":["t"]},"upsert":{"carriers":[{"name":"\\u0073"}]}}`))
	f.Add([]byte(`{"edition":4,"upsert":{"routings":null}}`))
	f.Fuzz(func(t *testing.T, text []byte) {
		amendment, err := ParseAmendment(text)
		if err != nil {
			assert.Nil(t, amendment)
			return
		}
		amended := amendment.Apply(base)
		require.True(t, json.Valid(amended), "%s", amended)
		assert.Equal(t, string(amended), string(amendment.Apply(amended)))
		for name, list := range amendment.lists {
			before, untouched := namedItems(t, base, name)
			after, items := namedItems(t, amended, name)
			for _, item := range before {
				_, replaced := list.items[item]
				switch {
				case list.removals[item]:
					assert.NotContains(t, after, item)
				case !replaced:
					assert.Equal(t, untouched[item], items[item])
				}
			}
			for item := range list.items {
				assert.True(t, slices.Contains(after, item), "%q in %q", item, after)
			}
		}
	})
}
