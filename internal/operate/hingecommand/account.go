package hingecommand

import (
	"context"
	"os"
	"time"

	"github.com/rotisserie/eris"
	"github.com/urfave/cli/v3"

	"github.com/swifthinge/swifthinge/internal/observe/hingeaccount"
)

const defaultAccountInterval = 2 * time.Second

func (p *program) accountCommand() *cli.Command {
	return &cli.Command{
		Name:      "account",
		Usage:     "summarize request outcomes from log files, with the reasons for late and failed requests",
		ArgsUsage: "FILE...",
		Description: "Each FILE contains the log lines of one or more processes. Requests are counted by route, by zone and by\n" +
			"completion time, then by the reason why they were late, with the utilization of engines.",
		Flags: []cli.Flag{
			&cli.DurationFlag{
				Name:  "every",
				Usage: "time interval of a row",
				Value: defaultAccountInterval,
			},
			&cli.StringFlag{
				Name:  "plot",
				Usage: "write plots of the outcomes over time to `FOLDER`",
			},
		},
		Action: p.account,
	}
}

func (p *program) account(_ context.Context, c *cli.Command) error {
	interval := c.Duration("every")
	if !c.Args().Present() || interval <= 0 {
		return eris.New("account: needs at least one log file and a positive --every")
	}
	a := hingeaccount.New()
	for _, name := range c.Args().Slice() {
		if err := readAccount(a, name); err != nil {
			return err
		}
	}
	if folder := c.String("plot"); folder != "" {
		if err := a.Plot(folder, interval); err != nil {
			return err
		}
	}
	return a.Write(p.Out, interval)
}

func readAccount(a *hingeaccount.Account, name string) error {
	f, err := os.Open(name)
	if err != nil {
		return eris.Wrap(err, "open log file")
	}
	defer func() {
		// The file is only read, so closing it can't lose data.
		_ = f.Close()
	}()
	return a.Read(f)
}
