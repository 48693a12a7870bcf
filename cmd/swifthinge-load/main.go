// Command swifthinge-load sends workloads to entry hosts, checks every response,
// and compares placement policies on the engine model.
package main

import (
	"context"
	"os"
	"os/signal"
	"time"

	"github.com/swifthinge/swifthinge/internal/load/hingeprogram"
)

func main() {
	ctx, stop := signal.NotifyContext(context.Background(), os.Interrupt)
	status := hingeprogram.Run(ctx, os.Args, os.Stdout, os.Stderr, time.Now)
	stop()
	os.Exit(status)
}
