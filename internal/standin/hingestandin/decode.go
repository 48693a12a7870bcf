package hingestandin

import (
	"encoding/json"
	"errors"
	"io"
	"strconv"
	"sync"
	"time"

	"github.com/cespare/xxhash/v2"
	"github.com/rotisserie/eris"
	"github.com/valyala/fasthttp"

	"github.com/swifthinge/swifthinge/internal/membership/hingeannounce"
)

// unreadTimeout is how long a finished generation is kept for a reader.
const unreadTimeout = 30 * time.Second

// batchSlowdown is the relative increase of the time between tokens in a full batch.
const batchSlowdown = 0.5

// generation is one request in a decode slot, running or finished but not yet read.
type generation struct {
	digest  uint64
	chat    bool
	started time.Time
	// first is the index of the first token that this engine generates, total the
	// length of the whole answer.
	first int
	total int

	mu sync.Mutex
	// ready is the index after the last generated token.
	ready     int
	finished  bool
	cancelled bool
	// progress is closed and replaced when the fields above change.
	progress chan struct{}
	cancel   chan struct{}
}

// advance makes one more token ready and reports whether any remain.
func (g *generation) advance() (more bool) {
	g.mu.Lock()
	defer g.mu.Unlock()
	if g.ready < g.total {
		g.ready++
	}
	g.finished = g.ready == g.total
	close(g.progress)
	g.progress = make(chan struct{})
	return !g.finished
}

func (g *generation) state() (ready int, finished, cancelled bool, progress <-chan struct{}) {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.ready, g.finished, g.cancelled, g.progress
}

func (s *Server) handleCompletion(ctx *fasthttp.RequestCtx) {
	var r completionRequest
	if err := json.Unmarshal(ctx.PostBody(), &r); err != nil || r.RequestID == "" {
		replyError(ctx, fasthttp.StatusBadRequest, "malformed", false)
		return
	}
	s.updateCounts(func(c *Counts) {
		c.Requests++
	})
	if s.faults.consume(RefuseRequest) {
		replyError(ctx, fasthttp.StatusServiceUnavailable, "refused", false)
		return
	}
	if s.faults.consume(Late) {
		time.Sleep(lateDelay)
	}
	if r.Transfer != nil && r.Transfer.DoRemoteDecode {
		s.prefill(ctx, r)
		return
	}
	s.decode(ctx, r)
}

// decode holds the slot during the import, since a partial import occupies memory
// too.
func (s *Server) decode(ctx *fasthttp.RequestCtx, r completionRequest) {
	g := &generation{
		digest:   xxhash.Sum64String(r.text()),
		chat:     len(r.Messages) > 0,
		started:  time.Now(),
		first:    r.ResumeFrom,
		ready:    r.ResumeFrom,
		total:    max(r.MaxTokens, 1),
		progress: make(chan struct{}),
		cancel:   make(chan struct{}),
	}
	if !s.acquireSlot(r.RequestID, g) {
		replyError(ctx, fasthttp.StatusServiceUnavailable, "noSlot", false)
		return
	}
	if !s.importCache(r) {
		s.releaseSlot(r.RequestID, g)
		replyError(ctx, fasthttp.StatusConflict, "kvCacheGone", false)
		return
	}
	s.updateCounts(func(c *Counts) {
		c.Runs++
	})
	if s.crashIfPoisoned(r.text()) {
		return
	}
	go s.generate(r.RequestID, g)
	s.stream(ctx, r.RequestID, g, r.ResumeFrom)
}

func (s *Server) acquireSlot(id string, g *generation) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	if _, duplicate := s.running[id]; duplicate || len(s.running) >= int(s.options.Slots) {
		s.counts.SlotOverruns++
		return false
	}
	s.running[id] = g
	s.counts.MaxHeld = max(s.counts.MaxHeld, len(s.running))
	return true
}

// importCache fetches the KV cache from the prefill engine, or prefills the
// prompt locally if the request names no remote prefill.
func (s *Server) importCache(r completionRequest) bool {
	if r.Transfer == nil || !r.Transfer.DoRemotePrefill {
		s.mu.Lock()
		prompt := r.text()
		missing := CountTokens(prompt) - s.prefixes.lookupAndAdd(prompt)
		s.counts.PrefillTokens += missing
		s.mu.Unlock()
		time.Sleep(time.Duration(missing) * s.options.PrefillPerToken)
		return true
	}
	client := &fasthttp.Client{
		MaxIdemponentCallAttempts: 1,
		ReadTimeout:               5 * time.Second,
	}
	defer client.CloseIdleConnections()
	args := fasthttp.AcquireArgs()
	defer fasthttp.ReleaseArgs(args)
	args.Set("block", r.Transfer.RemoteBlockID)
	status, _, err := client.Get(nil, "http://"+r.Transfer.RemoteHost+"/v1/kv?"+args.String())
	return err == nil && status == fasthttp.StatusOK
}

func (s *Server) generate(id string, g *generation) {
	for {
		s.mu.Lock()
		occupancy := float64(len(s.running)) / float64(s.options.Slots)
		s.counts.DecodedTokens++
		s.mu.Unlock()
		tokenGap := time.Duration(float64(s.options.TokenGap) * (1 + batchSlowdown*occupancy))
		select {
		case <-g.cancel:
			return
		case <-s.done:
			return
		case <-time.After(tokenGap):
		}
		if !g.advance() {
			break
		}
	}
	time.AfterFunc(unreadTimeout, func() {
		s.releaseSlot(id, g)
	})
}

func (s *Server) releaseSlot(id string, g *generation) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.running[id] != g {
		return false
	}
	delete(s.running, id)
	return true
}

// cancel stops the generation of the request and frees its exports. It reports
// whether there were any.
func (s *Server) cancel(id string) bool {
	s.mu.Lock()
	g := s.running[id]
	var blocks []string
	for block, e := range s.exports {
		if e.requestID == id {
			blocks = append(blocks, block)
		}
	}
	s.mu.Unlock()
	for _, block := range blocks {
		s.freeExport(block, true)
	}
	if g == nil || !s.releaseSlot(id, g) {
		return len(blocks) > 0
	}
	s.updateCounts(func(c *Counts) {
		c.Cancelled++
	})
	g.mu.Lock()
	defer g.mu.Unlock()
	g.cancelled = true
	close(g.cancel)
	close(g.progress)
	g.progress = make(chan struct{})
	return true
}

func (s *Server) cancelAll() {
	s.mu.Lock()
	ids := make([]string, 0, len(s.running))
	for id := range s.running {
		ids = append(ids, id)
	}
	s.mu.Unlock()
	for _, id := range ids {
		s.cancel(id)
	}
}

// handleResume streams a generation that is still held, from the given token index.
func (s *Server) handleResume(ctx *fasthttp.RequestCtx) {
	var r completionRequest
	if err := json.Unmarshal(ctx.PostBody(), &r); err != nil {
		replyError(ctx, fasthttp.StatusBadRequest, "malformed", false)
		return
	}
	s.mu.Lock()
	g := s.running[r.RequestID]
	s.mu.Unlock()
	if g == nil || r.ResumeFrom < g.first {
		replyError(ctx, fasthttp.StatusNotFound, "unknownRequest", false)
		return
	}
	s.stream(ctx, r.RequestID, g, r.ResumeFrom)
}

func (s *Server) stream(ctx *fasthttp.RequestCtx, id string, g *generation, from int) {
	echo := id
	digest := g.digest
	if s.kind() != hingeannounce.Service && s.faults.consume(ForeignAnswer) {
		echo = "another-request.1.1"
		digest++
	}
	ctx.SetContentType("text/event-stream")
	ctx.Response.Header.Set("X-Request-Id", echo)
	half := from + (g.total-from)/2
	ctx.SetBodyStream(&tokenStream{
		server:     s,
		id:         id,
		echo:       echo,
		digest:     digest,
		generation: g,
		next:       from,
		stallAt:    indexIf(s.faults.consume(Stall), half),
		cutAt:      indexIf(s.faults.consume(CutStream), half),
		endAt:      indexIf(s.faults.consume(NoEndMark), half),
	}, -1)
}

func indexIf(set bool, index int) int {
	if set {
		return index
	}
	return -1
}

type tokenStream struct {
	server     *Server
	id         string
	echo       string
	digest     uint64
	generation *generation
	next       int
	stallAt    int
	cutAt      int
	endAt      int
	buffer     []byte
	finished   bool
}

var errStreamCut = errors.New("stream closed by an injected fault")

func (t *tokenStream) Read(p []byte) (int, error) {
	if len(t.buffer) == 0 {
		if t.finished {
			return 0, io.EOF
		}
		if err := t.fill(); err != nil {
			return 0, err
		}
	}
	n := copy(p, t.buffer)
	t.buffer = t.buffer[n:]
	return n, nil
}

// fill waits for the next token and appends its event, or the end mark, to the buffer.
func (t *tokenStream) fill() error {
	t.buffer = t.buffer[:0]
	switch t.next {
	case t.stallAt:
		<-t.server.done
		return errStreamCut
	case t.cutAt:
		return errStreamCut
	case t.endAt:
		return io.EOF
	}
	for {
		ready, finished, cancelled, progress := t.generation.state()
		switch {
		case cancelled:
			return eris.New("generation was cancelled")
		case t.next < ready:
			t.buffer = appendEvent(t.buffer, t.echo, t.next, t.digest, t.generation.chat)
			t.next++
			return nil
		case finished:
			t.buffer = append(t.buffer, "data: [DONE]\n\n"...)
			t.finished = true
			t.server.releaseSlot(t.id, t.generation)
			return nil
		}
		select {
		case <-progress:
		case <-t.server.done:
			return errStreamCut
		}
	}
}

func appendEvent(dst []byte, id string, index int, digest uint64, chat bool) []byte {
	dst = append(dst, "id: "...)
	dst = strconv.AppendInt(dst, int64(index), 10)
	dst = append(dst, "\ndata: {\"id\":\""...)
	dst = append(dst, id...)
	if chat {
		dst = append(dst, `","choices":[{"index":0,"delta":{"content":"`...)
		dst = appendToken(dst, digest, index)
		return append(dst, "\"}}]}\n\n"...)
	}
	dst = append(dst, `","choices":[{"index":0,"text":"`...)
	dst = appendToken(dst, digest, index)
	return append(dst, "\"}]}\n\n"...)
}
