// Package wireschema describes, for tests, how Go values are encoded: the names or numbers of the fields, their order,
// options and kinds, without any Go name. A package that stores or sends values compares the description of their types
// with a golden file, so that renaming a Go field can't change stored data or messages unnoticed.
package wireschema

import (
	"encoding"
	"fmt"
	"reflect"
	"strings"

	"github.com/fxamacker/cbor/v2"
)

// Format selects whose struct tags apply.
type Format int

// The formats. CBOR falls back on json tags where a field has no cbor tag, as the encoder does.
const (
	CBOR Format = iota
	JSON
)

// Describe returns one line for each encoded field that can be reached from the values' types, in the order of
// declaration. Types are numbered by their first appearance, so that a renamed type changes nothing.
func Describe(format Format, values ...any) string {
	d := &describer{format: format, numbers: map[reflect.Type]int{}}
	for _, value := range values {
		d.add(reflect.TypeOf(value))
	}
	for i := 0; i < len(d.queue); i++ {
		d.describeStruct(d.queue[i])
	}
	return d.out.String()
}

type describer struct {
	format  Format
	numbers map[reflect.Type]int
	queue   []reflect.Type // structs, described in this order
	out     strings.Builder
}

func (d *describer) add(t reflect.Type) string {
	if name, ok := d.custom(t); ok {
		return name
	}
	switch t.Kind() {
	case reflect.Pointer:
		return "*" + d.add(t.Elem())
	case reflect.Slice:
		return "[]" + d.add(t.Elem())
	case reflect.Array:
		return fmt.Sprintf("[%d]%s", t.Len(), d.add(t.Elem()))
	case reflect.Map:
		return "map[" + d.add(t.Key()) + "]" + d.add(t.Elem())
	case reflect.Struct:
		return d.number(t)
	default:
		return t.Kind().String()
	}
}

// custom names types that encode themselves: what they write is theirs to test.
func (d *describer) custom(t reflect.Type) (string, bool) {
	pointer := t
	if t.Kind() != reflect.Pointer {
		pointer = reflect.PointerTo(t)
	} else {
		return "", false
	}
	marshalers := []reflect.Type{reflect.TypeFor[encoding.BinaryMarshaler](), reflect.TypeFor[cbor.Marshaler]()}
	if d.format == JSON {
		marshalers = []reflect.Type{reflect.TypeFor[interface{ MarshalJSON() ([]byte, error) }](),
			reflect.TypeFor[encoding.TextMarshaler]()}
	}
	for _, marshaler := range marshalers {
		if pointer.Implements(marshaler) {
			return "custom " + t.Kind().String(), true
		}
	}
	return "", false
}

func (d *describer) number(t reflect.Type) string {
	n, known := d.numbers[t]
	if !known {
		n = len(d.numbers)
		d.numbers[t] = n
		d.queue = append(d.queue, t)
	}
	return fmt.Sprintf("struct %d", n)
}

func (d *describer) describeStruct(t reflect.Type) {
	fmt.Fprintf(&d.out, "struct %d\n", d.numbers[t])
	d.describeFields(t)
}

func (d *describer) describeFields(t reflect.Type) {
	for i := range t.NumField() {
		field := t.Field(i)
		tag, tagged := d.tag(field)
		if field.Name == "_" {
			if tagged {
				fmt.Fprintf(&d.out, "\t_ %q\n", tag)
			}
			continue
		}
		if tag == "-" {
			continue
		}
		if field.Anonymous && !tagged && field.Type.Kind() == reflect.Struct {
			d.describeFields(field.Type)
			continue
		}
		if !field.IsExported() {
			continue
		}
		name, options, _ := strings.Cut(tag, ",")
		if name == "" {
			name = field.Name
		}
		line := "\t" + name + " " + d.add(field.Type)
		if options != "" {
			line += " " + options
		}
		d.out.WriteString(line + "\n")
	}
}

func (d *describer) tag(field reflect.StructField) (string, bool) {
	if d.format == CBOR {
		if tag, ok := field.Tag.Lookup("cbor"); ok {
			return tag, true
		}
	}
	return field.Tag.Lookup("json")
}
