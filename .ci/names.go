// Names prints the names that leave the process, one a line and sorted: names in string literals and struct tags,
// messages of log lines, metrics and their help, words of the protocol files, of the query language's grammar and of
// settings files, and the fields that stand in the audit trail.
//
//	go run .ci/names.go            prints the list
//	go run .ci/names.go -check     compares it with .ci/names.txt
package main

import (
	"flag"
	"fmt"
	"go/ast"
	"go/parser"
	"go/token"
	"io/fs"
	"os"
	"path/filepath"
	"regexp"
	"slices"
	"strconv"
	"strings"
)

// listFile holds the committed list.
const listFile = ".ci/names.txt"

var (
	// name matches a literal that may be a name: no spaces, with a letter.
	name = regexp.MustCompile(`^[^\s"'(){},]*[A-Za-z][^\s"'(){},]*$`)
	// verb matches a verb of a format.
	verb = regexp.MustCompile(`%[-+#.0-9]*[a-zA-Z%]`)
	// protoName matches a declaration of a .proto file.
	protoName = regexp.MustCompile(`^\s*(?:package|service|rpc|message|enum|oneof|(?:repeated |optional )?[\w.<>, ]+ )\s*([\w.]+)\s*(?:;|\{|\(|= \d+)`)
	// templateKey matches a key or a variable of a settings template.
	templateKey = regexp.MustCompile(`"(\w+)":|\{\{[#/]?([\w.]+)`)
	// keyword matches a word of a grammar tag.
	keyword = regexp.MustCompile(`'(\w+)'`)
)

// nameTags are the struct tags whose values are outward names; alternatives are separated by |.
var nameTags = []string{"json", "oneof", "long", "short", "env", "command", "choice", "default", "value-name", "positional-arg-name"}

// printedTypes are the types of core/config whose field names are written into the audit trail.
var printedTypes = []string{"Kind", "Budgets"}

// documented are the texts of steps, causes and reasons by which docs/LOGS.md, docs/OPERATIONS.md and docs/operate/ tell
// operators what happened.
var documented = []string{
	"back in service",
	"neither a peer nor the store has been reached for",
	"no configuration received yet",
	"not run",
	"not run:",
	"one went silent",
	"outcome unknown:",
	"queue too long for the deadline",
	"refused by the server with status",
	"server down",
	"taken out",
	"the budget for repeated calls is empty",
	"the message may have run",
	"the store does not answer",
}

// grammarFile declares the types of the query language; the parser's errors name them.
const grammarFile = "core/lang/command.go"

// logCalls gives the argument of a call that is the message of a log line or the step of a request.
var logCalls = map[string]int{
	"Info":   0,
	"Warn":   0,
	"Debug":  0,
	"Error":  0,
	"Record": 2,
	"step":   0,
}

// list is the set of names found.
type list map[string]bool

func (l list) add(names ...string) {
	for _, n := range names {
		if n != "" && n != "-" {
			l[n] = true
		}
	}
}

func (l list) sorted() []string {
	var names []string
	for n := range l {
		names = append(names, n)
	}
	slices.Sort(names)
	return names
}

// readTree adds the names of all files below the current folder.
func (l list) readTree() error {
	return filepath.WalkDir(".", func(path string, d fs.DirEntry, err error) error {
		switch {
		case err != nil:
			return err
		case d.IsDir() && path != "." && strings.HasPrefix(d.Name(), "."), d.IsDir() && (d.Name() == "journal" || d.Name() == "target"):
			return filepath.SkipDir
		case strings.HasSuffix(path, ".proto"):
			return l.readLines(path, protoName)
		case strings.HasSuffix(path, ".jsonc"):
			return l.readLines(path, templateKey)
		case strings.HasSuffix(path, ".go") && !strings.HasSuffix(path, "_test.go"):
			return l.readSource(path)
		}
		return nil
	})
}

// readLines adds the groups of all matches of a pattern.
func (l list) readLines(path string, pattern *regexp.Regexp) error {
	text, err := os.ReadFile(path)
	if err != nil {
		return err
	}
	for _, line := range strings.Split(string(text), "\n") {
		for _, match := range pattern.FindAllStringSubmatch(line, -1) {
			l.add(match[1:]...)
		}
	}
	return nil
}

// readSource adds the names of a Go file; generated code repeats the .proto files.
func (l list) readSource(path string) error {
	text, err := os.ReadFile(path)
	if err != nil || strings.Contains(string(text), "Code generated") {
		return err
	}
	file, err := parser.ParseFile(token.NewFileSet(), path, text, 0)
	if err != nil {
		return err
	}
	ast.Inspect(file, func(n ast.Node) bool {
		switch n := n.(type) {
		case *ast.ImportSpec:
			return false
		case *ast.Field:
			if n.Tag != nil {
				l.addTag(textOf(n.Tag))
			}
			return true
		case *ast.TypeSpec:
			if path == grammarFile {
				l.add(n.Name.Name)
			}
			if strings.HasPrefix(path, "core/config/") && slices.Contains(printedTypes, n.Name.Name) {
				l.addFields(n)
			}
		case *ast.CallExpr:
			l.addMessage(n)
		case *ast.KeyValueExpr:
			if key, ok := n.Key.(*ast.Ident); ok && (key.Name == "What" || key.Name == "Help") {
				l.addText(n.Value)
			}
		case *ast.GenDecl:
			if n.Tok == token.CONST {
				l.addConstants(n)
			}
		case *ast.BasicLit:
			l.addName(n)
		}
		return true
	})
	return nil
}

func (l list) addTag(tag string) {
	if strings.Contains(tag, "parser:") {
		for _, match := range keyword.FindAllStringSubmatch(tag, -1) {
			l.add(match[1])
		}
	}
	for _, key := range nameTags {
		for rest := tag; ; {
			_, after, ok := strings.Cut(rest, key+`:"`)
			if !ok {
				break
			}
			value, next, _ := strings.Cut(after, `"`)
			rest = next
			if key == "json" {
				value, _, _ = strings.Cut(value, ",")
			}
			l.add(strings.Split(value, "|")...)
		}
	}
}

func (l list) addFields(spec *ast.TypeSpec) {
	if fields, ok := spec.Type.(*ast.StructType); ok {
		for _, f := range fields.Fields.List {
			for _, id := range f.Names {
				l.add(id.Name)
			}
		}
	}
}

func (l list) addMessage(call *ast.CallExpr) {
	selector, ok := call.Fun.(*ast.SelectorExpr)
	if !ok || len(call.Args) == 0 {
		return
	}
	if at, known := logCalls[selector.Sel.Name]; known && at < len(call.Args) {
		l.addText(call.Args[at])
	}
}

func (l list) addConstants(decl *ast.GenDecl) {
	for _, spec := range decl.Specs {
		for _, value := range spec.(*ast.ValueSpec).Values {
			l.addText(value)
		}
	}
}

// addText adds the literals of an expression, spaces or not.
func (l list) addText(e ast.Expr) {
	ast.Inspect(e, func(n ast.Node) bool {
		if lit, ok := n.(*ast.BasicLit); ok && lit.Kind == token.STRING {
			for _, line := range strings.Split(textOf(lit), "\n") {
				l.add(strings.TrimSpace(line))
			}
		}
		return true
	})
}

func (l list) addName(lit *ast.BasicLit) {
	if lit.Kind != token.STRING || lit.Value[0] == '`' {
		return
	}
	s := textOf(lit)
	if text := strings.TrimSpace(s); slices.Contains(documented, text) {
		l.add(text)
	}
	if name.MatchString(s) && name.MatchString(verb.ReplaceAllString(s, "")) {
		l.add(s)
	}
}

// textOf returns the text of a string literal.
func textOf(lit *ast.BasicLit) string {
	s, err := strconv.Unquote(lit.Value)
	if err != nil {
		return ""
	}
	return s
}

// compare prints the names that only one of the lists has.
func compare(want, have []string) (same bool) {
	same = true
	for _, n := range want {
		if !slices.Contains(have, n) {
			fmt.Printf("outward name is gone: %s\n", n)
			same = false
		}
	}
	for _, n := range have {
		if !slices.Contains(want, n) {
			fmt.Printf("outward name is new, add it to %s: %s\n", listFile, n)
			same = false
		}
	}
	return same
}

func main() {
	check := flag.Bool("check", false, "compare with the committed list")
	flag.Parse()
	found := list{}
	if err := found.readTree(); err != nil {
		fmt.Fprintln(os.Stderr, err)
		os.Exit(2)
	}
	names := found.sorted()
	if !*check {
		fmt.Println(strings.Join(names, "\n"))
		return
	}
	committed, err := os.ReadFile(listFile)
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		os.Exit(2)
	}
	if !compare(strings.Split(strings.TrimSpace(string(committed)), "\n"), names) {
		os.Exit(1)
	}
}
