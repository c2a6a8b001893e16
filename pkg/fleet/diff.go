package fleet

import (
	"encoding/json"
	"fmt"
	"reflect"
	"strings"
)

// Kind says in which way the documents differ at the path of a change.
type Kind string

// Kinds of changes.
const (
	// Added marks a list item that only the newer document has.
	Added Kind = "added"
	// Removed marks a list item that only the older document has.
	Removed Kind = "removed"
	// Changed marks a value that differs.
	Changed Kind = "changed"
	// Reordered marks a list whose common items are in another order.
	Reordered Kind = "reordered"
)

// Change is one difference between two documents.
type Change struct {
	Kind Kind `json:"kind"`
	// Path locates the field; list items are identified by name, such as "pools[spare].min-instances".
	Path string `json:"path"`
	// From and To are the values as JSON; From is empty for added items, To for removed ones, both for reordered lists.
	From string `json:"from,omitempty"`
	To   string `json:"to,omitempty"`
}

// String returns the change as one line of text.
func (c Change) String() string {
	switch c.Kind {
	case Added, Removed, Reordered:
		return fmt.Sprintf("%s %s", c.Kind, c.Path)
	default:
		return fmt.Sprintf("%s %s from %s to %s", c.Kind, c.Path, c.From, c.To)
	}
}

// Difference holds the changes between two documents and their effects on pools and teams.
type Difference struct {
	// Changes are in document order; removed items of a list come before its added and changed items.
	Changes []Change `json:"changes"`
	// Moves counts the instances that change their pool, ordered by pool names.
	Moves []Move `json:"moves"`
	// Sizes lists the pools whose number of instances changes, ordered by name.
	Sizes []SizeChange `json:"sizes"`
	// Shares lists the teams whose share in percent of all shares changes, ordered by name.
	Shares []ShareChange `json:"shares"`
}

// Move is a number of instances that change from one pool to another.
type Move struct {
	From      string `json:"from"`
	To        string `json:"to"`
	Instances int    `json:"instances"`
}

// SizeChange is a change of the number of instances of a pool.
type SizeChange struct {
	Pool   string `json:"pool"`
	Before int    `json:"before"`
	After  int    `json:"after"`
}

// ShareChange is a change of a team's share in percent of all shares.
type ShareChange struct {
	Team   string  `json:"team"`
	Before float64 `json:"before"`
	After  float64 `json:"after"`
}

// Diff returns the changes from document a to document b; lists of named items are compared by name. Names are expected
// to be unique, as Check requires.
func Diff(a, b *Configuration) Difference {
	d := &Difference{Changes: []Change{}}
	d.compare("", reflect.ValueOf(*a), reflect.ValueOf(*b))
	d.Moves, d.Sizes = diffPools(a, b)
	d.Shares = diffShares(a, b)
	return *d
}

func (d *Difference) addChange(kind Kind, path string, from, to any) {
	c := Change{Kind: kind, Path: path}
	if from != nil {
		c.From = toJSON(from)
	}
	if to != nil {
		c.To = toJSON(to)
	}
	d.Changes = append(d.Changes, c)
}

func toJSON(v any) string {
	data, err := json.Marshal(v)
	if err != nil {
		return fmt.Sprint(v)
	}
	return string(data)
}

func (d *Difference) compare(path string, a, b reflect.Value) {
	switch {
	case a.Kind() == reflect.Struct:
		for i := range a.NumField() {
			name, _, _ := strings.Cut(a.Type().Field(i).Tag.Get("json"), ",")
			if path != "" {
				name = path + "." + name
			}
			d.compare(name, a.Field(i), b.Field(i))
		}
	case a.Kind() == reflect.Slice && a.Type().Elem().Kind() == reflect.Struct:
		d.compareNamedItems(path, a, b)
	case a.Kind() == reflect.Slice && a.Len() == 0 && b.Len() == 0:
	case !reflect.DeepEqual(a.Interface(), b.Interface()):
		d.addChange(Changed, path, a.Interface(), b.Interface())
	}
}

func (d *Difference) compareNamedItems(path string, a, b reflect.Value) {
	before, after := itemsByName(a), itemsByName(b)
	item := func(name string) string { return fmt.Sprintf("%s[%s]", path, name) }
	var common []string
	for i := range a.Len() {
		name := nameOf(a.Index(i))
		if _, ok := after[name]; ok {
			common = append(common, name)
		} else {
			d.addChange(Removed, item(name), a.Index(i).Interface(), nil)
		}
	}
	next, reordered := 0, false
	for i := range b.Len() {
		name := nameOf(b.Index(i))
		old, ok := before[name]
		if !ok {
			d.addChange(Added, item(name), nil, b.Index(i).Interface())
			continue
		}
		reordered = reordered || next >= len(common) || common[next] != name
		next++
		d.compare(item(name), old, b.Index(i))
	}
	if reordered {
		d.addChange(Reordered, path, nil, nil)
	}
}

func itemsByName(list reflect.Value) map[string]reflect.Value {
	items := make(map[string]reflect.Value, list.Len())
	for i := range list.Len() {
		items[nameOf(list.Index(i))] = list.Index(i)
	}
	return items
}

func nameOf(item reflect.Value) string { return item.FieldByName("Name").String() }
