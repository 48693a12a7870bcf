package hingeload

import (
	"context"
	"encoding/json"
	"math/rand/v2"
	"net/http"
	"sync"
	"time"

	"github.com/rotisserie/eris"

	"github.com/swifthinge/swifthinge/internal/core/hingeids"
	"github.com/swifthinge/swifthinge/internal/standin/hingestandin"
)

// Options configures a run.
type Options struct {
	// Hosts are the addresses of the entry hosts' caller endpoints.
	Hosts []string
	// VerifyAnswers compares every answer with the one that a stand-in gives.
	VerifyAnswers bool
	// Standins are the addresses of stand-ins whose counters are read.
	Standins []string
	Mix      Mix
	Phases   []Phase
	Seed     uint64
	// MaxRequests bounds the requests of the run, MaxOpen those open at once.
	MaxRequests, MaxOpen int
	// MaxAttempts bounds the attempts of one request. RetryAfterShare is the share
	// of requests whose callers wait for Retry-After.
	MaxAttempts     int
	RetryAfterShare float64
	// SettleTimeout bounds the wait after the last answer until the stand-ins have
	// released all allocations.
	SettleTimeout time.Duration
	// Progress is called about once a second from the sending goroutine; nil disables it.
	Progress func(sent, open int, at time.Duration)
}

type run struct {
	Options
	name      string
	client    *client
	result    *Result
	startedAt time.Time
}

// Run sends the schedule and waits for the last answer, at most until two
// seconds after the longest deadline, then at most Options.SettleTimeout for the
// stand-ins. If the context is done before all requests are sent, it returns the
// partial result with an error.
func Run(ctx context.Context, o Options) (*Result, error) {
	if len(o.Hosts) == 0 {
		return nil, eris.New("no entry hosts given")
	}
	schedule := NewSchedule(o.Seed, o.Mix, o.Phases, o.MaxRequests)
	if len(schedule) == 0 {
		return nil, eris.New("the schedule is empty: rate, duration or the limit of requests is 0")
	}
	r := &run{
		Options:   o,
		client:    newClient(o.Hosts),
		result:    newResult(o.Mix),
		startedAt: time.Now(),
	}
	// The name makes prompts and keys differ from those of earlier runs against the same hosts.
	r.name = "run" + hingeids.RequestID{
		Sequence: uint64(r.startedAt.UnixNano()),
	}.String()
	seconds := int(schedule[len(schedule)-1].ScheduledAt/time.Second) + 1
	r.result.OfferedPerSecond = make([]int, seconds)
	r.result.InTargetPerSecond = make([]int, seconds)
	r.result.Seed, r.result.Hosts, r.result.Verified = o.Seed, len(o.Hosts), o.VerifyAnswers
	before := r.counts(ctx)
	err := r.send(ctx, schedule)
	r.result.finish(time.Since(r.startedAt))
	if len(o.Standins) > 0 {
		r.result.Standins = r.settle(ctx, before)
	}
	return r.result, err
}

// send starts each request at its scheduled time (rule 1).
func (r *run) send(ctx context.Context, schedule []Arrival) error {
	var open sync.WaitGroup
	defer open.Wait()
	lastProgress := time.Duration(0)
	for i, a := range schedule {
		select {
		case <-ctx.Done():
			return eris.Wrap(ctx.Err(), "load run stopped before the end of its schedule")
		case <-time.After(time.Until(r.startedAt.Add(a.ScheduledAt))):
		}
		if r.Progress != nil && a.ScheduledAt-lastProgress >= time.Second {
			lastProgress = a.ScheduledAt
			r.Progress(i, r.result.openCount(), a.ScheduledAt)
		}
		scheduled := r.startedAt.Add(a.ScheduledAt)
		if !r.result.recordSent(a, time.Since(scheduled), r.MaxOpen) {
			continue
		}
		open.Go(func() {
			result := r.runRequest(ctx, a, scheduled)
			r.result.add(a, result, result.reply.firstAt.Sub(scheduled))
		})
	}
	return nil
}

func (r *Result) openCount() int {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.open
}

// deadlineGrace is how long after its deadline a request may still receive its
// final answer, for delays in the router and the network.
const deadlineGrace = 2 * time.Second

// runRequest sends one request, with retries, until it has a final result.
func (r *run) runRequest(ctx context.Context, a Arrival, scheduled time.Time) requestResult {
	rng := rand.New(rand.NewPCG(r.Seed, uint64(a.Serial)))
	honorsRetryAfter := rng.Float64() < r.RetryAfterShare
	q := a.httpRequest(r.Mix, r.name)
	ctx, cancel := context.WithDeadline(ctx, scheduled.Add(a.Class.Deadline+deadlineGrace))
	defer cancel()
	var result requestResult
	mayHaveRun := false
	for {
		result.attempts++
		q.deadline = time.Until(scheduled.Add(a.Class.Deadline))
		result.reply = r.attempt(ctx, a, &q)
		result.outcome = result.reply.outcome()
		if result.outcome == refused {
			result.refusals++
		}
		if result.reply.code != 0 {
			result.codes = append(result.codes, result.reply.code)
		}
		mayHaveRun = mayHaveRun || result.outcome == incomplete || result.outcome == uncertain
		wait, again := retry(a.Class, result.reply, honorsRetryAfter)
		if !again || result.attempts == r.MaxAttempts || time.Now().Add(wait).After(scheduled.Add(a.Class.Deadline)) {
			break
		}
		time.Sleep(wait)
	}
	// An earlier attempt may have run even if the last one didn't.
	if result.outcome == refused && mayHaveRun {
		result.outcome = uncertain
	}
	if result.outcome == answered && r.VerifyAnswers {
		result.finding = ClassifyAnswer(a.expectedAnswer(q, r.name), result.reply.text)
		if result.reply.runs > 1 {
			result.finding = Duplicated
		}
	}
	return result
}

// attempt sends the request to the next host in round-robin order, and fails
// over to the following ones while hosts are unreachable (rule 3).
func (r *run) attempt(ctx context.Context, a Arrival, q *httpRequest) reply {
	var got reply
	turn := r.client.nextHost()
	for i := range r.client.hosts {
		got = r.attemptHost(ctx, r.client.hosts[(turn+i)%len(r.client.hosts)], a, q)
		if got.outcome() != unreachable {
			break
		}
	}
	return got
}

// attemptHost sends the request to one host. It first requests an idempotency
// key if the class uses issued keys and the request has none yet.
func (r *run) attemptHost(ctx context.Context, host string, a Arrival, q *httpRequest) reply {
	if a.Class.Key == IssuedKey && q.key == "" {
		key, got := r.client.issueKey(ctx, host, a.Caller)
		if got.outcome() != answered {
			return keyFailure(got)
		}
		q.key = key
	}
	return r.client.do(ctx, host, *q)
}

// keyFailure converts a failed key request into the reply of the request itself,
// which has not been sent: it counts as refused, or as unreachable.
func keyFailure(got reply) reply {
	if got.outcome() == incomplete {
		got.status = http.StatusServiceUnavailable
		got.retryAfter = immediateRetryDelay
	}
	got.verdict = notRun
	return got
}

// counts leaves out stand-ins that don't answer.
func (r *run) counts(ctx context.Context) map[string]hingestandin.Counts {
	counts := make(map[string]hingestandin.Counts, len(r.Standins))
	for _, address := range r.Standins {
		if c, err := r.countsAt(ctx, address); err == nil {
			counts[address] = c
		}
	}
	return counts
}

func (r *run) countsAt(ctx context.Context, address string) (hingestandin.Counts, error) {
	var c hingestandin.Counts
	ctx, cancel := context.WithTimeout(ctx, time.Second)
	defer cancel()
	req, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+address+"/standin/counts", nil)
	if err != nil {
		return c, err
	}
	resp, err := r.client.httpClient.Do(req)
	if err != nil {
		return c, err
	}
	defer func() {
		_ = resp.Body.Close()
	}()
	return c, json.NewDecoder(resp.Body).Decode(&c)
}

const settleInterval = 200 * time.Millisecond

// settle waits until the stand-ins have released all allocations, such as those
// left by a killed entry host, and returns the final counts.
func (r *run) settle(ctx context.Context, before map[string]hingestandin.Counts) *StandinCounts {
	runEnd := time.Now()
	for {
		c := r.difference(before, r.counts(ctx))
		c.SettledSeconds = time.Since(runEnd).Seconds()
		if c.Held == 0 || time.Since(runEnd) > r.SettleTimeout || ctx.Err() != nil {
			return c
		}
		time.Sleep(settleInterval)
	}
}

// difference sums the increments of the counters between two readings. A
// stand-in that is missing in one of them, or restarted, is counted as unread.
func (r *run) difference(before, after map[string]hingestandin.Counts) *StandinCounts {
	sum := &StandinCounts{}
	for _, address := range r.Standins {
		b, hadBefore := before[address]
		a, hasAfter := after[address]
		if !hadBefore || !hasAfter || a.Requests < b.Requests {
			sum.Unread++
			continue
		}
		if a.DecodedTokens == 0 && a.PrefillTokens == 0 {
			sum.CallRuns += a.Runs - b.Runs
		}
		sum.Runs += a.Runs - b.Runs
		sum.PrefillTokens += a.PrefillTokens - b.PrefillTokens
		sum.WastedTokens += a.WastedTokens - b.WastedTokens
		sum.CachedTokens += a.CachedTokens - b.CachedTokens
		sum.MaxRunsPerKey = max(sum.MaxRunsPerKey, a.MaxRunsPerKey)
		sum.Held += a.Held
	}
	return sum
}
