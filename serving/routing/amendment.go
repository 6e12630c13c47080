package routing

import (
	"slices"

	"github.com/tidwall/gjson"

	"rowanlink/serving/errcode"
	"rowanlink/serving/schema"
)

// amendableLists are the lists of a configuration document that an amendment can change: those whose items have names.
var amendableLists = []string{"routings", "carriers"}

// Amendment changes named items of a configuration document.
type Amendment struct {
	Version uint64 // version of the configuration after the amendment

	lists map[string]*listAmendment // by the list's name
}

// listAmendment is the part of an amendment for one list.
type listAmendment struct {
	names    []string          // of the items to add or replace, in the amendment's order
	items    map[string]string // JSON of those items, by name
	removals map[string]bool   // names to remove; those that the list lacks are ignored
}

// amendmentDocument is an amendment as the operator writes it.
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

// ParseAmendment parses and validates an amendment. Errors are errcode.DocumentUnreadable, errcode.FieldInvalid,
// errcode.AmendmentListUnknown, errcode.AmendmentItemUnnamed and errcode.AmendmentNameDuplicate.
func ParseAmendment(text []byte) (*Amendment, error) {
	var document amendmentDocument
	if err := amendmentFields.Parse(text, &document); err != nil {
		return nil, err
	}
	amendment := &Amendment{Version: document.version, lists: make(map[string]*listAmendment)}
	if err := amendment.collectLists("upsert", document.upsert, (*listAmendment).addItem); err != nil {
		return nil, err
	}
	if err := amendment.collectLists("remove", document.remove, (*listAmendment).addRemoval); err != nil {
		return nil, err
	}
	return amendment, nil
}

// collectFunc adds one item of the amendment's document to the listAmendment of its list. path names the list in
// errors.
type collectFunc func(list *listAmendment, path string, item gjson.Result) error

// collectLists calls collect for each item of each list in a field of the document.
func (a *Amendment) collectLists(field string, lists gjson.Result, collect collectFunc) (err error) {
	if !lists.Exists() {
		return nil
	}
	if !lists.IsObject() {
		return errcode.FieldInvalid.With("%s must be an object of lists", field)
	}
	lists.ForEach(func(key, items gjson.Result) bool {
		err = a.collectItems(field+"."+key.Str, key.Str, items, collect)
		return err == nil
	})
	return err
}

// collectItems calls collect for each item of one list. path names the list in errors.
func (a *Amendment) collectItems(path, name string, items gjson.Result, collect collectFunc) (err error) {
	if !slices.Contains(amendableLists, name) {
		return errcode.AmendmentListUnknown.With("%s", path)
	}
	if items.Type == gjson.Null {
		return nil
	}
	if !items.IsArray() {
		return errcode.FieldInvalid.With("%s must be a list", path)
	}
	list := a.lists[name]
	if list == nil {
		list = &listAmendment{items: make(map[string]string), removals: make(map[string]bool)}
		a.lists[name] = list
	}
	items.ForEach(func(_, item gjson.Result) bool {
		err = collect(list, path, item)
		return err == nil
	})
	return err
}

// addItem records an item to upsert: it is added to the list, or replaces the list's item of the same name.
func (l *listAmendment) addItem(path string, item gjson.Result) error {
	name := itemName(item)
	if name == "" {
		return errcode.AmendmentItemUnnamed.With("%s", path)
	}
	if _, isDuplicate := l.items[name]; isDuplicate {
		return errcode.AmendmentNameDuplicate.With("%s: %q", path, name)
	}
	l.names = append(l.names, name)
	l.items[name] = item.Raw
	return nil
}

// addRemoval records the name of an item to remove from the list.
func (l *listAmendment) addRemoval(path string, name gjson.Result) error {
	if name.Type != gjson.String || name.Str == "" {
		return errcode.AmendmentItemUnnamed.With("%s", path)
	}
	if _, isUpserted := l.items[name.Str]; isUpserted || l.removals[name.Str] {
		return errcode.AmendmentNameDuplicate.With("%s: %q", path, name.Str)
	}
	l.removals[name.Str] = true
	return nil
}

// itemName returns the name of an item, or an empty string if it has none. If the item has several fields "name", the last
// one counts, as in Parse.
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
