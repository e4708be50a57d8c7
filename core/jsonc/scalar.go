package jsonc

import (
	"encoding/json"
	"reflect"
	"strconv"
	"time"

	"github.com/tailscale/hujson"
)

func (d decoder) text(tree hujson.Value, out reflect.Value, b bounds, key string) error {
	var s string
	if json.Unmarshal(d.raw(tree), &s) != nil {
		return d.wrongType(tree, key, "a string")
	}
	if !b.permitsString(s) {
		return d.errorAt(tree, key, strconv.Quote(s)+" is not permitted; permitted: "+b.String())
	}
	out.SetString(s)
	return nil
}

func (d decoder) boolean(tree hujson.Value, out reflect.Value, key string) error {
	var v bool
	if json.Unmarshal(d.raw(tree), &v) != nil {
		return d.wrongType(tree, key, "true or false")
	}
	out.SetBool(v)
	return nil
}

func (d decoder) number(tree hujson.Value, out reflect.Value, b bounds, key string) error {
	raw := d.raw(tree)
	if json.Unmarshal(raw, out.Addr().Interface()) != nil {
		return d.wrongType(tree, key, "a number of type "+out.Kind().String())
	}
	if !b.permitsNumber(toFloat(out)) {
		return d.errorAt(tree, key, string(raw)+" is out of range; permitted: "+b.String())
	}
	return nil
}

func (d decoder) duration(tree hujson.Value, out reflect.Value, b bounds, key string) error {
	var s string
	if json.Unmarshal(d.raw(tree), &s) != nil {
		return d.wrongType(tree, key, `a duration with a unit, such as "250ms"`)
	}
	v, err := time.ParseDuration(s)
	if err != nil {
		return d.errorAt(tree, key, strconv.Quote(s)+` is not a duration; use ms, s, m or h, as in "250ms"`)
	}
	if !b.permitsDuration(v) {
		return d.errorAt(tree, key, s+" is out of range; permitted: "+b.String())
	}
	out.SetInt(int64(v))
	return nil
}

func (d decoder) raw(tree hujson.Value) []byte {
	if literal, ok := tree.Value.(hujson.Literal); ok {
		return literal
	}
	return nil
}

func toFloat(v reflect.Value) float64 {
	switch v.Kind() {
	case reflect.Int:
		return float64(v.Int())
	case reflect.Uint64:
		return float64(v.Uint())
	default:
		return v.Float()
	}
}
