package hingestandin

import (
	"context"
	"encoding/json"
	"time"

	"github.com/valyala/fasthttp"

	"github.com/swifthinge/swifthinge/internal/core/hingeids"
	"github.com/swifthinge/swifthinge/internal/membership/hingeannounce"
)

// Leave makes all further announcements say that the server is leaving and
// accepts no new requests.
func (s *Server) Leave() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.leaving = true
}

// announceLoop sends a heartbeat to one entry host at a time, and fails over to
// the next host if it isn't accepted.
func (s *Server) announceLoop(ctx context.Context) {
	if len(s.options.Announce) == 0 {
		return
	}
	client := &fasthttp.Client{
		ReadTimeout:               time.Second,
		WriteTimeout:              time.Second,
		MaxIdemponentCallAttempts: 1,
	}
	ticker := time.NewTicker(s.options.Heartbeat)
	defer ticker.Stop()
	host := 0
	for sequence := uint64(1); ; sequence++ {
		body, err := json.Marshal(s.announcement(sequence))
		if err != nil {
			return
		}
		for range s.options.Announce {
			if postAnnouncement(client, s.options.Announce[host%len(s.options.Announce)], body) {
				break
			}
			host++
		}
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
		}
	}
}

func postAnnouncement(client *fasthttp.Client, address string, body []byte) bool {
	req := fasthttp.AcquireRequest()
	resp := fasthttp.AcquireResponse()
	defer fasthttp.ReleaseRequest(req)
	defer fasthttp.ReleaseResponse(resp)
	req.SetRequestURI("http://" + address + "/v1/announce")
	req.Header.SetMethod(fasthttp.MethodPost)
	req.Header.SetContentType("application/json")
	req.SetBodyRaw(body)
	return client.DoTimeout(req, resp, time.Second) == nil && resp.StatusCode() < 300
}

func (s *Server) announcement(sequence uint64) hingeannounce.Announcement {
	s.mu.Lock()
	defer s.mu.Unlock()
	cacheBytes := hingeids.Bytes(0)
	for _, e := range s.exports {
		cacheBytes += e.bytes
	}
	return hingeannounce.Announcement{
		Server:      s.options.Server,
		Incarnation: s.incarnation,
		Sequence:    sequence,
		Kind:        s.options.Kind,
		Zone:        s.options.Zone,
		Address:     s.options.Listen,
		Model:       s.options.Model,
		Service:     s.options.Service,
		Slots:       s.options.Slots,
		ChecksFence: s.options.ChecksFence,
		Leaving:     s.leaving,
		Load: hingeannounce.Load{
			Running:      len(s.running),
			Queued:       s.queuedPrefills,
			QueuedTokens: s.queuedTokens,
			CacheBytes:   cacheBytes,
			CacheLimit:   hingeids.Bytes(64 << 30),
		},
	}
}
