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
		Description: "Runs until SIGTERM or SIGINT, which start a graceful shutdown: the host leaves the balancer, refuses new\n" +
			"requests, finishes those in progress, and exits. Inventory and rules are the initial configuration.",
		Flags: []cli.Flag{
			&cli.StringFlag{
				Name:     settingsFlagName,
				Usage:    "settings `FILE`",
				Required: true,
			},
			inventoryFlag(false),
			rulesFlag(false),
			&cli.IntFlag{
				Name:  "v",
				Usage: "log verbosity `LEVEL`; 1 logs every event",
			},
		},
		Action: p.serve,
	}
}

func (p *program) serve(ctx context.Context, c *cli.Command) error {
	path := c.String(settingsFlagName)
	data, err := os.ReadFile(path)
	if err != nil {
		return eris.Wrap(err, "settings")
	}
	var start ServeOptions
	s, problems := hingesettings.Check(path, data)
	start.Settings = s
	if inventory, rules := c.String(inventoryFlagName), c.String(rulesFlagName); inventory != "" && rules != "" {
		inv, r, found, err := readFiles(inventory, rules)
		if err != nil {
			return err
		}
		problems = append(problems, found...)
		start.Inventory, start.Rules, start.HasConfiguration = inv, r, true
	}
	if len(problems) > 0 {
		return p.report(problems, false)
	}
	if p.Serve == nil {
		return eris.New("this build does not support serve")
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
	return eris.Wrap(flags.Set("v", strconv.Itoa(level)), "set log level")
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
		Usage: "create and renew the keys and certificates with which hosts authenticate each other",
		Description: "Create the authority once, then a key and certificate for each entry host. Copy only the three files that\n" +
			"a host's settings name to that host. Never copy the authority's private key to a host.",
		Commands: []*cli.Command{
			{
				Name:   "authority",
				Usage:  "create the authority that signs the hosts' certificates",
				Flags:  []cli.Flag{folder},
				Action: authorityAction(p.CreateAuthority, p.Now),
			},
			{
				Name:   "renew-authority",
				Usage:  "renew the authority's certificate; certificates signed before remain valid",
				Flags:  []cli.Flag{folder},
				Action: authorityAction(p.RenewAuthority, p.Now),
			},
			{
				Name:  "host",
				Usage: "create the key and certificate of an entry host",
				Flags: []cli.Flag{
					folder,
					host,
				},
				Action: keyAction(p.CreateHostCertificate, p.Now),
			},
			{
				Name:  "renew",
				Usage: "renew the certificate of an entry host",
				Flags: []cli.Flag{
					folder,
					host,
				},
				Action: keyAction(p.RenewHostCertificate, p.Now),
			},
			{
				Name:  "customer",
				Usage: "generate an API key for a customer, and print it with its digest",
				Description: "Give the key only to the customer. The rules contain only the digest (keyDigests), from which the key\n" +
					"can't be recovered.",
				Action: p.customerKey,
			},
		},
	}
}

// customerKeyBytes is the number of random bytes in an API key, enough to make
// guessing infeasible.
const customerKeyBytes = 24

func (p *program) customerKey(context.Context, *cli.Command) error {
	b := make([]byte, customerKeyBytes)
	if _, err := rand.Read(b); err != nil {
		return eris.Wrap(err, "generate API key")
	}
	text := base64.RawURLEncoding.EncodeToString(b)
	digest := hingeinventory.DigestText(hingecustomers.Key(text))
	_, err := fmt.Fprintf(p.Out, "key     %s\ndigest  %s\n", text, digest)
	return eris.Wrap(err, "write API key")
}

var errNoKeys = eris.New("this build does not support keys")

func authorityAction(create func(string, time.Time) error, now func() time.Time) cli.ActionFunc {
	return func(_ context.Context, c *cli.Command) error {
		if create == nil {
			return errNoKeys
		}
		return create(c.String("folder"), now())
	}
}

func keyAction(create func(string, hingeids.HostID, time.Time) error, now func() time.Time) cli.ActionFunc {
	return func(_ context.Context, c *cli.Command) error {
		if create == nil {
			return errNoKeys
		}
		return create(c.String("folder"), hingeids.HostID(c.String("host")), now())
	}
}
