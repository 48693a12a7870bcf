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

// commonPart is a part of all prompts in runs with poison parts, poisonPart the prefix of the parts that crash servers.
const (
	commonPart = "c0ffee01"
	poisonPart = "badbad0"
)

// poisonPartOf returns the part of a prompt that crashes servers, or "".
func poisonPartOf(parts string) string {
	for part := range strings.SplitSeq(parts, ",") {
		if name, _, _ := strings.Cut(part, ":"); strings.HasPrefix(name, poisonPart) {
			return name
		}
	}
	return ""
}

type poisoner struct {
	fleet   *fleet
	checker *checker
	random  *rand.Rand
	// path is that of each request, unless part is set: then no two requests are alike, and all have that part.
	path   string
	part   string
	sent   int
	client *http.Client
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

// newPartPoisoner returns the poisoner of a part. Without a part it is the nth of the run.
func newPartPoisoner(f *fleet, c *checker, seed uint64, n int, part string) *poisoner {
	p := newPoisoner(f, c, seed, partSeeds+n)
	p.part = part
	if part == "" {
		p.part = fmt.Sprint(poisonPart, n)
	}
	return p
}

// partSeeds separates the random sources of parts from those of whole requests.
const partSeeds = 100

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
	path := p.path
	if p.part != "" {
		path = fmt.Sprintf("/stream/with-%s-%d-%d", p.part, p.sent, p.random.Uint32())
	}
	q, err := http.NewRequestWithContext(ctx, http.MethodPost, "http://"+address+path, strings.NewReader("body of "+path))
	if err != nil {
		return false
	}
	q.GetBody = nil
	q.Host = requestHost
	prompt := 0
	if strings.HasPrefix(path, "/stream") {
		prompt = 500
	}
	id := fmt.Sprintf("%s-%d", path, p.sent)
	wire.SetCallerHeaders(q.Header, id, int(maxWait.Milliseconds()), prompt)
	if p.part != "" {
		wire.SetPromptParts(q.Header, fmt.Sprintf("%s:200,%s:200,%08x:100", commonPart, p.part, p.random.Uint32()))
	}
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
	for _, part := range s.checker.detectable(true) {
		p := newPartPoisoner(s.fleet, s.checker, s.options.Seed, 0, part)
		if !waitFor(ctx, recoveryTimeout, func() bool {
			return p.sendOne(ctx)
		}) {
			s.checker.recordViolation("a part that crashes servers is refused after recovery", part, "requests with it are still forwarded")
		}
	}
	for _, path := range s.checker.detectable(false) {
		p := newPoisoner(s.fleet, s.checker, s.options.Seed, 0)
		p.path = path
		if !waitFor(ctx, recoveryTimeout, func() bool {
			return p.sendOne(ctx)
		}) {
			s.checker.recordViolation("a poison request is refused after recovery", path, "it is still forwarded")
		}
	}
	want := len(s.checker.detectable(false))
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
