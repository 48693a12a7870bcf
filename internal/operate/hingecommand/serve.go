package hingecommand

import (
	"context"
	"crypto/rand"
	"encoding/base64"
	"flag"
	"fmt"
	"os"
	"os/signal"
	"strconv"
	"syscall"
	"time"

	"github.com/rotisserie/eris"
	"github.com/urfave/cli/v3"
	"k8s.io/klog/v2"

	"github.com/swifthinge/swifthinge/internal/config/hingecustomers"
	"github.com/swifthinge/swifthinge/internal/config/hingeinventory"
	"github.com/swifthinge/swifthinge/internal/config/hingesettings"
	"github.com/swifthinge/swifthinge/internal/core/hingeids"
)

func (p *program) serveCommand() *cli.Command {
	return &cli.Command{
		Name:  "serve",
		Usage: "run an entry host",
		Description: "Runs until SIGTERM or SIGINT, which start a graceful shutdown: the host leaves the balancer, refuses\n" +
			"new work, finishes what it has, and ends. Inventory and rules are those to begin with.",
		Flags: []cli.Flag{
			&cli.StringFlag{
				Name:     settingsName,
				Usage:    "settings `FILE`",
				Required: true,
			},
			inventoryFlag(false),
			rulesFlag(false),
			&cli.IntFlag{
				Name:  "v",
				Usage: "log `LEVEL`; 1 logs every event",
			},
		},
		Action: p.serve,
	}
}

func (p *program) serve(ctx context.Context, c *cli.Command) error {
	path := c.String(settingsName)
	data, err := os.ReadFile(path)
	if err != nil {
		return eris.Wrap(err, "settings")
	}
	var start Start
	s, problems := hingesettings.Check(path, data)
	start.Settings = s
	if inventory, rules := c.String(inventoryName), c.String(rulesName); inventory != "" && rules != "" {
		inv, r, found, err := readFiles(inventory, rules)
		if err != nil {
			return err
		}
		problems = append(problems, found...)
		start.Inventory, start.Rules, start.Given = inv, r, true
	}
	if len(problems) > 0 {
		return p.report(problems, false)
	}
	if p.Serve == nil {
		return eris.New("serve is not part of this program")
	}
	if err := setLogLevel(c.Int("v")); err != nil {
		return err
	}
	defer klog.Flush()
	ctx, stop := signal.NotifyContext(ctx, os.Interrupt, syscall.SIGTERM)
	defer stop()
	return p.Serve(ctx, start)
}

func setLogLevel(level int) error {
	flags := flag.NewFlagSet("klog", flag.ContinueOnError)
	klog.InitFlags(flags)
	return eris.Wrap(flags.Set("v", strconv.Itoa(level)), "log level")
}

func (p *program) keysCommand() *cli.Command {
	host := &cli.StringFlag{
		Name:     "host",
		Usage:    "`NAME` of the entry host",
		Required: true,
	}
	folder := &cli.StringFlag{
		Name:  "folder",
		Usage: "`FOLDER` of the keys and certificates",
		Value: "keys",
	}
	return &cli.Command{
		Name:  "keys",
		Usage: "make and renew the keys with which our own processes know each other",
		Description: "Make the authority once, then a key and certificate for each entry host. Only the three files that a\n" +
			"host's settings name belong on that host; the authority's own key belongs on none.",
		Commands: []*cli.Command{
			{
				Name:   "authority",
				Usage:  "make the authority that signs the hosts' certificates",
				Flags:  []cli.Flag{folder},
				Action: authorityAction(p.MakeAuthority, p.Now),
			},
			{
				Name:   "renew-authority",
				Usage:  "renew the authority's certificate; certificates signed before stay good",
				Flags:  []cli.Flag{folder},
				Action: authorityAction(p.RenewAuthority, p.Now),
			},
			{
				Name:  "host",
				Usage: "make the key and certificate of an entry host",
				Flags: []cli.Flag{
					folder,
					host,
				},
				Action: keyAction(p.MakeHost, p.Now),
			},
			{
				Name:  "renew",
				Usage: "renew the certificate of an entry host",
				Flags: []cli.Flag{
					folder,
					host,
				},
				Action: keyAction(p.Renew, p.Now),
			},
			{
				Name:  "customer",
				Usage: "make an API key for a customer, and print it and its digest",
				Description: "The key goes to the customer, and nowhere else. The rules need the digest only (keyDigests), from which\n" +
					"nobody finds the key.",
				Action: p.customerKey,
			},
		},
	}
}

// customerKeyBytes is the chance in an API key: nobody finds one by trying.
const customerKeyBytes = 24

func (p *program) customerKey(context.Context, *cli.Command) error {
	b := make([]byte, customerKeyBytes)
	if _, err := rand.Read(b); err != nil {
		return eris.Wrap(err, "API key")
	}
	text := base64.RawURLEncoding.EncodeToString(b)
	digest := hingeinventory.DigestText(hingecustomers.Key(text))
	_, err := fmt.Fprintf(p.Out, "key     %s\ndigest  %s\n", text, digest)
	return eris.Wrap(err, "API key")
}

var errNoKeys = eris.New("keys are not part of this program")

func authorityAction(make func(string, time.Time) error, now func() time.Time) cli.ActionFunc {
	return func(_ context.Context, c *cli.Command) error {
		if make == nil {
			return errNoKeys
		}
		return make(c.String("folder"), now())
	}
}

func keyAction(make func(string, hingeids.HostID, time.Time) error, now func() time.Time) cli.ActionFunc {
	return func(_ context.Context, c *cli.Command) error {
		if make == nil {
			return errNoKeys
		}
		return make(c.String("folder"), hingeids.HostID(c.String("host")), now())
	}
}
