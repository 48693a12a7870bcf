// Command swifthinge-fleet runs an entry host or a control host of a fleet. An
// environment variable names the settings file that the platform provides.
package main

import (
	"context"
	"fmt"
	"os"

	"github.com/urfave/cli/v3"

	hingeplatform "github.com/swifthinge/swifthinge/platform"
)

func main() {
	command := &cli.Command{
		Name:  "swifthinge-fleet",
		Usage: "run an entry host or a control host of a fleet",
		Commands: []*cli.Command{
			{
				Name:  "front",
				Usage: "run an entry host, which serves callers' requests",
				Action: func(ctx context.Context, _ *cli.Command) error {
					return hingeplatform.RunFront(ctx)
				},
			},
			{
				Name:  "control",
				Usage: "run a control host, which replicates the configuration, receives heartbeats and places streams",
				Action: func(ctx context.Context, _ *cli.Command) error {
					return hingeplatform.RunControl(ctx)
				},
			},
		},
	}
	if err := command.Run(context.Background(), os.Args); err != nil {
		fmt.Fprintln(os.Stderr, err)
		os.Exit(1)
	}
}
