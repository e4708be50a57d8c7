// Package jsonc decodes JSON with comments strictly into structs and reports the position of a mistake.
//
// Field tags restrict values: `min` and `max` for numbers, durations and the lengths of lists and strings,
// `oneof` for strings (options separated by |), and `need:"true"` for keys that must be present.
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

// DecodeFile decodes the named file into target, which points to a struct. Errors are those of Decode,
// or an *os.PathError, wrapped, when the file cannot be read.
func DecodeFile(file string, target any) error {
	data, err := os.ReadFile(file)
	if err != nil {
		return errors.Wrap(err, "read settings")
	}
	return Decode(file, data, target)
}

// Decode decodes data into target, which points to a struct; file is the file name in errors.
// It returns an *Error when the data is malformed, or has an unknown, repeated or missing key or a value out of bounds.
func Decode(file string, data []byte, target any) error {
	tree, err := hujson.Parse(data)
	if err != nil {
		return syntaxError(file, data, err)
	}
	d := decoder{
		file: file,
		data: data,
	}
	return d.value(tree, reflect.ValueOf(target).Elem(), bounds{}, "")
}

type decoder struct {
	file string
	data []byte
}

var durationType = reflect.TypeFor[time.Duration]()

// value decodes the tree into out; key is its dotted path in errors.
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
		return d.boolean(tree, out, key)
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
	fields := fieldsByKey(out.Type())
	seen := make(map[string]bool, len(fields))
	for _, member := range object.Members {
		name := member.Name.Value.(hujson.Literal).String()
		path := joinPath(key, name)
		i, known := fields[name]
		if !known {
			return d.errorAt(member.Name, path, unknownKeyReason(name, fields))
		}
		if seen[name] {
			return d.errorAt(member.Name, path, "key is given twice")
		}
		seen[name] = true
		if err := d.value(member.Value, out.Field(i), boundsOf(out.Type().Field(i)), path); err != nil {
			return err
		}
	}
	return d.checkRequired(tree, out.Type(), seen, key)
}

// checkRequired reports the first key with the tag need that the object lacks.
func (d decoder) checkRequired(tree hujson.Value, t reflect.Type, seen map[string]bool, key string) error {
	for i := range t.NumField() {
		name := jsonKey(t.Field(i))
		if t.Field(i).Tag.Get("need") == "true" && !seen[name] {
			return d.errorAt(tree, joinPath(key, name), "key is missing")
		}
	}
	return nil
}

func (d decoder) list(tree hujson.Value, out reflect.Value, b bounds, key string) error {
	array, ok := tree.Value.(*hujson.Array)
	if !ok {
		return d.wrongType(tree, key, "a list")
	}
	if !b.permitsNumber(float64(len(array.Elements))) {
		return d.errorAt(tree, key, "list has "+elementCount(len(array.Elements))+"; permitted: "+b.String())
	}
	items := reflect.MakeSlice(out.Type(), len(array.Elements), len(array.Elements))
	for i, element := range array.Elements {
		if err := d.value(element, items.Index(i), bounds{}, elementPath(key, i)); err != nil {
			return err
		}
	}
	out.Set(items)
	return nil
}

func joinPath(key, name string) string {
	if key == "" {
		return name
	}
	return strings.Join([]string{key, name}, ".")
}
