package hingecommand

import (
	"context"
	"time"

	"github.com/rotisserie/eris"
	"github.com/urfave/cli/v3"

	"github.com/swifthinge/swifthinge/internal/operate/hingeadmin"
)

func (p *program) drainCommand() *cli.Command {
	return &cli.Command{
		Name:  "drain",
		Usage: "stop new requests at an entry host and let it finish those in progress",
		Description: "The host leaves the balancer, refuses new requests with a retry time, and finishes every request in\n" +
			"progress. Its process keeps responding to operators until SIGTERM, which also drains. Pass --entry once,\n" +
			"with the host to drain.",
		Flags: []cli.Flag{
			entryFlag(),
			&cli.DurationFlag{
				Name:  "wait",
				Usage: "how long to wait for the last request; 0 to not wait",
				Value: 15 * time.Minute,
			},
			jsonFlag(),
		},
		Action: p.drain,
	}
}

func (p *program) drain(ctx context.Context, c *cli.Command) error {
	entries := c.StringSlice(entryFlagName)
	if len(entries) != 1 {
		return eris.Errorf("want --entry once, the host to drain, not %d times", len(entries))
	}
	var answer hingeadmin.DrainStatus
	if err := p.client.post(entries[0], "/v1/drain", nil, &answer); err != nil {
		return err
	}
	d := drainResult{
		InProgress: answer.InProgress,
	}
	if wait := c.Duration("wait"); wait > 0 {
		d = p.waitDrained(ctx, entries[0], d, wait)
		if d.InProgress > 0 && !d.Ended {
			return eris.Errorf("still in progress at %s: %d requests", entries[0], d.InProgress)
		}
	}
	if c.Bool(jsonFlagName) {
		return p.writeJSON(d)
	}
	if d.Ended {
		p.printf("ended; in progress when last asked: %d\n", d.InProgress)
		return nil
	}
	p.printf("draining; in progress: %d\n", d.InProgress)
	return nil
}

type drainResult struct {
	// InProgress is the last reported number of requests. If the process ended
	// later, the timeline shows whether they finished or the process was killed.
	InProgress int  `json:"inProgress"`
	Ended      bool `json:"ended"`
}

// waitDrained polls a host until no request is in progress or the host refuses
// connections, which means that its process has ended. Other errors are retried.
func (p *program) waitDrained(ctx context.Context, address string, d drainResult, wait time.Duration) drainResult {
	ctx, cancel := context.WithTimeout(ctx, wait)
	defer cancel()
	lastInProgress := -1
	for d.InProgress > 0 {
		if d.InProgress != lastInProgress {
			p.progressf("in progress: %d\n", d.InProgress)
			lastInProgress = d.InProgress
		}
		if !sleep(ctx, statusPollInterval) {
			break
		}
		var s hingeadmin.Status
		err := p.client.get(address, "/v1/status", &s)
		if err == nil {
			d.InProgress = s.InProgress
		} else if isConnectionRefused(err) {
			d.Ended = true
			break
		}
	}
	return d
}
