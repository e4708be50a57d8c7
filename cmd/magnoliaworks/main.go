// Command magnoliaworks runs a host, sends operators' commands to hosts, and runs experiments and a demonstration.
package main

import (
	"errors"
	"fmt"
	"os"
	"slices"

	"github.com/jessevdk/go-flags"

	"magnoliaworks"
)

// Exit codes of all commands.
const (
	exitOK = 0
	// exitFailed means that the command ran and failed, or found a violated guarantee.
	exitFailed = 1
	// exitUsage means that the command line, or a file that it names, is invalid.
	exitUsage = 2
)

// commands declares the subcommands and their help texts.
type commands struct {
	Version  versionFlag     `long:"version" description:"print the version and exit"`
	Serve    serveCommand    `command:"serve" description:"run a host" long-description:"Runs a host until SIGTERM or SIGINT; the host then finishes all accepted requests and exits 0."`
	Check    checkCommand    `command:"check" description:"check a settings, collection, deployment or configuration file" long-description:"Decodes a file strictly. On the first error it prints file, line, column, key and permitted range, and exits 2. Of a configuration to be sent it prints all errors and warnings and what differs from the version in force, and exits 1 if there are errors."`
	Do       doCommand       `command:"do" description:"run one command on a host" long-description:"Runs one command of the query and command language on a host; 'do help' lists the commands."`
	Shell    shellCommand    `command:"shell" description:"run commands on a host from standard input"`
	Load     loadCommand     `command:"load" description:"run an experiment" long-description:"Runs an open-loop load with faults on hosts and stand-ins in this process; exits 1 if a guarantee was violated."`
	Demo     demoCommand     `command:"demo" description:"run a whole deployment on loopback" long-description:"Starts stand-ins and 8 hosts on loopback ports, sends one request of each kind and runs until Ctrl-C; exits 1 if a guarantee was violated."`
	Soak     soakCommand     `command:"soak" description:"run hosts as processes under random faults" long-description:"Starts host processes against stand-ins of the users' platform, injects faults drawn from a seed and checks the guarantees; prints a line for each violation and then exits 1."`
	SoakHost soakHostCommand `command:"soak-host" hidden:"yes"`
	Trace    traceCommand    `command:"trace" description:"explain a request from the logs of hosts" long-description:"Merges the logs of many hosts by time and shows what happened to a request, a backend server or a host; lines that can't be parsed are counted."`
	Stand    standCommand    `command:"stand" description:"run the stand-ins of a deployment as a separate process" long-description:"Starts stand-in store and backend servers on loopback ports and writes settings files for hosts into a directory."`
}

// versionFlag prints the version when it is set.
type versionFlag func() error

func main() { os.Exit(run(os.Args[1:])) }

// run parses the command line, runs the command and returns the exit code.
func run(args []string) int {
	var c commands
	c.Version = func() error {
		fmt.Println("magnoliaworks", magnoliaworks.Version)
		return errVersion
	}
	parser := flags.NewParser(&c, flags.HelpFlag|flags.PassDoubleDash)
	parser.Name = "magnoliaworks"
	if slices.Contains(args, "--version") {
		return exitCode(c.Version())
	}
	_, err := parser.ParseArgs(args)
	return exitCode(err)
}

// errVersion ends the parsing of the command line once the version is printed.
var errVersion = errors.New("version printed")

// exitCode prints an error, or the help text, and returns the exit code.
func exitCode(err error) int {
	if err == nil || errors.Is(err, errVersion) {
		return exitOK
	}
	var flagError *flags.Error
	if errors.As(err, &flagError) {
		if flagError.Type == flags.ErrHelp {
			fmt.Println(flagError.Message)
			return exitOK
		}
		fmt.Fprintln(os.Stderr, flagError.Message)
		return exitUsage
	}
	fmt.Fprintln(os.Stderr, err)
	var usage usageError
	if errors.As(err, &usage) {
		return exitUsage
	}
	var config errConfig
	if errors.As(err, &config) {
		return config.code
	}
	return exitFailed
}

// usageError is an error in the command line or in a file that it names; it leads to exitUsage.
type usageError struct {
	err error
}

// Error implements error.
func (e usageError) Error() string { return e.err.Error() }

// Unwrap returns the wrapped error.
func (e usageError) Unwrap() error { return e.err }
