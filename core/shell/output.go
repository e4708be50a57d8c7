// Package shell runs the commands of operators.
package shell

import (
	"encoding/json"
	"strings"
	"text/tabwriter"

	"github.com/pkg/errors"
)

// Output is the result of a command: a text, a table, or both.
type Output struct {
	Text    string     `json:"text,omitempty"`
	Columns []string   `json:"columns,omitempty"`
	Rows    [][]string `json:"rows,omitempty"`
}

// newTable returns an output that is a table with the given columns and no rows.
func newTable(columns ...string) Output {
	return Output{
		Columns: columns,
	}
}

func (o *Output) addRow(cells ...string) { o.Rows = append(o.Rows, cells) }

// Table renders the output for a terminal, with aligned columns.
func (o Output) Table() string {
	var b strings.Builder
	if o.Text != "" {
		b.WriteString(o.Text)
		b.WriteByte('\n')
	}
	if len(o.Columns) == 0 {
		return b.String()
	}
	w := tabwriter.NewWriter(&b, 0, 0, 2, ' ', 0)
	writeRow(w, o.Columns)
	for _, row := range o.Rows {
		writeRow(w, row)
	}
	_ = w.Flush()
	return b.String()
}

// JSON renders the output as one JSON object.
func (o Output) JSON() (string, error) {
	encoded, err := json.Marshal(o)
	return string(encoded), errors.Wrap(err, "encode output")
}

func writeRow(w *tabwriter.Writer, cells []string) {
	_, _ = w.Write([]byte(strings.Join(cells, "\t") + "\n"))
}
