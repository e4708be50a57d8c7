// Package jsonc reads JSON with comments strictly into structs and tells where a mistake stands.
//
// Field tags bound what a value may be: `min` and `max` for numbers, durations and lengths of lists,
// `oneof` for strings (words separated by |), and `need:"true"` for keys that must be present.
// Durations are strings with a unit, such as "250ms".
package jsonc

import (
	"os"
	"reflect"
	"strings"
	"time"

	"github.com/pkg/errors"
	"github.com/tailscale/hujson"
)

// DecodeFile reads the named file into target, which points to a struct.
func DecodeFile(name string, target any) error {
	data, err := os.ReadFile(name)
	if err != nil {
		return errors.Wrap(err, "read settings")
	}
	return Decode(name, data, target)
}

// Decode reads data into target, which points to a struct. The returned error is a *Error when the data is at fault.
func Decode(name string, data []byte, target any) error {
	tree, err := hujson.Parse(data)
	if err != nil {
		return syntaxError(name, data, err)
	}
	d := decoder{
		name: name,
		data: data,
	}
	return d.value(tree, reflect.ValueOf(target).Elem(), bounds{}, "")
}

type decoder struct {
	name string
	data []byte
}

var durationType = reflect.TypeFor[time.Duration]()

// value stores the tree in out; key is the dotted path to it.
func (d decoder) value(tree hujson.Value, out reflect.Value, b bounds, key string) error {
	if out.Type() == durationType {
		return d.duration(tree, out, b, key)
	}
	switch out.Kind() {
	case reflect.Struct:
		return d.object(tree, out, key)
	case reflect.Slice:
		return d.list(tree, out, b, key)
	case reflect.String:
		return d.text(tree, out, b, key)
	case reflect.Bool:
		return d.truth(tree, out, key)
	case reflect.Int, reflect.Uint64, reflect.Float64:
		return d.number(tree, out, b, key)
	default:
		return errors.Errorf("key %q: type %s is not supported", key, out.Type())
	}
}

func (d decoder) object(tree hujson.Value, out reflect.Value, key string) error {
	object, ok := tree.Value.(*hujson.Object)
	if !ok {
		return d.wrongType(tree, key, "an object")
	}
	fields := fieldsOf(out.Type())
	seen := make(map[string]bool, len(fields))
	for _, member := range object.Members {
		name := member.Name.Value.(hujson.Literal).String()
		path := join(key, name)
		i, known := fields[name]
		if !known {
			return d.fail(member.Name, path, unknownKey(name, fields))
		}
		if seen[name] {
			return d.fail(member.Name, path, "key is given twice")
		}
		seen[name] = true
		if err := d.value(member.Value, out.Field(i), boundsOf(out.Type().Field(i)), path); err != nil {
			return err
		}
	}
	return d.needed(tree, out.Type(), seen, key)
}

func (d decoder) needed(tree hujson.Value, t reflect.Type, seen map[string]bool, key string) error {
	for i := range t.NumField() {
		name := keyOf(t.Field(i))
		if t.Field(i).Tag.Get("need") == "true" && !seen[name] {
			return d.fail(tree, join(key, name), "key is missing")
		}
	}
	return nil
}

func (d decoder) list(tree hujson.Value, out reflect.Value, b bounds, key string) error {
	array, ok := tree.Value.(*hujson.Array)
	if !ok {
		return d.wrongType(tree, key, "a list")
	}
	if !b.holdsNumber(float64(len(array.Elements))) {
		return d.fail(tree, key, "list has "+plural(len(array.Elements))+"; permitted: "+b.String())
	}
	items := reflect.MakeSlice(out.Type(), len(array.Elements), len(array.Elements))
	for i, element := range array.Elements {
		if err := d.value(element, items.Index(i), bounds{}, index(key, i)); err != nil {
			return err
		}
	}
	out.Set(items)
	return nil
}

func join(key, name string) string {
	if key == "" {
		return name
	}
	return strings.Join([]string{key, name}, ".")
}
