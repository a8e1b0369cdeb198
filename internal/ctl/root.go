// Package ctl is the operators' and callers' command-line tool, tillerctl.
//
// Every command says what it did and what to do next, and can be run again
// after a lost answer without doing anything twice.
package ctl

import (
	"context"
	"crypto/rand"
	"fmt"
	"io"
	"net/http"
	"time"

	"github.com/alecthomas/kong"
)

// Env is what a command works with.
type Env struct {
	Context context.Context
	Stdout  io.Writer
	Stderr  io.Writer
	// Terminal says that Stderr is a terminal that can show progress.
	Terminal bool
	Output   Output
	// Operator calls the operators' listeners, Caller the callers'.
	Operator *Client
	Caller   *Client
	// Now is the clock.
	Now func() time.Time
	// After waits between two looks at a job.
	After func(time.Duration) <-chan time.Time
	// Random is the source of secrets and ids.
	Random io.Reader
	// model is the command line itself, for completion.
	model *kong.Application
}

// Options are the flags that every command takes.
type Options struct {
	Instance       []string      `help:"Address of an instance, ip:port: its operators' address, or for batch commands its callers' address. May be given several times; they are tried in turn." env:"TILLER_INSTANCE" placeholder:"IP:PORT"`
	OperatorSecret string        `help:"Operator's secret. Better set in the environment, since others can read command lines." env:"TILLER_OPERATOR_SECRET" placeholder:"SECRET"`
	CallerSecret   string        `help:"Caller's secret, for batch commands." env:"TILLER_CALLER_SECRET" placeholder:"SECRET"`
	CA             string        `help:"File of the authorities that instances' certificates come from." env:"TILLER_CA" placeholder:"FILE"`
	Cert           string        `help:"File of the operator's certificate." env:"TILLER_CERT" placeholder:"FILE"`
	CertKey        string        `help:"File of the key of the operator's certificate." env:"TILLER_CERT_KEY" placeholder:"FILE"`
	Plaintext      bool          `help:"Talk without TLS to an address that is not loopback. Secrets then cross the network readable."`
	Output         Output        `help:"Form of the data: table, json or yaml." enum:"table,json,yaml" default:"table" short:"o"`
	Timeout        time.Duration `help:"Longest time for the command." default:"60s"`
}

// Commands is the command line of tillerctl.
type Commands struct {
	Options

	Config     configCommands    `cmd:"" help:"Check, compare and publish the fleet configuration."`
	Org        orgCommands       `cmd:"" help:"Show organisations."`
	Key        keyCommands       `cmd:"" help:"Create and withdraw callers' keys."`
	Batch      batchCommands     `cmd:"" help:"Submit and follow batch jobs, as a caller."`
	Status     statusCommand     `cmd:"" help:"Show what is in force where, who is cut off, and what is late."`
	Instances  instancesCommand  `cmd:"" help:"List the entry instances."`
	Targets    targetsCommand    `cmd:"" help:"List the targets."`
	Drain      drainCommand      `cmd:"" help:"Make one instance leave without cutting a call."`
	Burn       burnCommand       `cmd:"" help:"Show the service-level burn."`
	Explain    explainCommand    `cmd:"" help:"Tell from logs why a request, job or item ended as it did."`
	Logs       logsCommands      `cmd:"" help:"Count what logs tell."`
	Settings   settingsCommands  `cmd:"" help:"Check settings of tillerd."`
	Completion completionCommand `cmd:"" help:"Print a completion script for a shell."`
}

// Process is what main hands over.
type Process struct {
	Context        context.Context
	Stdout, Stderr io.Writer
	Terminal       bool
}

const description = `Operates a merlintiller fleet.

Exit codes: 0 done; 1 failed, nothing changed; 2 bad input; 3 conflict, another change came first;
4 the answer was lost and the command may have taken effect (run it again, it does nothing twice);
5 no instance could do it now, nothing changed.`

// Run carries out one command line and gives the exit code.
func Run(process Process, args []string) ExitCode {
	var commands Commands
	parser, err := kong.New(&commands,
		kong.Name("tillerctl"),
		kong.Description(description),
		kong.Writers(process.Stdout, process.Stderr),
		kong.Exit(func(code int) { panic(exitRequest(code)) }),
		kong.ConfigureHelp(kong.HelpOptions{Compact: true, WrapUpperBound: 100}),
	)
	if err != nil {
		// The command line is part of the program.
		panic(err)
	}
	return runParsed(process, parser, &commands, args)
}

// exitRequest is how kong, whose help ends the process, comes back to Run.
type exitRequest int

func runParsed(process Process, parser *kong.Kong, commands *Commands, args []string) (code ExitCode) {
	defer func() {
		switch value := recover().(type) {
		case nil:
		case exitRequest:
			code = ExitCode(value)
		default:
			panic(value)
		}
	}()
	parsed, err := parser.Parse(args)
	if err != nil {
		fmt.Fprintf(process.Stderr, "tillerctl: %v\nnext: see tillerctl --help\n", err)
		return ExitBadInput
	}
	ctx, cancel := context.WithTimeout(process.Context, commands.Timeout)
	defer cancel()
	env, err := newEnv(ctx, process, commands.Options)
	if err == nil {
		env.model = parser.Model
		err = parsed.Run(env)
	}
	if err == nil {
		return ExitOK
	}
	return report(process.Stderr, asFailure(err))
}

func report(w io.Writer, failure *Failure) ExitCode {
	fmt.Fprintln(w, "tillerctl: "+failure.Message)
	if failure.Next != "" {
		fmt.Fprintln(w, "next: "+failure.Next)
	}
	return failure.Exit
}

func newEnv(ctx context.Context, process Process, options Options) (*Env, error) {
	transport, err := newTransport(options)
	if err != nil {
		return nil, err
	}
	bases, err := basesOf(options)
	if err != nil {
		return nil, err
	}
	client := &http.Client{Transport: transport}
	return &Env{
		Context:  ctx,
		Stdout:   process.Stdout,
		Stderr:   process.Stderr,
		Terminal: process.Terminal,
		Output:   options.Output,
		Operator: &Client{Bases: bases, Secret: options.OperatorSecret, HTTP: client},
		Caller:   &Client{Bases: bases, Secret: options.CallerSecret, HTTP: client},
		Now:      time.Now,
		After:    time.After,
		Random:   rand.Reader,
	}, nil
}
