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

// maxCommandBytes is the largest length of a command.
const maxCommandBytes = 1 << 20

var lexerRules = lexer.MustSimple([]lexer.SimpleRule{
	{Name: "Raw", Pattern: "`[^`]*`"},
	{Name: "String", Pattern: `"(\\.|[^"\\])*"`},
	{Name: "Duration", Pattern: `[0-9]+(\.[0-9]+)?(ms|s|m)\b`},
	{Name: "Number", Pattern: `[0-9]+(\.[0-9]+)?\b`},
	{Name: "Word", Pattern: `[A-Za-z0-9_][A-Za-z0-9_./:-]*`},
	{Name: "Space", Pattern: `\s+`},
})

var parser = participle.MustBuild[Command](
	participle.Lexer(lexerRules),
	participle.Elide("Space"),
	participle.Unquote("String", "Raw"),
	participle.UseLookahead(4),
)

// keywords are the words that an error may suggest for a mistyped word.
var keywords = []string{
	"search", "take", "out", "bring", "in", "set", "put", "collection", "show", "explain", "help",
	"limit", "key", "caller", "deadline", "data_centre", "host", "server", "force", "because", "dry_run",
	"kind", "budget", "query",
}

// Error reports where a command is invalid and why.
type Error struct {
	// Column counts characters from 1 in the line of the mistake. For a command that is too long it is maxCommandBytes.
	Column int
	Reason string
	// Nearest is the known word closest to the mistyped one; empty when none is close.
	Nearest string
}

// Error implements error.
func (e *Error) Error() string {
	if e.Nearest == "" {
		return fmt.Sprintf("column %d: %s", e.Column, e.Reason)
	}
	return fmt.Sprintf("column %d: %s; did you mean %q?", e.Column, e.Reason, e.Nearest)
}

// Parse parses one command. Every error is an *Error.
func Parse(text string) (Command, error) {
	if len(text) > maxCommandBytes {
		return Command{}, &Error{
			Column: maxCommandBytes,
			Reason: "the command is longer than 1 MiB",
		}
	}
	command, err := parser.ParseString("", text)
	if err == nil {
		return *command, nil
	}
	return Command{}, errorAt(text, err)
}

// leadingWord matches the word at the start of a text.
var leadingWord = regexp.MustCompile(`^[A-Za-z_]+`)

// errorAt returns an *Error with the column of a parser's error, and suggests the keyword closest to the word there.
func errorAt(text string, err error) error {
	located := &Error{
		Column: 1,
		Reason: err.Error(),
	}
	var p participle.Error
	if errors.As(err, &p) {
		located.Column = p.Position().Column
		located.Reason = p.Message()
	}
	rest := text[min(max(located.Column-1, 0), len(text)):]
	if word := leadingWord.FindString(strings.TrimSpace(rest)); word != "" {
		if nearest, ok := near.Find(word, keywords); ok && nearest != word {
			located.Nearest = nearest
		}
	}
	return located
}
