package hingeengine

import (
	"context"
	"encoding/json"
	"io"
	"time"

	"github.com/rotisserie/eris"
	"github.com/valyala/fasthttp"

	"github.com/swifthinge/swifthinge/internal/core/hingeids"
	"github.com/swifthinge/swifthinge/internal/core/hingeverdict"
	"github.com/swifthinge/swifthinge/internal/path/hingerelay"
)

// Work is what an engine is asked to do for a request.
type Work struct {
	Request hingeids.RequestID
	// Path is the completion route the caller used.
	Path string
	// Fields are the caller's own fields, handed on as they came.
	Fields   map[string]json.RawMessage
	Priority int
}

// Cache is KV cache that a prefill engine exported.
type Cache struct {
	// Host is the address of the prefill engine, Block its name for the cache.
	Host  string
	Block string
	// PromptTokens were prefilled, CachedTokens of them from the prefix cache.
	PromptTokens hingeids.Tokens
	CachedTokens hingeids.Tokens
}

// Prefill has a prefill engine work the prompt and export its KV cache.
// The silence limit covers the engine's queue and the prefill.
func (c *Client) Prefill(ctx context.Context, t Target, w Work, silence time.Duration) (Cache, error) {
	body, err := w.body(map[string]any{
		"max_tokens": 1,
		"stream":     false,
		"kv_transfer_params": struct {
			DoRemoteDecode bool `json:"do_remote_decode"`
		}{
			DoRemoteDecode: true,
		},
	})
	if err != nil {
		return Cache{}, err
	}
	x, err := c.post(ctx, t, w.Path, w.Request, body, silence, false)
	if err != nil {
		return Cache{}, err
	}
	defer x.close()
	return readPrefill(t, w.Request, x.resp.Body())
}

// readPrefill reads a prefill's answer.
func readPrefill(t Target, id hingeids.RequestID, body []byte) (Cache, error) {
	var answer struct {
		ID       string `json:"id"`
		Transfer struct {
			RemoteHost    string `json:"remote_host"`
			RemoteBlockID string `json:"remote_block_id"`
		} `json:"kv_transfer_params"`
		Usage struct {
			PromptTokens hingeids.Tokens `json:"prompt_tokens"`
			CachedTokens hingeids.Tokens `json:"cached_tokens"`
		} `json:"usage"`
	}
	if err := json.Unmarshal(body, &answer); err != nil {
		return Cache{}, hingeverdict.New(hingeverdict.MayHaveRun, hingeverdict.CodeServerFailed, 0,
			eris.Wrapf(err, "server %s: prefill answer", t.Server))
	}
	if answer.ID != id.String() {
		return Cache{}, notOurs(t)
	}
	return Cache{
		Host:         answer.Transfer.RemoteHost,
		Block:        answer.Transfer.RemoteBlockID,
		PromptTokens: answer.Usage.PromptTokens,
		CachedTokens: answer.Usage.CachedTokens,
	}, nil
}

// Decode opens the stream of an answer from the token with index from on. With
// a nil cache the engine prefills by itself. The silence limit covers the
// transfer of the KV cache and each wait between tokens.
func (c *Client) Decode(
	ctx context.Context, t Target, w Work, cache *Cache, from int, silence time.Duration,
) (*Stream, error) {
	extra := map[string]any{
		"stream":      true,
		"resume_from": from,
	}
	if cache != nil {
		extra["kv_transfer_params"] = struct {
			DoRemotePrefill bool   `json:"do_remote_prefill"`
			RemoteHost      string `json:"remote_host"`
			RemoteBlockID   string `json:"remote_block_id"`
		}{
			DoRemotePrefill: true,
			RemoteHost:      cache.Host,
			RemoteBlockID:   cache.Block,
		}
	}
	body, err := w.body(extra)
	if err != nil {
		return nil, err
	}
	return c.stream(ctx, t, w.Path, w.Request, body, from, silence)
}

// Resume opens the stream of an answer that the engine is still holding, on a
// new connection.
func (c *Client) Resume(
	ctx context.Context, t Target, id hingeids.RequestID, from int, silence time.Duration,
) (*Stream, error) {
	body, err := json.Marshal(struct {
		RequestID  string `json:"request_id"`
		ResumeFrom int    `json:"resume_from"`
	}{
		RequestID:  id.String(),
		ResumeFrom: from,
	})
	if err != nil {
		return nil, eris.Wrap(err, "resume")
	}
	return c.stream(ctx, t, "/v1/resume", id, body, from, silence)
}

func (c *Client) stream(
	ctx context.Context, t Target, path string, id hingeids.RequestID,
	body []byte, from int, silence time.Duration,
) (*Stream, error) {
	x, err := c.post(ctx, t, path, id, body, silence, true)
	if err != nil {
		return nil, err
	}
	return &Stream{
		target:   t,
		exchange: x,
		reader:   hingerelay.NewReader(x.resp.BodyStream(), id.String(), from),
	}, nil
}

// post makes an exchange, and turns an answer other than 200 into an error.
func (c *Client) post(
	ctx context.Context, t Target, path string, id hingeids.RequestID,
	body []byte, silence time.Duration, stream bool,
) (*exchange, error) {
	req := fasthttp.AcquireRequest()
	defer fasthttp.ReleaseRequest(req)
	req.SetRequestURI("http://" + t.Address + path)
	req.Header.SetMethod(fasthttp.MethodPost)
	req.Header.SetContentType("application/json")
	req.Header.Set("X-Request-Id", id.String())
	req.SetBodyRaw(body)
	x, err := c.open(ctx, t, req, silence, stream)
	if err != nil {
		return nil, err
	}
	if x.resp.StatusCode() != fasthttp.StatusOK {
		defer x.close()
		ours := string(x.resp.Header.Peek("X-Request-Id")) == id.String()
		return nil, refusal(t, ours, x.resp.StatusCode(), boundedBody(x))
	}
	return x, nil
}

// refusal reads an engine's error. It proves that nothing ran only if it
// echoes the request's id, which ours tells, and says so.
func refusal(t Target, ours bool, status int, body []byte) error {
	var answer struct {
		Error struct {
			Type string `json:"type"`
			Ran  *bool  `json:"ran"`
		} `json:"error"`
	}
	verdict := hingeverdict.MayHaveRun
	if json.Unmarshal(body, &answer) == nil && ours && answer.Error.Ran != nil && !*answer.Error.Ran {
		verdict = hingeverdict.NotRun
	}
	code := hingeverdict.CodeServerRefused
	if answer.Error.Type == "kvCacheGone" {
		code = hingeverdict.CodeCacheEvicted
	}
	return hingeverdict.New(verdict, code, 0,
		eris.Errorf("server %s: status %d, %.100s", t.Server, status, answer.Error.Type))
}

// maxErrorBody bounds an error's body, in bytes.
const maxErrorBody = 4096

// boundedBody reads an error's body. The library's Body would read a stream
// without bound, and a status without a body has no stream.
func boundedBody(x *exchange) []byte {
	if !x.resp.StreamBody {
		return x.resp.Body()
	}
	stream := x.resp.BodyStream()
	if stream == nil {
		return nil
	}
	body, _ := io.ReadAll(io.LimitReader(stream, maxErrorBody))
	return body
}

func notOurs(t Target) error {
	return hingeverdict.New(hingeverdict.MayHaveRun, hingeverdict.CodeAnswerMismatch, 0,
		eris.Errorf("server %s: answer of another request", t.Server))
}

// body joins the caller's fields with what the engine has to know.
func (w Work) body(extra map[string]any) ([]byte, error) {
	fields := make(map[string]any, len(w.Fields)+len(extra)+2)
	for k, v := range w.Fields {
		fields[k] = v
	}
	for k, v := range extra {
		fields[k] = v
	}
	fields["request_id"] = w.Request.String()
	fields["priority"] = w.Priority
	b, err := json.Marshal(fields)
	return b, eris.Wrap(err, "engine request")
}
