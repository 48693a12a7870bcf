package hingecommand

import (
	"context"

	"github.com/rotisserie/eris"
	"github.com/urfave/cli/v3"

	"github.com/swifthinge/swifthinge/internal/core/hingeids"
	"github.com/swifthinge/swifthinge/internal/operate/hingeadmin"
)

const (
	admitFlagName  = "admit"
	removeFlagName = "remove"
)

func (p *program) votersCommand() *cli.Command {
	return &cli.Command{
		Name:  "voters",
		Usage: "replace a permanently lost entry host that has a disk",
		Description: "A host that restarts with the same name, with its disk or an empty one, needs no command. To replace a\n" +
			"permanently lost host, start its replacement with a data folder, --admit it, wait until status shows that it\n" +
			"votes, and only then --remove the lost host.",
		Flags: []cli.Flag{
			entryFlag(),
			&cli.StringFlag{
				Name:  admitFlagName,
				Usage: "the `HOST` to admit as a voter",
			},
			&cli.StringFlag{
				Name:  removeFlagName,
				Usage: "the `HOST` to remove permanently",
			},
			jsonFlag(),
		},
		Action: p.voters,
	}
}

func (p *program) voters(_ context.Context, c *cli.Command) error {
	v := hingeadmin.VoterChange{
		Admit:  hingeids.HostID(c.String(admitFlagName)),
		Remove: hingeids.HostID(c.String(removeFlagName)),
	}
	if (v.Admit == "") == (v.Remove == "") {
		return eris.New("exactly one of --admit and --remove is required")
	}
	entries := c.StringSlice(entryFlagName)
	if len(entries) == 0 {
		return eris.New("--entry is required, with the address of any entry host")
	}
	var answer hingeadmin.VoterChange
	if err := p.client.post(entries[0], "/v1/voters", v, &answer); err != nil {
		return err
	}
	if c.Bool(jsonFlagName) {
		return p.writeJSON(answer)
	}
	if v.Admit != "" {
		p.printf("%s is admitted; status shows when it votes\n", v.Admit)
		return nil
	}
	p.printf("%s is removed\n", v.Remove)
	return nil
}
