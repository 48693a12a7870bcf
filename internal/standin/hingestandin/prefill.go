package hingestandin

import (
	"strconv"
	"time"

	"github.com/valyala/fasthttp"

	"github.com/swifthinge/swifthinge/internal/core/hingeids"
)

// export is KV cache held until a decode engine imports it.
type export struct {
	requestID string
	// tokens counts the prefilled tokens, without those from the prefix cache.
	tokens    hingeids.Tokens
	bytes     hingeids.Bytes
	createdAt time.Time
	evict     *time.Timer
}

// prefill waits in the queue, prefills the prompt and exports its KV cache.
func (s *Server) prefill(ctx *fasthttp.RequestCtx, r completionRequest) {
	prompt := r.text()
	tokens := CountTokens(prompt)
	s.mu.Lock()
	s.queuedPrefills++
	s.queuedTokens += tokens
	s.mu.Unlock()
	s.prefillSlot <- struct{}{}
	s.mu.Lock()
	cached := s.prefixes.lookupAndAdd(prompt)
	s.counts.Runs++
	s.mu.Unlock()
	time.Sleep(time.Duration(tokens-cached) * s.options.PrefillPerToken)
	<-s.prefillSlot
	id := s.addExport(r.RequestID, tokens, cached)
	reply(ctx, fasthttp.StatusOK, prefillResponse{
		ID: r.RequestID,
		Transfer: transferParams{
			DoRemotePrefill: true,
			RemoteHost:      s.options.Listen,
			RemoteBlockID:   id,
		},
		Usage: usage{
			PromptTokens: tokens,
			CachedTokens: cached,
		},
	})
}

type prefillResponse struct {
	ID       string         `json:"id"`
	Transfer transferParams `json:"kv_transfer_params"`
	Usage    usage          `json:"usage"`
}

type usage struct {
	PromptTokens hingeids.Tokens `json:"prompt_tokens"`
	CachedTokens hingeids.Tokens `json:"cached_tokens"`
}

func (s *Server) addExport(requestID string, tokens, cached hingeids.Tokens) string {
	now := time.Now()
	id := requestID + "/" + strconv.FormatInt(now.UnixNano(), 36)
	lifetime := s.options.ExportLifetime
	if s.faults.consume(EvictExport) {
		lifetime = 0
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.queuedPrefills--
	s.queuedTokens -= tokens
	s.counts.PrefillTokens += tokens - cached
	s.counts.CachedTokens += cached
	s.exports[id] = &export{
		requestID: requestID,
		tokens:    tokens - cached,
		bytes:     hingeids.Bytes(tokens) * s.options.CacheBytesPerToken,
		createdAt: now,
		evict: time.AfterFunc(lifetime, func() {
			s.freeExport(id, true)
		}),
	}
	return id
}

// freeExport frees exported KV cache, and counts its tokens as wasted if it was
// not imported. It reports whether the export still existed.
func (s *Server) freeExport(id string, wasted bool) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	e, ok := s.exports[id]
	if !ok {
		return false
	}
	e.evict.Stop()
	delete(s.exports, id)
	if wasted {
		s.counts.WastedTokens += e.tokens
	}
	return true
}

// handleExport serves the import of KV cache by a decode engine: it waits for the
// transfer time and frees the export.
func (s *Server) handleExport(ctx *fasthttp.RequestCtx) {
	id := string(ctx.QueryArgs().Peek("block"))
	s.mu.Lock()
	e, ok := s.exports[id]
	s.mu.Unlock()
	if !ok {
		replyError(ctx, fasthttp.StatusNotFound, "kvCacheGone", false)
		return
	}
	time.Sleep(time.Duration(float64(e.bytes) / float64(s.options.LinkRate) * float64(time.Second)))
	if !s.freeExport(id, false) {
		replyError(ctx, fasthttp.StatusNotFound, "kvCacheGone", false)
		return
	}
	reply(ctx, fasthttp.StatusOK, struct {
		Bytes hingeids.Bytes `json:"bytes"`
	}{
		Bytes: e.bytes,
	})
}
