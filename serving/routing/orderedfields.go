package routing

import (
	"bytes"
	"encoding/json"

	"github.com/tidwall/gjson"
)

// orderedFields has the fields of a JSON object in the object's order. If a name occurs more than once, the last value
// counts.
type orderedFields struct {
	names  []string
	values map[string]string // JSON by name
}

func parseFields(document []byte) orderedFields {
	fields := orderedFields{values: make(map[string]string)}
	gjson.ParseBytes(document).ForEach(func(key, value gjson.Result) bool {
		fields.set(key.Str, value.Raw)
		return true
	})
	return fields
}

// set replaces the value of a field or appends a new field.
func (f *orderedFields) set(name, value string) {
	if _, exists := f.values[name]; !exists {
		f.names = append(f.names, name)
	}
	f.values[name] = value
}

func (f *orderedFields) encode() []byte {
	var text bytes.Buffer
	text.WriteByte('{')
	for index, name := range f.names {
		if index > 0 {
			text.WriteByte(',')
		}
		key, _ := json.Marshal(name) // never fails for a string
		text.Write(key)
		text.WriteByte(':')
		text.WriteString(f.values[name])
	}
	text.WriteByte('}')
	return text.Bytes()
}
