package main

import (
	"fmt"
	"io"
	"os"
	"os/user"
	"strings"

	"github.com/chzyer/readline"
	"github.com/pkg/errors"

	"magnoliaworks"
	"magnoliaworks/core/setup"
	"magnoliaworks/core/shell"
	"magnoliaworks/io/admin"
)

// hostFlags are the flags that select a host, the operator's name and the output format.
type hostFlags struct {
	Host        string `long:"host" default:"127.0.0.1:7002" value-name:"ADDRESS" description:"address of a host's operator listener"`
	Operator    string `long:"operator" value-name:"NAME" description:"operator name in the audit trail (default: the current user)"`
	Format      string `long:"format" default:"table" choice:"table" choice:"json" description:"output format"`
	Certificate string `long:"certificate" value-name:"FILE" description:"client certificate, with --key and --ca"`
	Key         string `long:"key" value-name:"FILE" description:"private key of the client certificate"`
	CA          string `long:"ca" value-name:"FILE" description:"CA certificate that verifies the host's certificate"`
}

// doCommand runs one command on a host.
type doCommand struct {
	hostFlags
	Args struct {
		Command []string `positional-arg-name:"COMMAND" required:"1"`
	} `positional-args:"true"`
}

// Execute implements flags.Commander.
func (c *doCommand) Execute([]string) error {
	client, err := c.client()
	if err != nil {
		return usageError{err}
	}
	return c.run(client, strings.Join(c.Args.Command, " "))
}

// shellCommand reads commands from the terminal and runs each on a host.
type shellCommand struct {
	hostFlags
}

// Execute implements flags.Commander.
func (c *shellCommand) Execute([]string) error {
	client, err := c.client()
	if err != nil {
		return usageError{err}
	}
	lines, err := readline.NewEx(&readline.Config{
		Prompt:       "magnoliaworks> ",
		AutoComplete: newCompleter(),
	})
	if err != nil {
		return errors.Wrap(err, "open terminal")
	}
	defer func() { _ = lines.Close() }()
	for {
		line, err := lines.Readline()
		if errors.Is(err, io.EOF) || errors.Is(err, readline.ErrInterrupt) {
			return nil
		}
		if err != nil {
			return errors.Wrap(err, "read command")
		}
		if strings.TrimSpace(line) == "" {
			continue
		}
		if err := c.run(client, line); err != nil {
			fmt.Fprintln(os.Stderr, err)
		}
	}
}

func (t hostFlags) client() (*admin.Client, error) {
	tls, err := magnoliaworks.ClientTLS(setup.TLS{
		Certificate: t.Certificate,
		Key:         t.Key,
		ClientCA:    t.CA,
	})
	if err != nil {
		return nil, err
	}
	return admin.NewClient(t.Host, tls), nil
}

func (t hostFlags) run(client *admin.Client, command string) error {
	out, err := client.Run(t.operator(), command)
	if err != nil {
		return err
	}
	return t.print(out)
}

func (t hostFlags) print(out shell.Output) error {
	if t.Format == "table" {
		fmt.Print(out.Table())
		return nil
	}
	text, err := out.JSON()
	fmt.Println(text)
	return err
}

// operator returns the name for the audit trail.
func (t hostFlags) operator() string {
	if t.Operator != "" {
		return t.Operator
	}
	if u, err := user.Current(); err == nil {
		return u.Username
	}
	return "unknown"
}

// newCompleter returns the tab completion of the command language's words.
func newCompleter() readline.AutoCompleter {
	places := []readline.PrefixCompleterInterface{
		readline.PcItem("data_centre"), readline.PcItem("host"), readline.PcItem("server"),
	}
	var shows []readline.PrefixCompleterInterface
	for _, word := range shell.ShowWords {
		shows = append(shows, readline.PcItem(word))
	}
	return readline.NewPrefixCompleter(
		readline.PcItem("search"),
		readline.PcItem("take", readline.PcItem("out", places...)),
		readline.PcItem("bring", readline.PcItem("in", places...)),
		readline.PcItem("set", readline.PcItem("kind"), readline.PcItem("budget")),
		readline.PcItem("put", readline.PcItem("collection")),
		readline.PcItem("show", shows...),
		readline.PcItem("explain", append(places, readline.PcItem("query"))...),
		readline.PcItem("help"),
	)
}
