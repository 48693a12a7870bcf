// Package hingecommand is the swifthinge program: one subcommand to serve, and
// others with which operators check and change the configuration and see what
// the system does.
//
//  1. What a script reads goes to standard output, progress to standard error.
//     An error is one line on standard error, and the exit status is 1.
//  2. Commands talk HTTP to the operators' address of any entry host, and find
//     the others through it. Reads go to the next host when one does not answer.
//  3. A change is sent again, with the same change id, until some host answers:
//     the log gives a resend its first answer, so this can't apply it twice.
//     Its basis is the revision that the operator names, never the newest one,
//     or a change made meanwhile by someone else would be undone without notice.
//  4. An answer that is not whole says so: hosts that did not answer are named.
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

// Config is what the program is joined from.
type Config struct {
	Out io.Writer
	Err io.Writer
	Now func() time.Time
	// Serve runs an entry host until the context ends.
	Serve func(ctx context.Context, s Start) error
	// These write keys and certificates.
	MakeAuthority  func(folder string, now time.Time) error
	RenewAuthority func(folder string, now time.Time) error
	MakeHost       func(folder string, host hingeids.HostID, now time.Time) error
	Renew          func(folder string, host hingeids.HostID, now time.Time) error
}

// Start is what an entry host starts from.
type Start struct {
	Settings hingesettings.Settings
	// Inventory and Rules are those of the files that serve was given; Given
	// says whether it was.
	Inventory hingeinventory.Inventory
	Rules     hingeinventory.Rules
	Given     bool
}

// program is one run of the program.
type program struct {
	Config
	client *client
}

// Run runs the program and gives its exit status.
func Run(ctx context.Context, args []string, c Config) int {
	out := &output{
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

// output remembers that something could not be written: a script that reads a
// cut output must see the exit status 1.
type output struct {
	w   io.Writer
	err error
}

func (o *output) Write(b []byte) (int, error) {
	n, err := o.w.Write(b)
	if err != nil && o.err == nil {
		o.err = eris.Wrap(err, "output")
	}
	return n, err
}

// printf writes what was asked for; output keeps its error.
func (p *program) printf(format string, args ...any) {
	_, _ = fmt.Fprintf(p.Out, format, args...)
}

// progressf writes progress and errors. Where that fails there is nowhere left
// to say so.
func (p *program) progressf(format string, args ...any) {
	_, _ = fmt.Fprintf(p.Err, format, args...)
}

func (p *program) root() *cli.Command {
	return &cli.Command{
		Name:  "swifthinge",
		Usage: "route requests to language models in separate prefill and decode pools",
		Description: "Operators write an inventory and rules, check them, apply them, and see them in force.\n" +
			"Commands that ask a running system take --entry, the operators' address of any entry host.",
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

// prepare makes every command return its errors, so that Run alone prints
// them (Rule 1), and refuse arguments that it does not take.
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

// Flags that several commands share.

const (
	entryName   = "entry"
	jsonName    = "json"
	timeoutName = "timeout"
)

func entryFlag() cli.Flag {
	return &cli.StringSliceFlag{
		Name:     entryName,
		Usage:    "operators' `ADDRESS` of an entry host; may be given several times",
		Sources:  cli.EnvVars("SWIFTHINGE_ENTRIES"),
		Required: true,
	}
}

func jsonFlag() cli.Flag {
	return &cli.BoolFlag{
		Name:  jsonName,
		Usage: "write JSON",
	}
}

func timeoutFlag() cli.Flag {
	return &cli.DurationFlag{
		Name:  timeoutName,
		Usage: "how long to try for an answer",
		Value: 15 * time.Second,
	}
}
