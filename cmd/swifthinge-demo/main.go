// Command swifthinge-demo runs a complete deployment in one process on loopback
// addresses, injects faults, and prints the outcomes of requests.
package main

import (
	"context"
	"flag"
	"fmt"
	"io"
	"os"

	"k8s.io/klog/v2"

	"github.com/swifthinge/swifthinge/internal/serve/hingedemo"
)

func main() {
	requests := flag.Int("requests", 300, "number of requests to send")
	seed := flag.Uint64("seed", 1, "seed of the random request mix")
	logs := flag.Bool("logs", false, "log the events of all hosts to standard error")
	flag.Parse()
	if !*logs {
		klog.LogToStderr(false)
		klog.SetOutput(io.Discard)
	}
	result, err := hingedemo.Run(context.Background(), hingedemo.Options{
		Requests: *requests,
		Seed:     *seed,
		Out:      os.Stdout,
		Progress: os.Stderr,
	})
	if err != nil {
		fmt.Fprintln(os.Stderr, "swifthinge-demo:", err)
		os.Exit(1)
	}
	if result.Failed() {
		os.Exit(1)
	}
}
