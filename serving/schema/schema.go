// Package schema reads JSON objects into typed values by tables of settings. Each line of a table names a field,
// its type, the value that stands for it where it is missing, and a check.
package schema

import (
	"strings"

	"github.com/tidwall/gjson"

	"rowanlink/serving/errcode"
)

// maxFields is the most settings that a table may have.
const maxFields = 64

// maxDepth is how deep lists and objects may be nested.
const maxDepth = 1000

// Field is one line of a table: a field of a JSON object and where its value goes.
type Field[Into any] struct {
	Name     string     // of the field, as outside callers write it
	Type     Type[Into] // what it holds and where that goes
	Required bool       // a document without it is invalid
	Default  string     // JSON that stands for a missing field; empty: the zero value stays
	// ZeroMeansDefault treats a zero as a missing field.
	ZeroMeansDefault bool
	Check            Check // nil: each value of the type is right
}

// Type is what a field holds. Its store function puts a value in its place and returns what is wrong with it, an
// empty problem if nothing is.
type Type[Into any] struct {
	Name  string
	store func(into *Into, value gjson.Result) error
}

// Table holds the settings of one kind of object. Fields that it doesn't name are ignored; a null counts as missing.
type Table[Into any] []Field[Into]

// Parse reads a document that must be one JSON object and nothing else. Errors are errcode.DocumentUnreadable and
// errcode.FieldInvalid.
func (t Table[Into]) Parse(document []byte, into *Into) error {
	if exceedsMaxDepth(document) || !gjson.ValidBytes(document) {
		return errcode.DocumentUnreadable.With("it is cut short, has bytes after its end or is no JSON")
	}
	value := gjson.ParseBytes(document)
	if !value.IsObject() {
		return errcode.DocumentUnreadable.With("it is no object")
	}
	if err := t.parseObject(value, into); err != nil {
		return errcode.FieldInvalid.With("%s", err.Error())
	}
	return nil
}

// exceedsMaxDepth tells whether lists and objects are nested beyond maxDepth; gjson would take a stack as deep. Of bytes
// that are no JSON it says nothing of use.
func exceedsMaxDepth(document []byte) bool {
	depth, inText := 0, false
	for index := 0; index < len(document); index++ {
		switch character := document[index]; {
		case character == '"':
			inText = !inText
		case inText && character == '\\':
			index++
		case inText:
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

// parseObject fills into from an object. Errors are fieldErrors.
func (t Table[Into]) parseObject(object gjson.Result, into *Into) error {
	var seen uint64
	var failed error
	object.ForEach(func(key, value gjson.Result) bool {
		index := t.fieldIndex(key.Str)
		if index < 0 || value.Type == gjson.Null {
			return true
		}
		if t[index].ZeroMeansDefault && value.Type == gjson.Number && value.Num == 0 {
			return true
		}
		seen |= 1 << index
		failed = t[index].parseValue(into, value)
		return failed == nil
	})
	if failed != nil {
		return failed
	}
	return t.applyDefaults(seen, into)
}

func (t Table[Into]) fieldIndex(name string) int {
	for index := range t {
		if t[index].Name == name {
			return index
		}
	}
	return -1
}

func (t Table[Into]) applyDefaults(seen uint64, into *Into) error {
	for index := range t {
		setting := &t[index]
		if seen&(1<<index) != 0 {
			continue
		}
		if setting.Required {
			return &fieldError{path: setting.Name, problem: "is missing"}
		}
		if setting.Default == "" {
			continue
		}
		if err := setting.Type.store(into, gjson.Parse(setting.Default)); err != nil {
			return wrapFieldError(setting.Name, err)
		}
	}
	return nil
}

// parseValue checks a value and stores it.
func (s *Field[Into]) parseValue(into *Into, value gjson.Result) error {
	if s.Check != nil {
		if problem := s.Check(value); problem != "" {
			return &fieldError{path: s.Name, problem: problem + ", found " + excerpt(value.Raw)}
		}
	}
	if err := s.Type.store(into, value); err != nil {
		return wrapFieldError(s.Name, err)
	}
	return nil
}

// Check returns what is wrong with a value, empty if nothing is. It runs before the type's own check.
type Check func(value gjson.Result) string

// excerptLength is the most bytes of a wrong value that an error shows.
const excerptLength = 40

func excerpt(raw string) string {
	if len(raw) > excerptLength {
		return strings.ToValidUTF8(raw[:excerptLength], "") + "..."
	}
	return raw
}

// fieldError says what is wrong with which field.
type fieldError struct {
	path    string
	problem string
}

// Error names the field, then the problem.
func (e *fieldError) Error() string { return e.path + " " + e.problem }

// wrapFieldError puts the name of the object round a field's error.
func wrapFieldError(name string, err error) error {
	inner, ok := err.(*fieldError)
	if !ok {
		return &fieldError{path: name, problem: err.Error()}
	}
	if inner.path == "" {
		return &fieldError{path: name, problem: inner.problem}
	}
	if strings.HasPrefix(inner.path, "[") { // an object of a list
		return &fieldError{path: name + inner.path, problem: inner.problem}
	}
	return &fieldError{path: name + "." + inner.path, problem: inner.problem}
}
