// Command swifthinge-soak runs the fleet's programs under random faults and checks
// the guarantees to callers.
package main

import (
	"context"
	"errors"
	"fmt"
	"os"
	"path/filepath"
	"strings"
	"time"

	"github.com/urfave/cli/v3"

	"github.com/swifthinge/swifthinge/internal/soak/hingesoak"
)

var errGuaranteeBroken = errors.New("a guarantee was broken")

func main() {
	command := &cli.Command{
		Name:  "swifthinge-soak",
		Usage: "run the fleet's programs under random faults",
		Flags: []cli.Flag{
			&cli.StringFlag{
				Name:     "program",
				Usage:    "path of swifthinge-fleet",
				Required: true,
			},
			&cli.StringFlag{
				Name:  "folder",
				Usage: "folder for settings, data and logs",
				Value: filepath.Join(os.TempDir(), "swifthinge-soak"),
			},
			&cli.Uint64Flag{
				Name:  "seed",
				Usage: "first seed",
				Value: 1,
			},
			&cli.IntFlag{
				Name:  "seeds",
				Usage: "number of consecutive seeds to run",
				Value: 1,
			},
			&cli.IntFlag{
				Name:  "controls",
				Usage: "number of control hosts",
				Value: 3,
			},
			&cli.IntFlag{
				Name:  "entries",
				Usage: "number of entry hosts",
				Value: 3,
			},
			&cli.IntFlag{
				Name:  "poison",
				Usage: "number of poison requests, which crash every server that runs them and are resent repeatedly",
			},
			&cli.IntFlag{
				Name:  "parts",
				Usage: "number of parts of prompts that crash every decode engine that runs a request with one, no two of them alike",
			},
			&cli.BoolFlag{
				Name:  "needs",
				Usage: "servers state rate limits, that they leave, and backoffs in their answers",
			},
			&cli.BoolFlag{
				Name:  "late",
				Usage: "reports of servers arrive late, and again at other control hosts",
			},
			&cli.IntFlag{
				Name:  "growth",
				Usage: "number of routes that each version of the configuration has more than the one before",
			},
			&cli.BoolFlag{
				Name:  "changes",
				Usage: "operators move, split, drop and add routes and services, and send what must change nothing; all sentences on the configuration are checked",
			},
			&cli.StringFlag{
				Name:  "losses",
				Usage: "lose, replace and cut off control hosts instead of their other faults: tolerable or overlapping",
			},
			&cli.BoolFlag{
				Name:  "peaceful-start",
				Usage: "no faults while the system starts for the first time, for earlier versions of the programs",
			},
			&cli.StringSliceFlag{
				Name:  "disturb",
				Usage: "disturbances beside the other faults: " + disturbanceNames(),
			},
			&cli.DurationFlag{
				Name:  "lasts",
				Usage: "duration of fault injection per seed",
				Value: 20 * time.Second,
			},
		},
		Action: soak,
	}
	if err := command.Run(context.Background(), os.Args); err != nil {
		fmt.Fprintln(os.Stderr, err)
		os.Exit(1)
	}
}

func disturbanceNames() string {
	var names []string
	for _, d := range hingesoak.Disturbances() {
		names = append(names, string(d))
	}
	return strings.Join(names, ", ")
}

func disturbances(names []string) []hingesoak.Disturbance {
	var out []hingesoak.Disturbance
	for _, n := range names {
		out = append(out, hingesoak.Disturbance(n))
	}
	return out
}

func soak(ctx context.Context, c *cli.Command) error {
	broken := false
	for i := range c.Int("seeds") {
		seed := c.Uint64("seed") + uint64(i)
		r, err := hingesoak.Run(ctx, hingesoak.Options{
			Program:        c.String("program"),
			Folder:         filepath.Join(c.String("folder"), fmt.Sprint("seed-", seed)),
			Seed:           seed,
			Controls:       c.Int("controls"),
			Entries:        c.Int("entries"),
			Duration:       c.Duration("lasts"),
			PoisonRequests: c.Int("poison"),
			PoisonParts:    c.Int("parts"),
			Needs:          c.Bool("needs"),
			LateReports:    c.Bool("late"),
			Growth:         c.Int("growth"),
			Changes:        c.Bool("changes"),
			Losses:         hingesoak.Losses(c.String("losses")),
			PeacefulStart:  c.Bool("peaceful-start"),
			Disturbances:   disturbances(c.StringSlice("disturb")),
			Out:            os.Stdout,
		})
		if err != nil {
			return fmt.Errorf("seed %d: %w", seed, err)
		}
		fmt.Printf("seed %d: requests %d, answered %d, refused %d, changes %d, faults %d, servers crashed %d, broken %d\n",
			seed, r.Sent, r.Answered, r.Refused, r.Changes, r.Faults, r.Crashes, len(r.Violations))
		if n := len(r.FinalReads); n > 0 {
			fmt.Printf("seed %d: configuration read after the last loss: first after %v, from %d control hosts after %v\n", seed, r.FinalReads[0], n, r.FinalReads[n-1])
		}
		for _, b := range r.Violations {
			broken = true
			fmt.Printf("BROKEN %s at %v: request %q: %s\n", b.Guarantee, b.At, b.RequestID, b.Detail)
		}
	}
	if broken {
		return errGuaranteeBroken
	}
	return nil
}
