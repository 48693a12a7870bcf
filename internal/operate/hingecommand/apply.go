package hingecommand

import (
	"context"
	"errors"
	"fmt"
	"maps"
	"slices"
	"strings"
	"time"

	"github.com/rotisserie/eris"
	"github.com/urfave/cli/v3"
	"github.com/valyala/fasthttp"

	"github.com/swifthinge/swifthinge/internal/config/hingeinventory"
	"github.com/swifthinge/swifthinge/internal/core/hingeids"
	"github.com/swifthinge/swifthinge/internal/core/hingeverdict"
	"github.com/swifthinge/swifthinge/internal/operate/hingeadmin"
)

func (p *program) applyCommand() *cli.Command {
	return &cli.Command{
		Name:  "apply",
		Usage: "change the configuration to the contents of the inventory and rules files",
		Description: "The files must be based on the revision that --expect names; swifthinge get prints it. If another change\n" +
			"was accepted since, this one is refused and the accepted one is named. If a response is lost, the change is\n" +
			"resent with the same ID, which never applies it twice. Waits until every entry host applies the revision,\n" +
			"and names those that don't.",
		Flags: []cli.Flag{
			entryFlag(),
			inventoryFlag(true),
			rulesFlag(true),
			&cli.Uint64Flag{
				Name:     "expect",
				Usage:    "`REVISION` that the files are based on; 0 for the first configuration",
				Required: true,
			},
			&cli.StringFlag{
				Name:     "operator",
				Usage:    "operator `NAME` to record in the history",
				Sources:  cli.EnvVars("SWIFTHINGE_OPERATOR"),
				Required: true,
			},
			&cli.StringFlag{
				Name:  "change-id",
				Usage: "`ID` of the change of an earlier run that got no response, to resend it",
			},
			&cli.BoolFlag{
				Name:  "dry-run",
				Usage: "print the changes without applying them",
			},
			&cli.DurationFlag{
				Name:  "wait",
				Usage: "how long to wait until all entry hosts apply the revision; 0 to not wait",
				Value: 30 * time.Second,
			},
			timeoutFlag(),
			jsonFlag(),
		},
		Action: p.apply,
	}
}

type applyResult struct {
	hingeadmin.AcceptedChange
	InForce bool `json:"inForce"`
	// Lagging lists the hosts that are not known to apply the revision.
	Lagging []string `json:"lagging"`
}

func (p *program) apply(ctx context.Context, c *cli.Command) error {
	inv, rules, problems, err := readFiles(c.String(inventoryFlagName), c.String(rulesFlagName))
	if err != nil {
		return err
	}
	if len(problems) > 0 {
		return p.report(problems, c.Bool(jsonFlagName))
	}
	entries := c.StringSlice(entryFlagName)
	b, err := p.baseConfiguration(ctx, c, entries)
	if err != nil {
		return err
	}
	if b.accepted != nil {
		return p.reportRollout(ctx, c, *b.accepted, entries)
	}
	change := makeChange(c, b.Items, hingeinventory.Split(&inv, &rules))
	if len(change.Puts)+len(change.Deletes) == 0 {
		p.progressf("nothing to change: revision %d is what the files say\n", b.Revision)
		return nil
	}
	if c.Bool("dry-run") {
		return p.printChange(change, c.Bool(jsonFlagName))
	}
	accepted, address, err := p.send(ctx, change, entries, c.Duration(timeoutFlagName))
	if err != nil {
		return err
	}
	return p.reportRollout(ctx, c, accepted, append([]string{address}, entries...))
}

func (p *program) printChange(change hingeadmin.Change, asJSON bool) error {
	if asJSON {
		return p.writeJSON(change)
	}
	for _, path := range slices.Sorted(maps.Keys(change.Puts)) {
		p.printf("put    %s\n", path)
	}
	for _, path := range change.Deletes {
		p.printf("delete %s\n", path)
	}
	return nil
}

// resendInterval is the delay between resends. It gives a group without a leader
// time to elect one.
const resendInterval = 500 * time.Millisecond

// send sends a change until a host responds (Rule 3). It returns the accepted
// change and the address of the host that responded.
func (p *program) send(ctx context.Context, change hingeadmin.Change, entries []string, timeout time.Duration) (hingeadmin.AcceptedChange, string, error) {
	ctx, cancel := context.WithTimeout(ctx, timeout)
	defer cancel()
	mayBeAccepted := false
	for i := 0; ; i++ {
		address := entries[i%len(entries)]
		var accepted hingeadmin.AcceptedChange
		err := p.client.post(address, "/v1/changes", change, &accepted)
		if err == nil {
			return accepted, address, nil
		}
		if isFinal(err) {
			return hingeadmin.AcceptedChange{}, "", explainRefusal(err)
		}
		mayBeAccepted = mayBeAccepted || !provesNotAccepted(err)
		p.progressf("%s; sending it again\n", oneLine(err))
		if !sleep(ctx, resendInterval) {
			return hingeadmin.AcceptedChange{}, "", sendTimeoutError(change, mayBeAccepted, err)
		}
	}
}

func provesNotAccepted(err error) bool {
	var r *refusedError
	if errors.As(err, &r) {
		return r.Verdict == hingeverdict.NotRun.String()
	}
	// Without a connection, no request was sent.
	return errors.Is(err, fasthttp.ErrDialTimeout) || isConnectionRefused(err)
}

func sendTimeoutError(change hingeadmin.Change, mayBeAccepted bool, err error) error {
	if !mayBeAccepted {
		return eris.Errorf("the change was not accepted: %v", err)
	}
	return eris.Errorf("the change may have been accepted; run the same command again with --change-id %s to find out: %v",
		change.ChangeID, err)
}

func explainRefusal(err error) error {
	var r *refusedError
	if !errors.As(err, &r) {
		return err
	}
	if r.Winner != nil && r.Code == hingeverdict.CodeRevisionConflict {
		return eris.Errorf("refused: %s made revision %d first (change %s); get it, put your change into it and apply with --expect %d",
			r.Winner.Operator, r.Winner.Revision, r.Winner.ChangeID, r.Winner.Revision)
	}
	if len(r.Problems) > 0 {
		var lines []string
		for _, x := range r.Problems {
			lines = append(lines, x.String())
		}
		return eris.Errorf("refused: %s", strings.Join(lines, " | "))
	}
	return eris.Errorf("refused: %v", err)
}

const statusPollInterval = 250 * time.Millisecond

// reportRollout prints the accepted revision, waits up to --wait until every host
// applies it, and reports the hosts that don't.
func (p *program) reportRollout(ctx context.Context, c *cli.Command, accepted hingeadmin.AcceptedChange, entries []string) error {
	asJSON := c.Bool(jsonFlagName)
	if !asJSON {
		p.printf("revision %d (change %s)\n", accepted.Revision, accepted.ChangeID)
	}
	lagging := []string{"not asked"}
	if wait := c.Duration("wait"); wait > 0 {
		lagging = p.waitInForce(ctx, accepted.Revision, entries, wait)
	} else if !asJSON {
		return nil
	}
	if asJSON {
		if err := p.writeJSON(applyResult{
			AcceptedChange: accepted,
			InForce:        len(lagging) == 0,
			Lagging:        lagging,
		}); err != nil {
			return err
		}
	}
	if len(lagging) > 0 && c.Duration("wait") > 0 {
		return eris.Errorf("revision %d is accepted but not yet in force at: %s", accepted.Revision, strings.Join(lagging, ", "))
	}
	if !asJSON {
		p.printf("in force everywhere\n")
	}
	return nil
}

func (p *program) waitInForce(ctx context.Context, revision hingeids.Revision, entries []string, wait time.Duration) []string {
	ctx, cancel := context.WithTimeout(ctx, wait)
	defer cancel()
	lagging := []string{"unknown: no entry host told"}
	lastProgress := ""
	for {
		var s hingeadmin.Status
		if _, err := p.client.getAny(ctx, entries, "/v1/status", &s); err == nil && len(s.Hosts) > 0 {
			lagging = laggingHosts(s, revision)
			progress := fmt.Sprintf("in force at %d of %d entry hosts", len(s.Hosts)-len(lagging), len(s.Hosts))
			if progress != lastProgress {
				p.progressf("%v\n", progress)
				lastProgress = progress
			}
		}
		if len(lagging) == 0 || !sleep(ctx, statusPollInterval) {
			return lagging
		}
	}
}

// laggingHosts describes the hosts whose last reported revision is older. A
// partitioned host is among them, because it keeps its old configuration.
func laggingHosts(s hingeadmin.Status, revision hingeids.Revision) []string {
	lagging := []string{}
	for _, h := range s.Hosts {
		if h.Revision >= revision {
			continue
		}
		text := fmt.Sprintf("%s (revision %d", h.Host, h.Revision)
		if !h.Alive {
			text += ", silent"
			if !h.SilentSince.IsZero() {
				text += " since " + h.SilentSince.UTC().Format(time.RFC3339)
			}
		}
		lagging = append(lagging, text+")")
	}
	return lagging
}
