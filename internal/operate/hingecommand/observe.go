package hingecommand

import (
	"bytes"
	"context"
	"fmt"
	"net/url"
	"os"
	"slices"
	"sync"

	"github.com/rotisserie/eris"
	"github.com/urfave/cli/v3"
	"golang.org/x/sync/errgroup"

	"github.com/swifthinge/swifthinge/internal/core/hingeids"
	"github.com/swifthinge/swifthinge/internal/observe/hingeevents"
	"github.com/swifthinge/swifthinge/internal/observe/hingetimeline"
	"github.com/swifthinge/swifthinge/internal/operate/hingeadmin"
)

func (p *program) explainCommand() *cli.Command {
	return &cli.Command{
		Name:      "explain",
		Usage:     "show why a request was placed, queued, retried or refused",
		ArgsUsage: "REQUEST",
		Description: "REQUEST is the request ID in the response header. Its events are collected from all entry hosts; hosts that\n" +
			"don't respond are named.",
		Flags: []cli.Flag{
			entryFlag(),
			jsonFlag(),
		},
		Action: func(ctx context.Context, c *cli.Command) error {
			request, err := hingeids.ParseRequestID(c.Args().First())
			if err != nil {
				return err
			}
			t, err := p.collect(ctx, c.StringSlice(entryFlagName), "/v1/explain?request="+url.QueryEscape(request.String()))
			if err != nil {
				return err
			}
			if c.Bool(jsonFlagName) {
				return t.WriteJSON(p.Out)
			}
			return t.WriteExplanation(p.Out, request)
		},
	}
}

func (p *program) timelineCommand() *cli.Command {
	return &cli.Command{
		Name:  "timeline",
		Usage: "merge the events of all processes in causal order",
		Flags: []cli.Flag{
			entryFlag(),
			&cli.StringFlag{
				Name:  "format",
				Usage: "text, json (one line per event) or svg",
				Value: "text",
			},
			&cli.StringFlag{
				Name:  "output",
				Usage: "write to `FILE`",
			},
			&cli.DurationFlag{
				Name:  "last",
				Usage: "only events of this most recent period; 0 for all retained events",
			},
			&cli.StringFlag{
				Name:  "request",
				Usage: "only events of this request `ID`",
			},
			&cli.StringFlag{
				Name:  "server",
				Usage: "only events of this backend server",
			},
			&cli.StringFlag{
				Name:  "caller",
				Usage: "only events of this caller",
			},
			&cli.Uint64Flag{
				Name:  "revision",
				Usage: "only events of this revision",
			},
			&cli.Uint16Flag{
				Name:  "event",
				Usage: "only events of this `NUMBER`; docs/EVENTS.md lists them",
			},
		},
		Action: p.timeline,
	}
}

func (p *program) timeline(ctx context.Context, c *cli.Command) error {
	query, err := parseQuery(c)
	if err != nil {
		return err
	}
	path := "/v1/events"
	if last := c.Duration("last"); last > 0 {
		path += fmt.Sprintf("?since=%d", p.Now().Add(-last).UnixNano())
	}
	write, err := timelineWriter(c.String("format"))
	if err != nil {
		return err
	}
	t, err := p.collect(ctx, c.StringSlice(entryFlagName), path)
	if err != nil {
		return err
	}
	var b bytes.Buffer
	if err := write(t.Filter(query), &b); err != nil {
		return err
	}
	if file := c.String("output"); file != "" {
		return eris.Wrap(os.WriteFile(file, b.Bytes(), 0o644), "write timeline file")
	}
	_, err = p.Out.Write(b.Bytes())
	return eris.Wrap(err, "write output")
}

func timelineWriter(format string) (func(t hingetimeline.Timeline, b *bytes.Buffer) error, error) {
	switch format {
	case "text":
		return func(t hingetimeline.Timeline, b *bytes.Buffer) error {
			return t.WriteText(b)
		}, nil
	case "json":
		return func(t hingetimeline.Timeline, b *bytes.Buffer) error {
			return t.WriteJSON(b)
		}, nil
	case "svg":
		return func(t hingetimeline.Timeline, b *bytes.Buffer) error {
			return t.WriteSVG(b)
		}, nil
	default:
		return nil, eris.Errorf("no such format: %s (want text, json or svg)", format)
	}
}

func parseQuery(c *cli.Command) (hingetimeline.Query, error) {
	q := hingetimeline.Query{
		Server:   hingeids.ServerID(c.String("server")),
		Caller:   hingeids.CallerID(c.String("caller")),
		Revision: hingeids.Revision(c.Uint64("revision")),
		Number:   hingeevents.Number(c.Uint16("event")),
	}
	if text := c.String("request"); text != "" {
		r, err := hingeids.ParseRequestID(text)
		if err != nil {
			return q, err
		}
		q.Request = r
	}
	return q, nil
}

// maxConcurrentFetches bounds the memory for responses, each of which may be
// several megabytes.
const maxConcurrentFetches = 16

// collect merges the events of the given entry hosts and of those that their
// status lists. A host that doesn't respond or whose address is unknown is
// reported as missing.
func (p *program) collect(ctx context.Context, entries []string, path string) (hingetimeline.Timeline, error) {
	var s hingeadmin.Status
	if _, err := p.client.getAny(ctx, entries, "/v1/status", &s); err != nil {
		return hingetimeline.Timeline{}, err
	}
	addresses := slices.Clone(entries)
	for _, h := range s.Hosts {
		if h.Operators != "" && !slices.Contains(addresses, h.Operators) {
			addresses = append(addresses, h.Operators)
		}
	}
	sources := p.fetchSources(addresses, path)
	answered := make(map[hingeids.HostID]bool)
	for _, x := range sources {
		answered[x.Instance.Host] = true
	}
	var missing []hingeids.HostID
	for _, h := range s.Hosts {
		if !answered[h.Host] {
			missing = append(missing, h.Host)
		}
	}
	return hingetimeline.Merge(sources, missing), nil
}

func (p *program) fetchSources(addresses []string, path string) []hingetimeline.Source {
	var g errgroup.Group
	g.SetLimit(maxConcurrentFetches)
	var mu sync.Mutex
	var sources []hingetimeline.Source
	for _, address := range addresses {
		g.Go(func() error {
			var x hingetimeline.Source
			err := p.client.get(address, path, &x)
			mu.Lock()
			defer mu.Unlock()
			if err != nil {
				p.progressf("%s\n", oneLine(err))
				return nil
			}
			sources = append(sources, x)
			return nil
		})
	}
	// The functions return no error, because a host without response is not fatal.
	_ = g.Wait()
	return sources
}
