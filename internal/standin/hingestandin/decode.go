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

// unreadLife is how long a finished generation waits for somebody to read it.
const unreadLife = 30 * time.Second

// batchDrag is how much a full batch lengthens the time between tokens.
const batchDrag = 0.5

// generation is one request in a decode slot.
type generation struct {
	digest  uint64
	chat    bool
	started time.Time
	first   int
	total   int

	mu       sync.Mutex
	ready    int
	ended    bool
	gone     bool
	progress chan struct{}
	cancel   chan struct{}
}

// advance makes one more token ready, or ends the generation.
func (g *generation) advance() (more bool) {
	g.mu.Lock()
	defer g.mu.Unlock()
	if g.ready < g.total {
		g.ready++
	}
	g.ended = g.ready == g.total
	close(g.progress)
	g.progress = make(chan struct{})
	return !g.ended
}

func (g *generation) state() (ready int, ended, gone bool, progress <-chan struct{}) {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.ready, g.ended, g.gone, g.progress
}

func (s *Server) handleCompletion(ctx *fasthttp.RequestCtx) {
	var r completionRequest
	if err := json.Unmarshal(ctx.PostBody(), &r); err != nil || r.RequestID == "" {
		replyError(ctx, fasthttp.StatusBadRequest, "malformed", false)
		return
	}
	s.count(func(c *Counts) {
		c.Requests++
	})
	if s.faults.take(Refuse) {
		replyError(ctx, fasthttp.StatusServiceUnavailable, "refused", false)
		return
	}
	if s.faults.take(Late) {
		time.Sleep(lateBy)
	}
	if r.Transfer != nil && r.Transfer.DoRemoteDecode {
		s.prefill(ctx, r)
		return
	}
	s.decode(ctx, r)
}

// decode takes a slot, brings the KV cache here, and streams. The slot counts
// as held from the start, since the memory of a half-finished import is held.
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
	if !s.takeSlot(r.RequestID, g) {
		replyError(ctx, fasthttp.StatusServiceUnavailable, "noSlot", false)
		return
	}
	if !s.bringCache(r) {
		s.drop(r.RequestID, g)
		replyError(ctx, fasthttp.StatusConflict, "kvCacheGone", false)
		return
	}
	s.count(func(c *Counts) {
		c.Runs++
	})
	if s.poisoned(r.text()) {
		return
	}
	go s.generate(r.RequestID, g)
	s.stream(ctx, r.RequestID, g, r.ResumeFrom)
}

func (s *Server) takeSlot(id string, g *generation) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	if _, twice := s.running[id]; twice || len(s.running) >= int(s.options.Slots) {
		s.counts.Overfull++
		return false
	}
	s.running[id] = g
	s.counts.MostHeld = max(s.counts.MostHeld, len(s.running))
	return true
}

// bringCache imports KV cache from a prefill engine, or prefills here.
func (s *Server) bringCache(r completionRequest) bool {
	if r.Transfer == nil || !r.Transfer.DoRemotePrefill {
		s.mu.Lock()
		prompt := r.text()
		missing := CountTokens(prompt) - s.prefixes.use(prompt)
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
		fill := float64(len(s.running)) / float64(s.options.Slots)
		s.counts.DecodedTokens++
		s.mu.Unlock()
		gap := time.Duration(float64(s.options.TokenGap) * (1 + batchDrag*fill))
		select {
		case <-g.cancel:
			return
		case <-s.done:
			return
		case <-time.After(gap):
		}
		if !g.advance() {
			break
		}
	}
	time.AfterFunc(unreadLife, func() {
		s.drop(id, g)
	})
}

func (s *Server) drop(id string, g *generation) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.running[id] != g {
		return false
	}
	delete(s.running, id)
	return true
}

// cancel ends whatever is held for the request.
func (s *Server) cancel(id string) bool {
	s.mu.Lock()
	g := s.running[id]
	var blocks []string
	for block, e := range s.caches {
		if e.requestID == id {
			blocks = append(blocks, block)
		}
	}
	s.mu.Unlock()
	for _, block := range blocks {
		s.dropExport(block, true)
	}
	if g == nil || !s.drop(id, g) {
		return len(blocks) > 0
	}
	s.count(func(c *Counts) {
		c.Cancelled++
	})
	g.mu.Lock()
	defer g.mu.Unlock()
	g.gone = true
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

// handleResume streams a generation that is still held, from a token index.
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
	if s.kind() != hingeannounce.Service && s.faults.take(Foreign) {
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
		stallAt:    at(s.faults.take(Stall), half),
		cutAt:      at(s.faults.take(CutStream), half),
		endAt:      at(s.faults.take(NoEndMark), half),
	}, -1)
}

func at(there bool, index int) int {
	if there {
		return index
	}
	return -1
}

// tokenStream gives the server-sent events of a generation as a body.
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
	ended      bool
}

var errCut = errors.New("stream cut by a fault")

func (t *tokenStream) Read(p []byte) (int, error) {
	if len(t.buffer) == 0 {
		if t.ended {
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

// fill waits for the next token, or writes the end mark.
func (t *tokenStream) fill() error {
	t.buffer = t.buffer[:0]
	switch t.next {
	case t.stallAt:
		<-t.server.done
		return errCut
	case t.cutAt:
		return errCut
	case t.endAt:
		return io.EOF
	}
	for {
		ready, ended, gone, progress := t.generation.state()
		switch {
		case gone:
			return eris.New("cancelled")
		case t.next < ready:
			t.buffer = appendEvent(t.buffer, t.echo, t.next, t.digest, t.generation.chat)
			t.next++
			return nil
		case ended:
			t.buffer = append(t.buffer, "data: [DONE]\n\n"...)
			t.ended = true
			t.server.drop(t.id, t.generation)
			return nil
		}
		select {
		case <-progress:
		case <-t.server.done:
			return errCut
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
