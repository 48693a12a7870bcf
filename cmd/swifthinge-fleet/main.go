// Command swifthinge-fleet runs an entry host or a control host on the
// platform whose settings its environment names.
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
		Usage: "run a host of a fleet on its platform",
		Commands: []*cli.Command{
			{
				Name:  "front",
				Usage: "take requests from callers",
				Action: func(ctx context.Context, _ *cli.Command) error {
					return hingeplatform.RunFront(ctx)
				},
			},
			{
				Name:  "control",
				Usage: "agree on the configuration, hear backend servers, place streams",
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
