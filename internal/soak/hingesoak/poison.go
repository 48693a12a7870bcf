package hingesoak

import (
	"context"
	"encoding/json"
	"fmt"
	"io"
	"math/rand/v2"
	"net/http"
	"strings"
	"time"

	"github.com/swifthinge/swifthinge/internal/core/hingeverdict"
	hingeplatform "github.com/swifthinge/swifthinge/platform"
)

// poisonPath is in the path of each poison request.
const poisonPath = "/poison-"

// poisoner sends one poison request again and again.
type poisoner struct {
	fleet  *fleet
	book   *book
	random *rand.Rand
	path   string
	sent   int
	client *http.Client
}

func newPoisoner(f *fleet, b *book, seed uint64, n int) *poisoner {
	random := rand.New(rand.NewPCG(seed, uint64(500+n)))
	route := []string{"/stream", "/safe", "/once"}[random.IntN(3)]
	return &poisoner{
		fleet:  f,
		book:   b,
		random: random,
		path:   fmt.Sprint(route, poisonPath, n),
		client: &http.Client{
			Timeout: patience,
			Transport: &http.Transport{
				DisableKeepAlives: true,
			},
		},
	}
}

func (p *poisoner) run(ctx context.Context) {
	sleepUntil(ctx, time.Now().Add(time.Duration(p.random.IntN(2000))*time.Millisecond))
	for ctx.Err() == nil {
		p.once(ctx)
		sleepUntil(ctx, time.Now().Add(time.Duration(50+p.random.IntN(400))*time.Millisecond))
	}
}

// once sends the request, and reports whether it was refused for what it is.
func (p *poisoner) once(ctx context.Context) bool {
	p.sent++
	at := p.fleet.entries[p.random.IntN(len(p.fleet.entries))].settings.CallerAddress
	q, err := http.NewRequestWithContext(ctx, http.MethodPost, "http://"+at+p.path, strings.NewReader("body of "+p.path))
	if err != nil {
		return false
	}
	q.GetBody = nil
	q.Host = routesHost
	prompt := 0
	if strings.HasPrefix(p.path, "/stream") {
		prompt = 500
	}
	id := fmt.Sprintf("%s-%d", p.path, p.sent)
	wire.SetCallerHeaders(q.Header, id, int(patience.Milliseconds()), prompt)
	p.book.asks(id, false)
	a, err := p.client.Do(q)
	if err != nil {
		return false
	}
	defer func() {
		_ = a.Body.Close()
	}()
	why, err := io.ReadAll(a.Body)
	return err == nil && isPoison(a.StatusCode, why)
}

// isPoison reports whether an answer refuses a request because servers end under it.
func isPoison(status int, body []byte) bool {
	return status == http.StatusServiceUnavailable &&
		strings.Contains(string(body), fmt.Sprintf("(%d)", hingeverdict.CodePoison))
}

// poisonRoute is where control hosts give the list, beside their metrics.
const poisonRoute = "/poison"

// listed gives the prints that a control host refuses; false if it doesn't answer.
func listed(ctx context.Context, p *process) ([]string, bool) {
	_, body, err := call(ctx, metricsOf(p), hingeplatform.Call{
		Method: http.MethodGet,
		Path:   poisonRoute,
	})
	var list struct {
		Records []struct {
			Print string `json:"print"`
		} `json:"records"`
	}
	if err != nil || json.Unmarshal(body, &list) != nil {
		return nil, false
	}
	var out []string
	for _, r := range list.Records {
		out = append(out, r.Print)
	}
	return out, true
}

func metricsOf(p *process) string {
	return fmt.Sprintf("%s:%d", p.settings.IP, p.settings.MetricsPort)
}

// checkLists checks that what has ended servers is refused when it comes again, once all is well, that each control host lists it then, and
// that a request runs again once an operator has lifted it. One that wasn't known after its third end, since servers ended all the
// time, may end another; how many is bounded all the same.
func (s *soak) checkLists(ctx context.Context) {
	for _, path := range s.book.found() {
		p := newPoisoner(s.fleet, s.book, s.options.Seed, 0)
		p.path = path
		if !waitFor(ctx, recoverTime, func() bool {
			return p.once(ctx)
		}) {
			s.book.broken("refuses what ends servers", path, "it is let through once all is well")
		}
	}
	want := len(s.book.found())
	for _, p := range s.fleet.controls {
		n := 0
		if !waitFor(ctx, recoverTime, func() bool {
			prints, ok := listed(ctx, p)
			n = len(prints)
			return ok && n >= want
		}) {
			s.book.broken("knows what ends servers", "", fmt.Sprintf("%s lists %d of %d requests", p.name, n, want))
		}
	}
	if want > 0 {
		s.checkLift(ctx)
	}
}

func (s *soak) checkLift(ctx context.Context) {
	prints, _ := listed(ctx, s.fleet.controls[0])
	for _, print := range prints {
		if status, _, err := call(ctx, metricsOf(s.fleet.controls[0]), hingeplatform.Call{
			Method: http.MethodDelete,
			Path:   poisonRoute + "/" + print,
		}); err != nil || status != http.StatusOK {
			s.book.broken("lets a request run again", print, fmt.Sprintf("status %d, %v", status, err))
		}
	}
	path, before := s.book.poisonFound()
	p := newPoisoner(s.fleet, s.book, s.options.Seed, 0)
	p.path = path
	if !waitFor(ctx, recoverTime, func() bool {
		p.once(ctx)
		return s.book.endedUnder(path) > before
	}) {
		s.book.broken("lets a request run again", path, "no server ended under it since it was lifted")
	}
}
