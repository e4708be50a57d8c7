// Package logs reads the logs of many hosts, merges them in time and selects the lines about one request, server or host.
package logs

import (
	"bytes"
	"encoding/json"
	"strings"
	"time"

	"github.com/pkg/errors"
)

// Line is one line of a host's log, parsed from the JSON that the host logs.
type Line struct {
	At time.Time `json:"at"`
	// Host is the host that wrote the line, or the name of the log file where the line does not say.
	Host string `json:"host"`
	// Logger is the name of the logger, which identifies a part of the host, such as "lane".
	Logger  string `json:"part"`
	Message string `json:"message"`
	// Fields are the fields whose names do not begin with @, in the order of the line.
	Fields []Field `json:"fields"`
}

// Field is one named value of a line; Value is text without quotes, or JSON if it is not a string.
type Field struct {
	Name  string `json:"name"`
	Value string `json:"value"`
}

// timeLayout is the format of @timestamp.
const timeLayout = "2006-01-02T15:04:05.999999Z0700"

// fixedFields are the fields that Line needs from every line, under the names that go-hclog writes.
type fixedFields struct {
	At      string `json:"@timestamp"`
	Logger  string `json:"@module"`
	Message string `json:"@message"`
}

// ParseLine parses one line: a JSON object, optionally after a prefix whose last word names the host.
// Without a prefix the line is attributed to the given host. It returns an error if the object or its time cannot be parsed.
func ParseLine(text []byte, host string) (Line, error) {
	start := bytes.IndexByte(text, '{')
	if start < 0 {
		return Line{}, errors.New("line holds no JSON object")
	}
	if words := strings.Fields(string(text[:start])); len(words) > 0 {
		host = words[len(words)-1]
	}
	var f fixedFields
	if err := json.Unmarshal(text[start:], &f); err != nil {
		return Line{}, errors.Wrap(err, "decode line")
	}
	at, err := time.Parse(timeLayout, f.At)
	if err != nil {
		return Line{}, errors.Wrap(err, "time of line")
	}
	fields, err := variableFields(text[start:])
	if err != nil {
		return Line{}, err
	}
	return Line{
		At:      at,
		Host:    host,
		Logger:  f.Logger,
		Message: f.Message,
		Fields:  fields,
	}, nil
}

// variableFields returns the fields of an object whose names do not begin with @, in their order in the line.
// The logger writes them ordered by name.
func variableFields(object []byte) ([]Field, error) {
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
			Value: unquote(raw),
		})
	}
	return fields, nil
}

// unquote returns the content of a JSON string, and the text of any other JSON value.
func unquote(raw json.RawMessage) string {
	var s string
	if json.Unmarshal(raw, &s) == nil {
		return s
	}
	return string(raw)
}

// Get returns the value of a field, or an empty string if the line lacks it.
func (l Line) Get(name string) string {
	for _, f := range l.Fields {
		if f.Name == name {
			return f.Value
		}
	}
	return ""
}
