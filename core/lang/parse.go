package lang

import (
	"fmt"
	"regexp"
	"strings"

	"github.com/alecthomas/participle/v2"
	"github.com/alecthomas/participle/v2/lexer"
	"github.com/pkg/errors"

	"magnoliaworks/core/lang/near"
)

// maxLength bounds a command in bytes.
const maxLength = 1 << 20

var tokens = lexer.MustSimple([]lexer.SimpleRule{
	{Name: "Raw", Pattern: "`[^`]*`"},
	{Name: "String", Pattern: `"(\\.|[^"\\])*"`},
	{Name: "Duration", Pattern: `[0-9]+(\.[0-9]+)?(ms|s|m)\b`},
	{Name: "Number", Pattern: `[0-9]+(\.[0-9]+)?\b`},
	{Name: "Word", Pattern: `[A-Za-z0-9_][A-Za-z0-9_./:-]*`},
	{Name: "Space", Pattern: `\s+`},
})

var parser = participle.MustBuild[Command](
	participle.Lexer(tokens),
	participle.Elide("Space"),
	participle.Unquote("String", "Raw"),
	participle.UseLookahead(4),
)

// keywords are the words that a mistyped word may have meant.
var keywords = []string{
	"search", "take", "out", "bring", "in", "set", "put", "collection", "show", "explain", "help",
	"limit", "key", "caller", "deadline", "data_centre", "host", "server", "force", "because", "dry_run",
	"kind", "budget", "query",
}

// Error tells where a command is wrong.
type Error struct {
	// Column counts from 1.
	Column  int
	Reason  string
	Nearest string
}

// Error implements error.
func (e *Error) Error() string {
	if e.Nearest == "" {
		return fmt.Sprintf("column %d: %s", e.Column, e.Reason)
	}
	return fmt.Sprintf("column %d: %s; did you mean %q?", e.Column, e.Reason, e.Nearest)
}

// Parse reads one command. The error is an *Error.
func Parse(text string) (Command, error) {
	if len(text) > maxLength {
		return Command{}, &Error{
			Column: maxLength,
			Reason: "the command is longer than a megabyte",
		}
	}
	command, err := parser.ParseString("", text)
	if err == nil {
		return *command, nil
	}
	return Command{}, located(text, err)
}

var firstWord = regexp.MustCompile(`^[A-Za-z_]+`)

func located(text string, err error) error {
	e := &Error{
		Column: 1,
		Reason: err.Error(),
	}
	var p participle.Error
	if errors.As(err, &p) {
		e.Column = p.Position().Column
		e.Reason = p.Message()
	}
	rest := text[min(max(e.Column-1, 0), len(text)):]
	if word := firstWord.FindString(strings.TrimSpace(rest)); word != "" {
		if nearest, ok := near.Find(word, keywords); ok && nearest != word {
			e.Nearest = nearest
		}
	}
	return e
}
