// Package hingecommand implements the swifthinge command line: a subcommand that
// runs an entry host, and subcommands with which operators validate and change
// the configuration and observe the system.
//
//  1. Results go to standard output and progress goes to standard error. An error
//     is a single line on standard error, with exit status 1.
//  2. Commands use the operators' HTTP API of any entry host and discover the
//     other hosts through it. Reads fail over to the next host.
//  3. A change is resent with the same change ID until a host responds. The log
//     returns the first result to a resend, so a change is never applied twice.
//     The change is based on the revision that the operator names and not on the
//     newest one. Otherwise it could silently revert a concurrent change.
//  4. Incomplete results name the hosts that did not respond.
package hingecommand

import (
	"context"
	"fmt"
	"io"
	"strings"
	"time"

	"github.com/rotisserie/eris"
	"github.com/urfave/cli/v3"

	"github.com/swifthinge/swifthinge/internal/config/hingeinventory"
	"github.com/swifthinge/swifthinge/internal/config/hingesettings"
	"github.com/swifthinge/swifthinge/internal/core/hingeids"
)

// Config holds the output streams and dependencies of the program.
type Config struct {
	Out io.Writer
	Err io.Writer
	Now func() time.Time
	// Serve runs an entry host until the context is canceled. It may be nil.
	Serve func(ctx context.Context, s ServeOptions) error
	// The following functions write keys and certificates. They may be nil.
	CreateAuthority       func(folder string, now time.Time) error
	RenewAuthority        func(folder string, now time.Time) error
	CreateHostCertificate func(folder string, host hingeids.HostID, now time.Time) error
	RenewHostCertificate  func(folder string, host hingeids.HostID, now time.Time) error
}

// ServeOptions holds the settings and the initial configuration of an entry host.
type ServeOptions struct {
	Settings hingesettings.Settings
	// Inventory and Rules are the contents of the files passed to serve. They are
	// empty unless HasConfiguration is set.
	Inventory        hingeinventory.Inventory
	Rules            hingeinventory.Rules
	HasConfiguration bool
}

type program struct {
	Config
	client *client
}

// Run runs the command line and returns the exit status of the process.
func Run(ctx context.Context, args []string, c Config) int {
	out := &errorWriter{
		w: c.Out,
	}
	c.Out = out
	p := &program{
		Config: c,
		client: newClient(),
	}
	defer p.client.close()
	root := p.root()
	prepare(root)
	err := root.Run(ctx, args)
	if err == nil {
		err = out.err
	}
	if err != nil {
		p.progressf("swifthinge: %s\n", oneLine(err))
		return 1
	}
	return 0
}

// errorWriter records the first write error, so that the exit status is 1 when
// the output is truncated.
type errorWriter struct {
	w   io.Writer
	err error
}

func (o *errorWriter) Write(b []byte) (int, error) {
	n, err := o.w.Write(b)
	if err != nil && o.err == nil {
		o.err = eris.Wrap(err, "write output")
	}
	return n, err
}

// printf writes results to standard output. Run checks the recorded write error.
func (p *program) printf(format string, args ...any) {
	_, _ = fmt.Fprintf(p.Out, format, args...)
}

// progressf writes progress and errors to standard error. Its write errors can't
// be reported anywhere.
func (p *program) progressf(format string, args ...any) {
	_, _ = fmt.Fprintf(p.Err, format, args...)
}

func (p *program) root() *cli.Command {
	return &cli.Command{
		Name:  "swifthinge",
		Usage: "route requests to language models in separate prefill and decode pools",
		Description: "Operators write an inventory and rules, check and apply them, and observe the running system.\n" +
			"Commands that query a running system need --entry, the operators' address of any entry host.",
		Commands: []*cli.Command{
			p.serveCommand(),
			p.checkCommand(),
			p.applyCommand(),
			p.getCommand(),
			p.historyCommand(),
			p.statusCommand(),
			p.explainCommand(),
			p.timelineCommand(),
			p.accountCommand(),
			p.drainCommand(),
			p.votersCommand(),
			p.keysCommand(),
		},
		Writer:    p.Out,
		ErrWriter: p.Err,
		Suggest:   true,
		Action: func(_ context.Context, c *cli.Command) error {
			if c.Args().Present() {
				return eris.Errorf("no such command: %s (see swifthinge --help)", c.Args().First())
			}
			return cli.ShowRootCommandHelp(c)
		},
	}
}

// prepare makes every command return its errors, so that only Run prints them
// (Rule 1), and reject unexpected arguments.
func prepare(c *cli.Command) {
	c.ExitErrHandler = func(context.Context, *cli.Command, error) {}
	c.OnUsageError = func(_ context.Context, c *cli.Command, err error, _ bool) error {
		return eris.Errorf("%v (see %s --help)", err, c.FullName())
	}
	for _, sub := range c.Commands {
		prepare(sub)
	}
	if c.Action == nil || c.ArgsUsage != "" || len(c.Commands) > 0 {
		return
	}
	action := c.Action
	c.Action = func(ctx context.Context, c *cli.Command) error {
		if c.Args().Present() {
			return eris.Errorf("unexpected argument %q (see %s --help)", c.Args().First(), c.FullName())
		}
		return action(ctx, c)
	}
}

func oneLine(err error) string {
	return strings.Join(strings.Fields(err.Error()), " ")
}

// Names of flags that several commands share.
const (
	entryFlagName   = "entry"
	jsonFlagName    = "json"
	timeoutFlagName = "timeout"
)

func entryFlag() cli.Flag {
	return &cli.StringSliceFlag{
		Name:     entryFlagName,
		Usage:    "operators' `ADDRESS` of an entry host; may be given several times",
		Sources:  cli.EnvVars("SWIFTHINGE_ENTRIES"),
		Required: true,
	}
}

func jsonFlag() cli.Flag {
	return &cli.BoolFlag{
		Name:  jsonFlagName,
		Usage: "write JSON",
	}
}

func timeoutFlag() cli.Flag {
	return &cli.DurationFlag{
		Name:  timeoutFlagName,
		Usage: "how long to retry until a host responds",
		Value: 15 * time.Second,
	}
}
