package hingecommand

import (
	"context"
	"os"
	"time"

	"github.com/rotisserie/eris"
	"github.com/urfave/cli/v3"

	"github.com/swifthinge/swifthinge/internal/observe/hingeaccount"
)

// accountSpan is the span of time of one row of the account, unless another is asked for.
const accountSpan = 2 * time.Second

func (p *program) accountCommand() *cli.Command {
	return &cli.Command{
		Name:      "account",
		Usage:     "tell from log files what callers got, and why some were late or not served",
		ArgsUsage: "FILE...",
		Description: "Each FILE holds the log lines of one process or of several. Requests are counted by route, by zone and by\n" +
			"the second of their end, then by the reason for which they weren't on time, with how full engines were.",
		Flags: []cli.Flag{
			&cli.DurationFlag{
				Name:  "every",
				Usage: "span of time of one row",
				Value: accountSpan,
			},
			&cli.StringFlag{
				Name:  "plot",
				Usage: "draw the outcomes over time into `FOLDER`",
			},
		},
		Action: p.account,
	}
}

func (p *program) account(_ context.Context, c *cli.Command) error {
	every := c.Duration("every")
	if !c.Args().Present() || every <= 0 {
		return eris.New("account: want at least one log file, and a span of time above zero")
	}
	a := hingeaccount.New()
	for _, name := range c.Args().Slice() {
		if err := readAccount(a, name); err != nil {
			return err
		}
	}
	if folder := c.String("plot"); folder != "" {
		if err := a.Plot(folder, every); err != nil {
			return err
		}
	}
	return a.Write(p.Out, every)
}

func readAccount(a *hingeaccount.Account, name string) error {
	f, err := os.Open(name)
	if err != nil {
		return eris.Wrap(err, "log file")
	}
	defer func() {
		// It was only read.
		_ = f.Close()
	}()
	return a.Read(f)
}
