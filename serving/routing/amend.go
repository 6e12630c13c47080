package routing

import (
	"bytes"
	"encoding/json"
	"maps"
	"slices"
	"strconv"
	"strings"

	"github.com/tidwall/gjson"

	"rowanlink/serving/errcode"
	"rowanlink/serving/schema"
)

// amendableLists are the lists of a configuration whose items have names.
var amendableLists = []string{"routings", "carriers"}

// Amendment is an operator's order to change named items of a configuration.
type Amendment struct {
	Version uint64 // of the configuration that comes of it

	lists map[string]*listAmendment // by the list's name
}

// listAmendment is what becomes of one list.
type listAmendment struct {
	names    []string          // to be added or replaced, in the order's order
	items    map[string]string // those items' JSON, by name
	removals map[string]bool   // names; one that the list lacks is no error
}

// amendmentDocument is an amendment as it is written.
type amendmentDocument struct {
	version uint64
	upsert  gjson.Result
	remove  gjson.Result
}

var amendmentFields = schema.Table[amendmentDocument]{
	{Name: "edition", Required: true, Type: schema.Uint64(func(d *amendmentDocument) *uint64 { return &d.version })},
	{Name: "upsert", Type: schema.Raw(func(d *amendmentDocument, value gjson.Result) error {
		d.upsert = value
		return nil
	})},
	{Name: "remove", Type: schema.Raw(func(d *amendmentDocument, value gjson.Result) error {
		d.remove = value
		return nil
	})},
}

// ParseAmendment reads an amendment. Errors are errcode.DocumentUnreadable, errcode.FieldInvalid,
// errcode.AmendmentListUnknown, errcode.AmendmentItemUnnamed and errcode.AmendmentNameDuplicate.
func ParseAmendment(text []byte) (*Amendment, error) {
	var read amendmentDocument
	if err := amendmentFields.Parse(text, &read); err != nil {
		return nil, err
	}
	amendment := &Amendment{Version: read.version, lists: make(map[string]*listAmendment)}
	if err := amendment.collectLists("upsert", read.upsert, (*listAmendment).addItem); err != nil {
		return nil, err
	}
	if err := amendment.collectLists("remove", read.remove, (*listAmendment).addRemoval); err != nil {
		return nil, err
	}
	return amendment, nil
}

// collectLists hands each item of each list of a field to take.
func (a *Amendment) collectLists(field string, lists gjson.Result,
	take func(list *listAmendment, place string, item gjson.Result) error) (failed error) {
	if !lists.Exists() {
		return nil
	}
	if !lists.IsObject() {
		return errcode.FieldInvalid.With("%s must be an object of lists", field)
	}
	lists.ForEach(func(key, items gjson.Result) bool {
		failed = a.collectItems(field+"."+key.Str, key.Str, items, take)
		return failed == nil
	})
	return failed
}

func (a *Amendment) collectItems(place, name string, items gjson.Result,
	take func(list *listAmendment, place string, item gjson.Result) error) (failed error) {
	if !slices.Contains(amendableLists, name) {
		return errcode.AmendmentListUnknown.With("%s", place)
	}
	if items.Type == gjson.Null {
		return nil
	}
	if !items.IsArray() {
		return errcode.FieldInvalid.With("%s must be a list", place)
	}
	list := a.lists[name]
	if list == nil {
		list = &listAmendment{items: make(map[string]string), removals: make(map[string]bool)}
		a.lists[name] = list
	}
	items.ForEach(func(_, item gjson.Result) bool {
		failed = take(list, place, item)
		return failed == nil
	})
	return failed
}

// addItem takes in an item that is to be added or to replace the one of its name.
func (l *listAmendment) addItem(place string, item gjson.Result) error {
	name := itemName(item)
	if name == "" {
		return errcode.AmendmentItemUnnamed.With("%s", place)
	}
	if _, twice := l.items[name]; twice {
		return errcode.AmendmentNameDuplicate.With("%s: %q", place, name)
	}
	l.names = append(l.names, name)
	l.items[name] = item.Raw
	return nil
}

// addRemoval takes in a name that is to be removed.
func (l *listAmendment) addRemoval(place string, name gjson.Result) error {
	if name.Type != gjson.String || name.Str == "" {
		return errcode.AmendmentItemUnnamed.With("%s", place)
	}
	if _, kept := l.items[name.Str]; kept || l.removals[name.Str] {
		return errcode.AmendmentNameDuplicate.With("%s: %q", place, name.Str)
	}
	l.removals[name.Str] = true
	return nil
}

// itemName is the name of an item, empty if it has none. Of a field that comes twice the last counts, as in Parse.
func itemName(item gjson.Result) (name string) {
	if !item.IsObject() {
		return ""
	}
	item.ForEach(func(key, value gjson.Result) bool {
		if key.Str == "name" {
			name = value.Str
		}
		return true
	})
	return name
}

// Apply returns the document that comes of amending one that was checked; of an empty one, the amendment's items
// alone. Replaced items stay in their places, new ones come last, and all that isn't named stays byte for byte. The
// result still has to be checked by Parse.
func (a *Amendment) Apply(document []byte) []byte {
	fields := parseFields(document)
	fields.set("edition", strconv.FormatUint(a.Version, 10))
	for _, name := range amendableLists {
		if list := a.lists[name]; list != nil {
			fields.set(name, list.apply(gjson.Parse(fields.values[name])))
		}
	}
	return fields.encode()
}

// apply returns the JSON of the amended list.
func (l *listAmendment) apply(list gjson.Result) string {
	var kept []string
	placed := make(map[string]bool)
	list.ForEach(func(_, item gjson.Result) bool {
		name := itemName(item)
		replacement, replaced := l.items[name]
		switch {
		case l.removals[name] || placed[name] && replaced:
		case replaced:
			kept = append(kept, replacement)
			placed[name] = true
		default:
			kept = append(kept, item.Raw)
		}
		return true
	})
	for _, name := range l.names {
		if !placed[name] {
			kept = append(kept, l.items[name])
		}
	}
	return "[" + strings.Join(kept, ",") + "]"
}

// orderedFields are the fields of a JSON object, in order. Of a name that comes twice the last value counts.
type orderedFields struct {
	names  []string
	values map[string]string // JSON
}

func parseFields(document []byte) orderedFields {
	fields := orderedFields{values: make(map[string]string)}
	gjson.ParseBytes(document).ForEach(func(key, value gjson.Result) bool {
		fields.set(key.Str, value.Raw)
		return true
	})
	return fields
}

func (f *orderedFields) set(name, value string) {
	if _, known := f.values[name]; !known {
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
		key, _ := json.Marshal(name) // a string always can be encoded
		text.Write(key)
		text.WriteByte(':')
		text.WriteString(f.values[name])
	}
	text.WriteByte('}')
	return text.Bytes()
}

// ItemChange is what an amendment does to one item.
type ItemChange struct {
	Kind string `json:"kind"` // "add", "replace" or "remove"
	List string `json:"list"`
	Name string `json:"name"`
}

// Changes lists what the amendment changes in a document: items that are there as they are wanted, or gone
// already, are left out.
func (a *Amendment) Changes(document []byte) (changes []ItemChange) {
	fields := parseFields(document)
	for _, name := range amendableLists {
		if list := a.lists[name]; list != nil {
			changes = append(changes, list.changes(name, gjson.Parse(fields.values[name]))...)
		}
	}
	return changes
}

func (l *listAmendment) changes(listName string, list gjson.Result) (changes []ItemChange) {
	before := make(map[string]string)
	list.ForEach(func(_, item gjson.Result) bool {
		before[itemName(item)] = item.Raw
		return true
	})
	for _, name := range l.names {
		former, known := before[name]
		switch {
		case !known:
			changes = append(changes, ItemChange{Kind: "add", List: listName, Name: name})
		case former != l.items[name]:
			changes = append(changes, ItemChange{Kind: "replace", List: listName, Name: name})
		}
	}
	for _, name := range slices.Sorted(maps.Keys(l.removals)) {
		if _, known := before[name]; known {
			changes = append(changes, ItemChange{Kind: "remove", List: listName, Name: name})
		}
	}
	return changes
}
