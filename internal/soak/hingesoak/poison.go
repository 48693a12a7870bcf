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

func (p *poisoner) once(ctx context.Context) {
	p.sent++
	at := p.fleet.entries[p.random.IntN(len(p.fleet.entries))].settings.CallersAt
	q, err := http.NewRequestWithContext(ctx, http.MethodPost, "http://"+at+p.path, strings.NewReader("body of "+p.path))
	if err != nil {
		return
	}
	q.GetBody = nil
	q.Host = routesHost
	prompt := 0
	if strings.HasPrefix(p.path, "/stream") {
		prompt = 500
	}
	id := fmt.Sprintf("%s-%d", p.path, p.sent)
	wire.Ask(q.Header, id, int(patience.Milliseconds()), prompt)
	p.book.asks(id, false)
	a, err := p.client.Do(q)
	if err != nil {
		return
	}
	_, _ = io.Copy(io.Discard, a.Body)
	_ = a.Body.Close()
}

// readLists checks that each control host lists what has ended servers, once all is well.
func (s *soak) readLists(ctx context.Context) {
	want := s.book.found()
	for _, p := range s.fleet.controls {
		at := fmt.Sprintf("%s:%d", p.settings.IP, p.settings.MetricsPort)
		listed := 0
		if !waitFor(ctx, recoverTime, func() bool {
			_, body, err := call(ctx, at, hingeplatform.Call{
				Method: http.MethodGet,
				Path:   "/poison",
			})
			var list struct {
				Records []struct {
					Print string `json:"print"`
				} `json:"records"`
			}
			if err != nil || json.Unmarshal(body, &list) != nil {
				return false
			}
			listed = len(list.Records)
			return listed >= want
		}) {
			s.book.broken("knows what ends servers", "", fmt.Sprintf("%s lists %d of %d requests", p.name, listed, want))
		}
	}
}
