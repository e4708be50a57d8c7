package jsonc

import (
	"bytes"
	"fmt"
	"reflect"
	"regexp"
	"slices"
	"strconv"
	"strings"

	"github.com/tailscale/hujson"

	"magnoliaworks/core/lang/near"
)

// Error tells where a file is wrong and why.
type Error struct {
	File   string
	Line   int
	Column int
	Key    string
	Reason string
}

// Error implements error.
func (e *Error) Error() string {
	if e.Key == "" {
		return fmt.Sprintf("%s:%d:%d: %s", e.File, e.Line, e.Column, e.Reason)
	}
	return fmt.Sprintf("%s:%d:%d: key %q: %s", e.File, e.Line, e.Column, e.Key, e.Reason)
}

func (d decoder) fail(at hujson.Value, key, reason string) error {
	line, column := position(d.data, at.StartOffset)
	return &Error{
		File:   d.name,
		Line:   line,
		Column: column,
		Key:    key,
		Reason: reason,
	}
}

func (d decoder) wrongType(at hujson.Value, key, wanted string) error {
	return d.fail(at, key, "value has the wrong type; wanted "+wanted)
}

func position(data []byte, offset int) (line, column int) {
	before := data[:min(offset, len(data))]
	line = 1 + bytes.Count(before, []byte("\n"))
	column = len(before) - bytes.LastIndexByte(before, '\n')
	return line, column
}

var syntaxPlace = regexp.MustCompile(`line (\d+), column (\d+): (.*)`)

func syntaxError(name string, data []byte, err error) error {
	e := &Error{
		File:   name,
		Line:   1,
		Column: 1,
		Reason: err.Error(),
	}
	if m := syntaxPlace.FindStringSubmatch(err.Error()); m != nil {
		e.Line, _ = strconv.Atoi(m[1])
		e.Column, _ = strconv.Atoi(m[2])
		e.Reason = m[3]
	}
	return e
}

func unknownKey(name string, fields map[string]int) string {
	known := make([]string, 0, len(fields))
	for key := range fields {
		known = append(known, key)
	}
	slices.Sort(known)
	if close, ok := near.Find(name, known); ok {
		return "key is unknown; did you mean " + strconv.Quote(close) + "?"
	}
	return "key is unknown; known keys: " + strings.Join(known, ", ")
}

func fieldsOf(t reflect.Type) map[string]int {
	fields := make(map[string]int, t.NumField())
	for i := range t.NumField() {
		if key := keyOf(t.Field(i)); key != "" && key != "-" {
			fields[key] = i
		}
	}
	return fields
}

func keyOf(f reflect.StructField) string {
	key, _, _ := strings.Cut(f.Tag.Get("json"), ",")
	return key
}

func index(key string, i int) string { return key + "[" + strconv.Itoa(i) + "]" }

func plural(n int) string {
	if n == 1 {
		return "1 element"
	}
	return strconv.Itoa(n) + " elements"
}
