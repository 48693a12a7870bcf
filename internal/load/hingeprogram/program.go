// Package hingeprogram implements the command line of swifthinge-load: the
// subcommand run sends load to entry hosts, and model compares placement
// policies on the engine model.
//
// Progress and errors are written to standard error, the summary to standard
// output. The exit status is 1 if a request was lost or ran twice under one key,
// if an answer was truncated, duplicated or misdelivered, or if the run failed.
package hingeprogram

import (
	"context"
	"fmt"
	"io"
	"strings"
	"time"

	"github.com/rotisserie/eris"
	"github.com/urfave/cli/v3"
)

type program struct {
	out, err io.Writer
	now      func() time.Time
	command  string
}

// Run executes the command line args, with the program name first, and returns
// the exit status. The report is dated by now.
func Run(ctx context.Context, args []string, out, errors io.Writer, now func() time.Time) int {
	p := &program{
		out:     out,
		err:     errors,
		now:     now,
		command: strings.Join(append([]string{"swifthinge-load"}, args[1:]...), " "),
	}
	if err := p.root().Run(ctx, args); err != nil {
		p.progressf("swifthinge-load: %s\n", strings.ReplaceAll(eris.ToString(err, false), "\n", " "))
		return 1
	}
	return 0
}

func (p *program) root() *cli.Command {
	return &cli.Command{
		Name:      "swifthinge-load",
		Usage:     "sends example workloads to entry hosts and verifies every answer",
		Writer:    p.out,
		ErrWriter: p.err,
		// Run returns the exit status; the library's default handler calls os.Exit.
		ExitErrHandler: func(context.Context, *cli.Command, error) {},
		OnUsageError:   usageError,
		Commands: []*cli.Command{
			p.loadCommand(),
			p.modelCommand(),
		},
	}
}

// usageError reports a wrong argument as an error of one line. The library's
// default writes the help text to standard output, which scripts parse.
func usageError(_ context.Context, _ *cli.Command, err error, _ bool) error {
	return err
}

// printf writes to standard output. Write errors are ignored, as in progressf.
func (p *program) printf(format string, args ...any) {
	_, _ = fmt.Fprintf(p.out, format, args...)
}

func (p *program) progressf(format string, args ...any) {
	_, _ = fmt.Fprintf(p.err, format, args...)
}

func outFlag() cli.Flag {
	return &cli.StringFlag{
		Name:  "out",
		Usage: "folder for report.md, report.json and the plots",
		Value: "load-report",
	}
}
