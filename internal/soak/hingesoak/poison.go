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

// poisonMarker is the part of the path that identifies a poison request.
const poisonMarker = "/poison-"

type poisoner struct {
	fleet   *fleet
	checker *checker
	random  *rand.Rand
	path    string
	sent    int
	client  *http.Client
}

func newPoisoner(f *fleet, c *checker, seed uint64, n int) *poisoner {
	random := rand.New(rand.NewPCG(seed, uint64(500+n)))
	route := []string{"/stream", "/safe", "/once"}[random.IntN(3)]
	return &poisoner{
		fleet:   f,
		checker: c,
		random:  random,
		path:    fmt.Sprint(route, poisonMarker, n),
		client: &http.Client{
			Timeout: maxWait,
			Transport: &http.Transport{
				DisableKeepAlives: true,
			},
		},
	}
}

func (p *poisoner) run(ctx context.Context) {
	sleepUntil(ctx, time.Now().Add(time.Duration(p.random.IntN(2000))*time.Millisecond))
	for ctx.Err() == nil {
		p.sendOne(ctx)
		sleepUntil(ctx, time.Now().Add(time.Duration(50+p.random.IntN(400))*time.Millisecond))
	}
}

// sendOne sends the request, and reports whether it was refused as a poison request.
func (p *poisoner) sendOne(ctx context.Context) bool {
	p.sent++
	entry := p.random.IntN(len(p.fleet.entries))
	address := p.fleet.entries[entry].settings.CallerAddress
	q, err := http.NewRequestWithContext(ctx, http.MethodPost, "http://"+address+p.path, strings.NewReader("body of "+p.path))
	if err != nil {
		return false
	}
	q.GetBody = nil
	q.Host = requestHost
	prompt := 0
	if strings.HasPrefix(p.path, "/stream") {
		prompt = 500
	}
	id := fmt.Sprintf("%s-%d", p.path, p.sent)
	wire.SetCallerHeaders(q.Header, id, int(maxWait.Milliseconds()), prompt)
	p.checker.recordRequest(id, entry, false)
	a, err := p.client.Do(q)
	if err != nil {
		return false
	}
	defer func() {
		_ = a.Body.Close()
	}()
	text, err := io.ReadAll(a.Body)
	return err == nil && isPoison(a.StatusCode, text)
}

func isPoison(status int, body []byte) bool {
	return status == http.StatusServiceUnavailable &&
		strings.Contains(string(body), fmt.Sprintf("(%d)", hingeverdict.CodePoison))
}

// poisonListPath is the path of the poison list at the metrics endpoint of a control host.
const poisonListPath = "/poison"

// listedFingerprints returns the fingerprints on a control host's poison list, or false if
// the host doesn't answer.
func listedFingerprints(ctx context.Context, p *process) ([]string, bool) {
	_, body, err := call(ctx, metricsAddress(p), hingeplatform.Call{
		Method: http.MethodGet,
		Path:   poisonListPath,
	})
	var list struct {
		Records []struct {
			Fingerprint string `json:"print"`
		} `json:"records"`
	}
	if err != nil || json.Unmarshal(body, &list) != nil {
		return nil, false
	}
	var out []string
	for _, r := range list.Records {
		out = append(out, r.Fingerprint)
	}
	return out, true
}

func metricsAddress(p *process) string {
	return fmt.Sprintf("%s:%d", p.settings.IP, p.settings.MetricsPort)
}

// checkLists checks after recovery that poison requests are refused, that every control host lists
// them, and that a request runs again after an operator has lifted its block. The number of servers
// that undetected requests may still crash is bounded by maxLateCrashes.
func (s *soak) checkLists(ctx context.Context) {
	for _, path := range s.checker.detectable() {
		p := newPoisoner(s.fleet, s.checker, s.options.Seed, 0)
		p.path = path
		if !waitFor(ctx, recoveryTimeout, func() bool {
			return p.sendOne(ctx)
		}) {
			s.checker.recordViolation("a poison request is refused after recovery", path, "it is still forwarded")
		}
	}
	want := len(s.checker.detectable())
	for _, p := range s.fleet.controlHosts() {
		n := 0
		if !waitFor(ctx, recoveryTimeout, func() bool {
			fingerprints, ok := listedFingerprints(ctx, p)
			n = len(fingerprints)
			return ok && n >= want
		}) {
			s.checker.recordViolation("control hosts list poison requests", "", fmt.Sprintf("%s lists %d of %d requests", p.name, n, want))
		}
	}
	if want > 0 {
		s.checkLift(ctx)
	}
}

func (s *soak) checkLift(ctx context.Context) {
	fingerprints, _ := listedFingerprints(ctx, s.fleet.controlHosts()[0])
	for _, fingerprint := range fingerprints {
		if status, _, err := call(ctx, metricsAddress(s.fleet.controlHosts()[0]), hingeplatform.Call{
			Method: http.MethodDelete,
			Path:   poisonListPath + "/" + fingerprint,
		}); err != nil || status != http.StatusOK {
			s.checker.recordViolation("a lifted request runs again", fingerprint, fmt.Sprintf("status %d, %v", status, err))
		}
	}
	path, before := s.checker.pickLifted()
	p := newPoisoner(s.fleet, s.checker, s.options.Seed, 0)
	p.path = path
	if !waitFor(ctx, recoveryTimeout, func() bool {
		p.sendOne(ctx)
		return s.checker.crashesOf(path) > before
	}) {
		s.checker.recordViolation("a lifted request runs again", path, "no server crashed under it after it was lifted")
	}
}
