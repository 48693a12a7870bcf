package hingeprogram

import (
	"context"
	"time"

	"github.com/rotisserie/eris"
	"github.com/urfave/cli/v3"

	"github.com/swifthinge/swifthinge/internal/core/hingeids"
	"github.com/swifthinge/swifthinge/internal/load/hingeload"
	"github.com/swifthinge/swifthinge/internal/load/hingereport"
)

func (p *program) loadCommand() *cli.Command {
	return &cli.Command{
		Name:  "run",
		Usage: "send the requests of a mix to entry hosts, open loop",
		UsageText: "swifthinge-load run --host 127.0.1.1:8080 --host 127.0.2.1:8080 " +
			"--standin 127.0.1.5:9000 --mix shellfish --rate 50 --duration 30s",
		Description: "Requests are sent on a schedule generated from the seed, independent of earlier answers.\n" +
			"Latency is measured from the scheduled time. After the last request, the run ends when all\n" +
			"answers have arrived, or when the longest deadline of the mix has passed.",
		Flags:        append(loadFlags(), outFlag()),
		OnUsageError: usageError,
		Action: func(ctx context.Context, c *cli.Command) error {
			return p.runLoad(ctx, c)
		},
	}
}

func loadFlags() []cli.Flag {
	return []cli.Flag{
		&cli.StringSliceFlag{
			Name:     "host",
			Usage:    "address for callers of an entry host; repeat for each host, they are used in round-robin order",
			Required: true,
		},
		&cli.StringSliceFlag{
			Name:  "standin",
			Usage: "address of a stand-in: its counters are read, and the text of all answers is verified",
		},
		&cli.StringFlag{
			Name:  "mix",
			Usage: "shellfish (quay queries, dossiers, lot status) or streaming (captions, eulogies, guestbook)",
			Value: "shellfish",
		},
		&cli.StringFlag{
			Name:  "model",
			Usage: "model name in requests, if it differs from the one of the mix's example",
		},
		&cli.FloatFlag{
			Name:  "rate",
			Usage: "requests per second",
			Value: 20,
		},
		&cli.DurationFlag{
			Name:  "duration",
			Usage: "time during which requests are sent, at most 1h",
			Value: 30 * time.Second,
		},
		&cli.FloatFlag{
			Name:  "burst",
			Usage: "factor of the rate during a burst in the middle of the run",
			Value: 1,
		},
		&cli.DurationFlag{
			Name:  "burst-for",
			Usage: "length of the burst, at most the duration",
		},
		&cli.FloatFlag{
			Name:  "scale",
			Usage: "factor for the length of prompts and answers",
			Value: 1,
		},
		&cli.Uint64Flag{
			Name:  "seed",
			Usage: "seed of the schedule",
			Value: 1,
		},
		&cli.IntFlag{
			Name:  "attempts",
			Usage: "maximum number of attempts for a request",
			Value: 5,
		},
		&cli.FloatFlag{
			Name:  "as-told",
			Usage: "share of the callers that wait for Retry-After; the others retry immediately",
			Value: 1,
		},
		&cli.DurationFlag{
			Name:  "settle",
			Usage: "maximum wait after the last answer until the stand-ins have released all allocations",
			Value: 15 * time.Second,
		},
		&cli.IntFlag{
			Name:  "max-requests",
			Usage: "maximum number of requests of the run",
			Value: 100000,
		},
		&cli.IntFlag{
			Name:  "max-open",
			Usage: "maximum number of open requests; further ones are not sent, which invalidates the run",
			Value: 10000,
		},
	}
}

// maxDuration bounds the length of the schedule, which is held in memory.
const maxDuration = time.Hour

func mixOf(c *cli.Command) (hingeload.Mix, error) {
	var mix hingeload.Mix
	switch c.String("mix") {
	case "shellfish":
		mix = hingeload.Shellfish()
	case "streaming":
		mix = hingeload.Streaming()
	default:
		return mix, eris.Errorf("--mix %q: want shellfish or streaming", c.String("mix"))
	}
	if c.String("model") != "" {
		mix.Model = hingeids.Model(c.String("model"))
	}
	if scale := c.Float("scale"); scale <= 0 || scale > 100 {
		return mix, eris.Errorf("--scale %v: want more than 0 and at most 100", scale)
	}
	return mix.Scaled(c.Float("scale")), nil
}

// phasesOf returns the phases of the run, with the burst in the middle.
func phasesOf(c *cli.Command) ([]hingeload.Phase, error) {
	total, burst, rate := c.Duration("duration"), c.Duration("burst-for"), c.Float("rate")
	if total <= 0 || total > maxDuration || burst < 0 || burst > total {
		return nil, eris.Errorf("--duration %v --burst-for %v: want a positive duration of at most %v, and a burst no longer than it",
			total, burst, maxDuration)
	}
	if rate <= 0 || c.Float("burst") < 0 {
		return nil, eris.Errorf("--rate %v --burst %v: want a positive rate and a burst factor of at least 0", rate, c.Float("burst"))
	}
	side := (total - burst) / 2
	return []hingeload.Phase{
		{
			Duration: side,
			Rate:     rate,
		},
		{
			Duration: burst,
			Rate:     rate * c.Float("burst"),
		},
		{
			Duration: side,
			Rate:     rate,
		},
	}, nil
}

func (p *program) runLoad(ctx context.Context, c *cli.Command) error {
	mix, err := mixOf(c)
	if err != nil {
		return err
	}
	phases, err := phasesOf(c)
	if err != nil {
		return err
	}
	result, err := hingeload.Run(ctx, hingeload.Options{
		Hosts:           c.StringSlice("host"),
		VerifyAnswers:   len(c.StringSlice("standin")) > 0,
		Standins:        c.StringSlice("standin"),
		Mix:             mix,
		Phases:          phases,
		Seed:            c.Uint64("seed"),
		MaxRequests:     c.Int("max-requests"),
		MaxOpen:         c.Int("max-open"),
		MaxAttempts:     c.Int("attempts"),
		RetryAfterShare: c.Float("as-told"),
		SettleTimeout:   c.Duration("settle"),
		Progress: func(sent, open int, at time.Duration) {
			p.progressf("%5.0f s: %d sent, %d open\n", at.Seconds(), sent, open)
		},
	})
	if err != nil {
		return err
	}
	if err := hingereport.WriteLoad(c.String("out"), hingereport.Header{
		Command: p.command,
		Written: p.now(),
	}, result); err != nil {
		return err
	}
	t := result.Total()
	p.printf("%d sent, %d answered, %d in target, %d refused, %d uncertain, %d lost, %d truncated, %d doubled, %d crossed; report in %s\n",
		t.Sent, t.Answered, t.InTarget, t.Refused, t.Uncertain, t.Lost, t.Truncated, t.Duplicated, t.Misdelivered, c.String("out"))
	if violations := result.Violations(); violations > 0 {
		return eris.Errorf("%d guarantees were violated", violations)
	}
	return nil
}
