// Package story reads the logs of many hosts and tells what happened to one request, server or host.
package logs

import (
	"bytes"
	"encoding/json"
	"strings"
	"time"

	"github.com/pkg/errors"
)

// Line is one line of a host's log.
type Line struct {
	At time.Time `json:"at"`
	// Host is the host that wrote the line; it is the file's name where lines don't tell.
	Host    string `json:"host"`
	Logger  string `json:"part"`
	Message string `json:"message"`
	// Fields are the other fields in the order of their names.
	Fields []Field `json:"fields"`
}

// Field is one named value of a line.
type Field struct {
	Name  string `json:"name"`
	Value string `json:"value"`
}

// timeLayout is the layout of the time in log lines.
const timeLayout = "2006-01-02T15:04:05.999999Z0700"

// fixed are the fields that every line has.
type fixed struct {
	At      string `json:"@timestamp"`
	Part    string `json:"@module"`
	Message string `json:"@message"`
}

// ParseLine reads a line: a JSON object, with any words before it of which the last names the host.
func ParseLine(text []byte, host string) (Line, error) {
	start := bytes.IndexByte(text, '{')
	if start < 0 {
		return Line{}, errors.New("line holds no JSON object")
	}
	if words := strings.Fields(string(text[:start])); len(words) > 0 {
		host = words[len(words)-1]
	}
	var f fixed
	if err := json.Unmarshal(text[start:], &f); err != nil {
		return Line{}, errors.Wrap(err, "decode line")
	}
	at, err := time.Parse(timeLayout, f.At)
	if err != nil {
		return Line{}, errors.Wrap(err, "time of line")
	}
	fields, err := fieldsOf(text[start:])
	if err != nil {
		return Line{}, err
	}
	return Line{
		At:      at,
		Host:    host,
		Logger:  f.Part,
		Message: f.Message,
		Fields:  fields,
	}, nil
}

// fieldsOf returns the fields of an object that are not fixed; the logger writes them ordered by name.
func fieldsOf(object []byte) ([]Field, error) {
	d := json.NewDecoder(bytes.NewReader(object))
	if _, err := d.Token(); err != nil {
		return nil, errors.Wrap(err, "decode line")
	}
	var fields []Field
	for d.More() {
		name, err := d.Token()
		if err != nil {
			return nil, errors.Wrap(err, "decode line")
		}
		var raw json.RawMessage
		if err := d.Decode(&raw); err != nil {
			return nil, errors.Wrap(err, "decode line")
		}
		key, _ := name.(string)
		if strings.HasPrefix(key, "@") {
			continue
		}
		fields = append(fields, Field{
			Name:  key,
			Value: plain(raw),
		})
	}
	return fields, nil
}

// plain returns a JSON value as text without quotes.
func plain(raw json.RawMessage) string {
	var s string
	if json.Unmarshal(raw, &s) == nil {
		return s
	}
	return string(raw)
}

// Get returns the value of a field, or an empty text.
func (l Line) Get(name string) string {
	for _, f := range l.Fields {
		if f.Name == name {
			return f.Value
		}
	}
	return ""
}
