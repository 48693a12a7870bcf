// Command swifthinge-standin runs a simulated backend server as a process, for tests.
package main

import (
	"context"
	"flag"
	"fmt"
	"os"
	"os/signal"
	"strings"
	"syscall"
	"time"

	"github.com/swifthinge/swifthinge/internal/core/hingeids"
	"github.com/swifthinge/swifthinge/internal/membership/hingeannounce"
	"github.com/swifthinge/swifthinge/internal/standin/hingestandin"
)

func main() {
	if err := run(); err != nil {
		fmt.Fprintln(os.Stderr, "swifthinge-standin:", err)
		os.Exit(1)
	}
}

func run() error {
	var (
		server   = flag.String("server", "engine", "name of the backend server")
		kind     = flag.String("kind", "decode", "server kind: prefill, decode, both or service")
		zone     = flag.String("zone", "", "availability zone")
		model    = flag.String("model", "", "model that the engine serves")
		service  = flag.String("service", "", "service that the replica serves, if it is not an engine")
		listen   = flag.String("listen", "127.0.0.1:0", "IP address and port to listen on for requests")
		announce = flag.String("announce", "", "comma-separated addresses at which entry hosts accept announcements")
		slots    = flag.Int("slots", 20, "number of concurrent requests of a decode engine")
		gap      = flag.Duration("gap", 10*time.Millisecond, "time between tokens")
		prefill  = flag.Duration("prefill", 100*time.Microsecond, "time to prefill one token")
		fence    = flag.Bool("checks-fence", false, "reject orders with an outdated fencing number")
	)
	flag.Parse()
	s, err := hingestandin.New(hingestandin.Options{
		Server:          hingeids.ServerID(*server),
		Kind:            hingeannounce.Kind(*kind),
		Zone:            hingeids.Zone(*zone),
		Model:           hingeids.Model(*model),
		Service:         hingeids.Service(*service),
		Listen:          *listen,
		Announce:        split(*announce),
		Slots:           hingeids.Slots(*slots),
		TokenGap:        *gap,
		PrefillPerToken: *prefill,
		ChecksFence:     *fence,
	}, time.Now())
	if err != nil {
		return err
	}
	ctx, stop := signal.NotifyContext(context.Background(), syscall.SIGTERM, os.Interrupt)
	defer stop()
	fmt.Println(s.Address())
	return s.Run(ctx)
}

func split(s string) []string {
	if s == "" {
		return nil
	}
	return strings.Split(s, ",")
}
