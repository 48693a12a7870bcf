// Command swifthinge-soak runs the fleet's programs under random faults and checks what
// their users are promised.
package main

import (
	"context"
	"errors"
	"fmt"
	"os"
	"path/filepath"
	"time"

	"github.com/urfave/cli/v3"

	"github.com/swifthinge/swifthinge/internal/soak/hingesoak"
)

var errBroken = errors.New("a promise was broken")

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
				Usage: "where settings, data and logs go",
				Value: filepath.Join(os.TempDir(), "swifthinge-soak"),
			},
			&cli.Uint64Flag{
				Name:  "seed",
				Usage: "first seed",
				Value: 1,
			},
			&cli.IntFlag{
				Name:  "seeds",
				Usage: "how many seeds, one after the other",
				Value: 1,
			},
			&cli.IntFlag{
				Name:  "controls",
				Usage: "how many control hosts",
				Value: 3,
			},
			&cli.IntFlag{
				Name:  "entries",
				Usage: "how many entry hosts",
				Value: 3,
			},
			&cli.IntFlag{
				Name:  "poison",
				Usage: "how many requests end each server that runs them, and come again and again",
			},
			&cli.DurationFlag{
				Name:  "lasts",
				Usage: "how long faults are injected for each seed",
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

func soak(ctx context.Context, c *cli.Command) error {
	broken := false
	for i := range c.Int("seeds") {
		seed := c.Uint64("seed") + uint64(i)
		r, err := hingesoak.Run(ctx, hingesoak.Options{
			Program:  c.String("program"),
			Folder:   filepath.Join(c.String("folder"), fmt.Sprint("seed-", seed)),
			Seed:     seed,
			Controls: c.Int("controls"),
			Entries:  c.Int("entries"),
			Lasts:    c.Duration("lasts"),
			Poison:   c.Int("poison"),
			Out:      os.Stdout,
		})
		if err != nil {
			return fmt.Errorf("seed %d: %w", seed, err)
		}
		fmt.Printf("seed %d: asked %d, answered %d, refused %d, changes %d, faults %d, servers ended %d, broken %d\n",
			seed, r.Asked, r.Answered, r.Refused, r.Changes, r.Faults, r.Ended, len(r.Broken))
		for _, b := range r.Broken {
			broken = true
			fmt.Printf("BROKEN %s at %v: request %q: %s\n", b.Promise, b.At, b.ID, b.Detail)
		}
	}
	if broken {
		return errBroken
	}
	return nil
}
