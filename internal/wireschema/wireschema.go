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

// Format selects the encoding, and so the struct tags that apply.
type Format int

// The formats. As in the CBOR encoder, json tags apply in CBOR to fields without a cbor tag.
const (
	CBOR Format = iota
	JSON
)

// Describe returns one line for each encoded field that can be reached from the values' types, in the order of
// declaration. Types are numbered in the order of their first appearance, so that renaming a type doesn't change the
// description.
func Describe(format Format, values ...any) string {
	d := &describer{format: format, numbers: map[reflect.Type]int{}}
	for _, value := range values {
		d.describeType(reflect.TypeOf(value))
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

// describeType returns the description of a type, and queues the structs in it that aren't described yet.
func (d *describer) describeType(t reflect.Type) string {
	if name, ok := d.describeCustom(t); ok {
		return name
	}
	switch t.Kind() {
	case reflect.Pointer:
		return "*" + d.describeType(t.Elem())
	case reflect.Slice:
		return "[]" + d.describeType(t.Elem())
	case reflect.Array:
		return fmt.Sprintf("[%d]%s", t.Len(), d.describeType(t.Elem()))
	case reflect.Map:
		return "map[" + d.describeType(t.Key()) + "]" + d.describeType(t.Elem())
	case reflect.Struct:
		return d.structNumber(t)
	default:
		return t.Kind().String()
	}
}

// describeCustom describes types with their own encoding methods. It returns false for all others. What the methods
// write isn't described: the tests of those types have to cover it.
func (d *describer) describeCustom(t reflect.Type) (string, bool) {
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

// structNumber returns the number of a struct as text. It numbers and queues a struct that is new.
func (d *describer) structNumber(t reflect.Type) string {
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

// describeFields writes one line for each encoded field. The fields of an embedded struct without a tag are encoded as
// those of the outer struct.
func (d *describer) describeFields(t reflect.Type) {
	for i := range t.NumField() {
		field := t.Field(i)
		tag, tagged := d.encodingTag(field)
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
		line := "\t" + name + " " + d.describeType(field.Type)
		if options != "" {
			line += " " + options
		}
		d.out.WriteString(line + "\n")
	}
}

// encodingTag returns the struct tag that applies to a field, and false if there is none.
func (d *describer) encodingTag(field reflect.StructField) (string, bool) {
	if d.format == CBOR {
		if tag, ok := field.Tag.Lookup("cbor"); ok {
			return tag, true
		}
	}
	return field.Tag.Lookup("json")
}
