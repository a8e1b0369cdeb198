// Package ctl implements tillerctl, the command-line tool of operators and callers.
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

// Env holds the streams, clients, clock and randomness that a command uses.
type Env struct {
	Context context.Context
	Stdout  io.Writer
	Stderr  io.Writer
	// Terminal reports whether Stderr is a terminal that can show a progress bar.
	Terminal bool
	Output   Output
	// Operator calls the listener for operators, Caller the listener for callers.
	Operator *Client
	Caller   *Client
	// Now is the clock.
	Now func() time.Time
	// After returns a channel that fires after a duration; it paces polling.
	After func(time.Duration) <-chan time.Time
	// Random is the source of secrets and ids.
	Random io.Reader
	// model describes the commands and flags, for completion.
	model *kong.Application
}

// Options are the flags that every command takes.
type Options struct {
	Instance       []string      `help:"Address of an instance, ip:port: its operators' address, or for batch commands its callers' address. May be given several times; instances are tried in order." env:"TILLER_INSTANCE" placeholder:"IP:PORT"`
	OperatorSecret string        `help:"Operator's secret. Prefer the environment variable, since other users can read command lines." env:"TILLER_OPERATOR_SECRET" placeholder:"SECRET"`
	CallerSecret   string        `help:"Caller's secret, for batch commands." env:"TILLER_CALLER_SECRET" placeholder:"SECRET"`
	CA             string        `help:"File of the certificate authorities that signed the certificates of the instances." env:"TILLER_CA" placeholder:"FILE"`
	Cert           string        `help:"File of the operator's certificate." env:"TILLER_CERT" placeholder:"FILE"`
	CertKey        string        `help:"File of the key of the operator's certificate." env:"TILLER_CERT_KEY" placeholder:"FILE"`
	Plaintext      bool          `help:"Connect without TLS to an address that is not loopback. Secrets are then sent unencrypted."`
	Output         Output        `help:"Output format: table, json or yaml." enum:"table,json,yaml" default:"table" short:"o"`
	Timeout        time.Duration `help:"Time limit for the command." default:"60s"`
}

// Commands holds the commands and flags of tillerctl.
type Commands struct {
	Options

	Config     configCommands    `cmd:"" help:"Check, compare and publish the fleet configuration."`
	Org        orgCommands       `cmd:"" help:"Show organisations."`
	Key        keyCommands       `cmd:"" help:"Create and withdraw callers' keys."`
	Batch      batchCommands     `cmd:"" help:"Submit and track batch jobs, as a caller."`
	Status     statusCommand     `cmd:"" help:"Show the version in force at each instance, unreachable instances and late jobs."`
	Instances  instancesCommand  `cmd:"" help:"List the entry instances."`
	Targets    targetsCommand    `cmd:"" help:"List the targets."`
	Drain      drainCommand      `cmd:"" help:"Shut down one instance without interrupting calls."`
	Burn       burnCommand       `cmd:"" help:"Show the service-level burn."`
	Explain    explainCommand    `cmd:"" help:"Explain from logs why a request, job or item ended as it did."`
	Logs       logsCommands      `cmd:"" help:"Count log lines."`
	Settings   settingsCommands  `cmd:"" help:"Check settings of tillerd."`
	Completion completionCommand `cmd:"" help:"Print a completion script for a shell."`
}

// Process holds what main passes to Run.
type Process struct {
	Context        context.Context
	Stdout, Stderr io.Writer
	Terminal       bool
}

const description = `Operates a merlintiller fleet.

Exit codes: 0 done; 1 failed, nothing changed; 2 bad input; 3 conflict, another change came first;
4 the answer was lost and the command may have taken effect (run it again, it does nothing twice);
5 no instance could carry it out, nothing changed.`

// Run executes one command line and returns the exit code.
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
		// A model that kong rejects is a programming error.
		panic(err)
	}
	return runParsed(process, parser, &commands, args)
}

// exitRequest is the panic value that returns control to Run when kong, after printing
// help, asks for the process to exit.
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
	urls, err := baseURLsOf(options)
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
		Operator: &Client{BaseURLs: urls, Secret: options.OperatorSecret, HTTP: client},
		Caller:   &Client{BaseURLs: urls, Secret: options.CallerSecret, HTTP: client},
		Now:      time.Now,
		After:    time.After,
		Random:   rand.Reader,
	}, nil
}
