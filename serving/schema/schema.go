// Package schema parses JSON objects into Go values. A table describes the fields of an object: the name of a field,
// its type with the destination of the value, the default for a missing field, and a check. Unlike encoding/json the
// package supports defaults and required fields, and its errors name the invalid field.
package schema

import (
	"strings"

	"github.com/cockroachdb/errors"
	"github.com/tidwall/gjson"

	"rowanlink/serving/errcode"
)

const (
	// maxFields is the maximum length of a table: the fields that are present in an object are kept as bits of a
	// uint64.
	maxFields = 64
	// maxDepth is the deepest nesting of lists and objects that is accepted.
	maxDepth = 1000
)

// Field is an entry of a table: a field of a JSON object and where its value is stored.
type Field[Target any] struct {
	Name     string       // in the document
	Type     Type[Target] // of the value
	Required bool         // a document without the field is invalid
	Default  string       // JSON value of a missing field; empty: the target isn't changed
	// ZeroMeansDefault treats a zero as a missing field.
	ZeroMeansDefault bool
	Check            Check // nil: no check
}

// Type is the type of a field's value. Its store function converts a value and stores it in the target, or returns an
// error with the reason why it is invalid.
type Type[Target any] struct {
	store func(target *Target, value gjson.Result) error
}

// Table holds the fields of one kind of object, at most 64. Unknown fields are ignored; a null counts as missing.
type Table[Target any] []Field[Target]

// Parse parses a document that must be one JSON object and nothing else. Errors are errcode.DocumentUnreadable and
// errcode.FieldInvalid.
func (t Table[Target]) Parse(document []byte, target *Target) error {
	if exceedsMaxDepth(document) || !gjson.ValidBytes(document) {
		return errcode.DocumentUnreadable.With("it is truncated, has bytes after its end or isn't JSON")
	}
	value := gjson.ParseBytes(document)
	if !value.IsObject() {
		return errcode.DocumentUnreadable.With("it isn't an object")
	}
	if err := t.parseObject(value, target); err != nil {
		return errcode.FieldInvalid.With("%s", err.Error())
	}
	return nil
}

// exceedsMaxDepth reports whether lists and objects are nested deeper than maxDepth. It is checked before gjson
// validates the document, since gjson recurses once per level. The result is meaningless for bytes that aren't JSON.
func exceedsMaxDepth(document []byte) bool {
	depth, inString := 0, false
	for index := 0; index < len(document); index++ {
		switch character := document[index]; {
		case character == '"':
			inString = !inString
		case inString && character == '\\':
			index++
		case inString:
		case character == '{' || character == '[':
			depth++
		case character == '}' || character == ']':
			depth--
		}
		if depth > maxDepth {
			return true
		}
	}
	return false
}

// parseObject stores the fields of an object in target. Errors are *fieldError.
func (t Table[Target]) parseObject(object gjson.Result, target *Target) (err error) {
	var present uint64 // bit set by the index of the field
	object.ForEach(func(key, value gjson.Result) bool {
		index := t.fieldIndex(key.Str)
		if index < 0 || t[index].isMissing(value) {
			return true
		}
		present |= 1 << index
		err = t[index].parseValue(target, value)
		return err == nil
	})
	if err != nil {
		return err
	}
	return t.applyDefaults(present, target)
}

// fieldIndex returns the index of the field with a name, or -1.
func (t Table[Target]) fieldIndex(name string) int {
	for index := range t {
		if t[index].Name == name {
			return index
		}
	}
	return -1
}

// applyDefaults stores the defaults of the fields that aren't present, and fails if one of them is required.
func (t Table[Target]) applyDefaults(present uint64, target *Target) error {
	for index := range t {
		field := &t[index]
		if present&(1<<index) != 0 {
			continue
		}
		if field.Required {
			return &fieldError{path: field.Name, problem: "is missing"}
		}
		if field.Default == "" {
			continue
		}
		if err := field.Type.store(target, gjson.Parse(field.Default)); err != nil {
			return wrapFieldError(field.Name, err)
		}
	}
	return nil
}

// isMissing reports whether the value stands for a missing field.
func (f *Field[Target]) isMissing(value gjson.Result) bool {
	if value.Type == gjson.Null {
		return true
	}
	return f.ZeroMeansDefault && value.Type == gjson.Number && value.Num == 0
}

// parseValue checks a value and stores it.
func (f *Field[Target]) parseValue(target *Target, value gjson.Result) error {
	if f.Check != nil {
		if problem := f.Check(value); problem != "" {
			return &fieldError{path: f.Name, problem: problem + ", found " + excerpt(value.Raw)}
		}
	}
	if err := f.Type.store(target, value); err != nil {
		return wrapFieldError(f.Name, err)
	}
	return nil
}

// maxExcerptBytes is the maximum length of an invalid value in an error; longer values are cut off.
const maxExcerptBytes = 40

// excerpt returns the beginning of a JSON value for an error.
func excerpt(raw string) string {
	if len(raw) > maxExcerptBytes {
		return strings.ToValidUTF8(raw[:maxExcerptBytes], "") + "..."
	}
	return raw
}

// fieldError is the error for an invalid field.
type fieldError struct {
	path    string // such as `routings[3] "name".timeout_ms`; empty until wrapFieldError adds the name of the field
	problem string
}

// Error implements error.
func (e *fieldError) Error() string { return e.path + " " + e.problem }

// wrapFieldError returns a *fieldError for err. If err is one already, its path is prefixed with the name of the
// enclosing field.
func wrapFieldError(name string, err error) error {
	var inner *fieldError
	if !errors.As(err, &inner) {
		return &fieldError{path: name, problem: err.Error()}
	}
	if inner.path == "" {
		return &fieldError{path: name, problem: inner.problem}
	}
	if strings.HasPrefix(inner.path, "[") { // an element of a list
		return &fieldError{path: name + inner.path, problem: inner.problem}
	}
	return &fieldError{path: name + "." + inner.path, problem: inner.problem}
}
