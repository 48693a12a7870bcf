package hingecommand

import (
	"context"
	"fmt"
	"maps"
	"os"
	"path/filepath"
	"slices"
	"strings"
	"text/tabwriter"
	"time"

	"github.com/rotisserie/eris"
	"github.com/urfave/cli/v3"

	"github.com/swifthinge/swifthinge/internal/config/hingeinventory"
	"github.com/swifthinge/swifthinge/internal/operate/hingeadmin"
)

func (p *program) getCommand() *cli.Command {
	return &cli.Command{
		Name:      "get",
		Usage:     "show the current configuration or one of its items",
		ArgsUsage: "[PATH]",
		Description: "With --folder, writes inventory.toml and rules.toml, which can be edited and applied with --expect and the\n" +
			"printed revision. Entries are sorted by name; comments of the applied files are not preserved.",
		Flags: []cli.Flag{
			entryFlag(),
			&cli.Uint64Flag{
				Name:  "revision",
				Usage: "an older `REVISION`, if the host still retains it",
			},
			&cli.StringFlag{
				Name:  "folder",
				Usage: "write the files to `FOLDER`",
			},
			jsonFlag(),
		},
		Action: p.get,
	}
}

func (p *program) get(ctx context.Context, c *cli.Command) error {
	var s hingeadmin.Snapshot
	path := fmt.Sprintf("/v1/configuration?revision=%d", c.Uint64("revision"))
	if _, err := p.client.getAny(ctx, c.StringSlice(entryFlagName), path, &s); err != nil {
		return err
	}
	if item := c.Args().First(); item != "" {
		document, ok := s.Items[item]
		if !ok {
			return eris.Errorf("revision %d has no item %q", s.Revision, item)
		}
		s.Items = map[string]string{
			item: document,
		}
	}
	if c.Bool(jsonFlagName) {
		return p.writeJSON(s)
	}
	if folder := c.String("folder"); folder != "" {
		return p.writeFiles(folder, s)
	}
	p.printf("# revision %d\n", s.Revision)
	for _, item := range slices.Sorted(maps.Keys(s.Items)) {
		p.printf("\n# %s\n%s", item, s.Items[item])
	}
	return nil
}

func (p *program) writeFiles(folder string, s hingeadmin.Snapshot) error {
	inv, rules, problems := hingeinventory.Join(hingeadmin.ToItems(s.Items))
	if len(problems) > 0 {
		return p.report(problems, false)
	}
	inventoryFile, rulesFile := hingeinventory.Format(&inv, &rules)
	if err := os.MkdirAll(folder, 0o755); err != nil {
		return eris.Wrap(err, "create output folder")
	}
	head := fmt.Sprintf("# Revision %d. Apply with --expect %d.\n\n", s.Revision, s.Revision)
	if err := os.WriteFile(filepath.Join(folder, "inventory.toml"), append([]byte(head), inventoryFile...), 0o644); err != nil {
		return eris.Wrap(err, "write inventory")
	}
	if err := os.WriteFile(filepath.Join(folder, "rules.toml"), append([]byte(head), rulesFile...), 0o644); err != nil {
		return eris.Wrap(err, "write rules")
	}
	p.printf("revision %d\n", s.Revision)
	return nil
}

func (p *program) historyCommand() *cli.Command {
	return &cli.Command{
		Name:  "history",
		Usage: "list accepted changes, newest first",
		Flags: []cli.Flag{
			entryFlag(),
			jsonFlag(),
		},
		Action: func(ctx context.Context, c *cli.Command) error {
			var h hingeadmin.History
			if _, err := p.client.getAny(ctx, c.StringSlice(entryFlagName), "/v1/history", &h); err != nil {
				return err
			}
			if c.Bool(jsonFlagName) {
				return p.writeJSON(h)
			}
			return p.table(func(row func(cells ...any)) {
				row("REVISION", "AT", "OPERATOR", "CHANGE", "ITEMS")
				for _, x := range h.Changes {
					row(x.Revision, x.At.UTC().Format(time.RFC3339), x.Operator, x.ChangeID, formatPaths(x.Paths))
				}
			})
		},
	}
}

const maxShownPaths = 4

func formatPaths(paths []string) string {
	if len(paths) <= maxShownPaths {
		return strings.Join(paths, " ")
	}
	return fmt.Sprintf("%s and %d more", strings.Join(paths[:maxShownPaths], " "), len(paths)-maxShownPaths)
}

func (p *program) statusCommand() *cli.Command {
	return &cli.Command{
		Name:  "status",
		Usage: "show entry hosts with their applied revisions, and backend servers",
		Description: "Shows the cluster view of the entry host that responds, which the first line of the output names. In a\n" +
			"partitioned zone, the hosts of the other zones are silent.",
		Flags: []cli.Flag{
			entryFlag(),
			jsonFlag(),
		},
		Action: func(ctx context.Context, c *cli.Command) error {
			var s hingeadmin.Status
			if _, err := p.client.getAny(ctx, c.StringSlice(entryFlagName), "/v1/status", &s); err != nil {
				return err
			}
			if c.Bool(jsonFlagName) {
				return p.writeJSON(s)
			}
			return p.printStatus(s)
		},
	}
}

func (p *program) printStatus(s hingeadmin.Status) error {
	leader := "none known"
	if s.Leader != "" {
		leader = string(s.Leader)
	}
	p.printf("as %s in %s sees it: revision %d, leader %s\n", s.Host, s.Zone, s.Committed, leader)
	p.printf("it %s; requests in progress: %d\n\n", answeringHostState(s), s.InProgress)
	if err := p.table(func(row func(cells ...any)) {
		row("HOST", "ZONE", "DISK", "STATE", "REVISION", "LAGS SINCE")
		for _, h := range s.Hosts {
			row(h.Host, h.Zone, yesNo(h.Disk), hostState(h), h.Revision, formatTime(h.LagsSince))
		}
	}); err != nil {
		return err
	}
	p.printf("\n")
	return p.table(func(row func(cells ...any)) {
		row("SERVER", "KIND", "ZONE", "SERVES", "RUNNING", "SLOTS", "STATE")
		for _, x := range s.Servers {
			row(x.Server, x.Kind, x.Zone, string(x.Model)+string(x.Service), x.Running, x.Slots, serverState(x))
		}
	})
}

func answeringHostState(s hingeadmin.Status) string {
	state := "takes requests"
	switch {
	case s.Draining:
		state = "is draining"
	case !s.Ready:
		state = "takes no requests: " + s.Reason
	}
	if s.Voting {
		return state + ", votes"
	}
	return state + ", doesn't vote"
}

func hostState(h hingeadmin.HostStatus) string {
	if h.Alive {
		return "alive"
	}
	if h.SilentSince.IsZero() {
		return "silent"
	}
	return "silent since " + formatTime(h.SilentSince)
}

func serverState(s hingeadmin.ServerStatus) string {
	switch {
	case !s.Listed:
		return "not in the inventory"
	case s.Leaving:
		return "leaving"
	case !s.SilentSince.IsZero():
		return "silent since " + formatTime(s.SilentSince)
	case !s.Granting:
		return "no slots to grant yet"
	default:
		return "serving"
	}
}

func formatTime(t time.Time) string {
	if t.IsZero() {
		return "-"
	}
	return t.UTC().Format(time.RFC3339)
}

func yesNo(b bool) string {
	if b {
		return "yes"
	}
	return "no"
}

func (p *program) table(fill func(row func(cells ...any))) error {
	w := tabwriter.NewWriter(p.Out, 0, 0, 2, ' ', 0)
	fill(func(cells ...any) {
		texts := make([]string, len(cells))
		for i, c := range cells {
			texts[i] = fmt.Sprint(c)
		}
		// Flush returns the error of earlier writes.
		_, _ = fmt.Fprintln(w, strings.Join(texts, "\t"))
	})
	return eris.Wrap(w.Flush(), "write table")
}
