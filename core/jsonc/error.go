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

// Error reports a mistake in a file and its position. Line and Column count from 1, Column in bytes;
// Key is the dotted path to the value and empty for a syntax error.
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

// errorAt returns an *Error at the position of a value.
func (d decoder) errorAt(at hujson.Value, key, reason string) error {
	line, column := position(d.data, at.StartOffset)
	return &Error{
		File:   d.file,
		Line:   line,
		Column: column,
		Key:    key,
		Reason: reason,
	}
}

func (d decoder) wrongType(at hujson.Value, key, wanted string) error {
	return d.errorAt(at, key, "value has the wrong type; wanted "+wanted)
}

// position returns the line and column of an offset, both counted from 1, the column in bytes.
func position(data []byte, offset int) (line, column int) {
	before := data[:min(offset, len(data))]
	line = 1 + bytes.Count(before, []byte("\n"))
	column = len(before) - bytes.LastIndexByte(before, '\n')
	return line, column
}

// syntaxPosition matches the position that the parser puts in its messages.
var syntaxPosition = regexp.MustCompile(`line (\d+), column (\d+): (.*)`)

func syntaxError(file string, data []byte, err error) error {
	e := &Error{
		File:   file,
		Line:   1,
		Column: 1,
		Reason: err.Error(),
	}
	if m := syntaxPosition.FindStringSubmatch(err.Error()); m != nil {
		e.Line, _ = strconv.Atoi(m[1])
		e.Column, _ = strconv.Atoi(m[2])
		e.Reason = m[3]
	}
	return e
}

// unknownKeyReason suggests a similar known key or, without one, lists all known keys.
func unknownKeyReason(name string, fields map[string]int) string {
	known := make([]string, 0, len(fields))
	for key := range fields {
		known = append(known, key)
	}
	slices.Sort(known)
	if suggestion, ok := near.Find(name, known); ok {
		return "key is unknown; did you mean " + strconv.Quote(suggestion) + "?"
	}
	return "key is unknown; known keys: " + strings.Join(known, ", ")
}

// fieldsByKey returns the index of each field of a struct by its JSON key.
func fieldsByKey(t reflect.Type) map[string]int {
	fields := make(map[string]int, t.NumField())
	for i := range t.NumField() {
		if key := jsonKey(t.Field(i)); key != "" && key != "-" {
			fields[key] = i
		}
	}
	return fields
}

func jsonKey(f reflect.StructField) string {
	key, _, _ := strings.Cut(f.Tag.Get("json"), ",")
	return key
}

func elementPath(key string, i int) string { return key + "[" + strconv.Itoa(i) + "]" }

func elementCount(n int) string {
	if n == 1 {
		return "1 element"
	}
	return strconv.Itoa(n) + " elements"
}
