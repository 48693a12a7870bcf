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

// CompletionRequest is a completion request to an engine.
type CompletionRequest struct {
	Request hingeids.RequestID
	// Path is the completion route that the caller used.
	Path string
	// Fields has the fields of the caller's body, unchanged.
	Fields   map[string]json.RawMessage
	Priority int
}

// Cache identifies KV cache that a prefill engine has exported.
type Cache struct {
	// Host is the address of the prefill engine, Block the engine's ID of the cache.
	Host  string
	Block string
	// PromptTokens is the length of the prompt, of which CachedTokens were in the
	// prefix cache.
	PromptTokens hingeids.Tokens
	CachedTokens hingeids.Tokens
}

// Prefill has a prefill engine process the prompt and export its KV cache. The idle
// timeout has to cover the time in the engine's queue and the prefill.
func (c *Client) Prefill(ctx context.Context, t Target, r CompletionRequest, idleTimeout time.Duration) (Cache, error) {
	body, err := r.body(map[string]any{
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
	x, err := c.post(ctx, t, r.Path, r.Request, body, idleTimeout, false)
	if err != nil {
		return Cache{}, err
	}
	defer x.close()
	return readPrefill(t, r.Request, x.resp.Body())
}

func readPrefill(t Target, id hingeids.RequestID, body []byte) (Cache, error) {
	var parsed struct {
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
	if err := json.Unmarshal(body, &parsed); err != nil {
		return Cache{}, hingeverdict.New(hingeverdict.MayHaveRun, hingeverdict.CodeServerFailed, 0,
			eris.Wrapf(err, "server %s: decode prefill response", t.Server))
	}
	if parsed.ID != id.String() {
		return Cache{}, wrongRequestError(t)
	}
	return Cache{
		Host:         parsed.Transfer.RemoteHost,
		Block:        parsed.Transfer.RemoteBlockID,
		PromptTokens: parsed.Usage.PromptTokens,
		CachedTokens: parsed.Usage.CachedTokens,
	}, nil
}

// Decode starts a generation and returns its stream from the token with index from.
// If cache is nil the engine also prefills. The idle timeout has to cover the transfer
// of the KV cache, and each interval between tokens.
func (c *Client) Decode(
	ctx context.Context, t Target, r CompletionRequest, cache *Cache, from int, idleTimeout time.Duration,
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
	body, err := r.body(extra)
	if err != nil {
		return nil, err
	}
	return c.stream(ctx, t, r.Path, r.Request, body, from, idleTimeout)
}

// Resume returns the stream of a generation that the engine still has, from the token
// with index from, on a new connection.
func (c *Client) Resume(
	ctx context.Context, t Target, id hingeids.RequestID, from int, idleTimeout time.Duration,
) (*Stream, error) {
	body, err := json.Marshal(struct {
		RequestID  string `json:"request_id"`
		ResumeFrom int    `json:"resume_from"`
	}{
		RequestID:  id.String(),
		ResumeFrom: from,
	})
	if err != nil {
		return nil, eris.Wrap(err, "encode resume request")
	}
	return c.stream(ctx, t, "/v1/resume", id, body, from, idleTimeout)
}

func (c *Client) stream(
	ctx context.Context, t Target, path string, id hingeids.RequestID,
	body []byte, from int, idleTimeout time.Duration,
) (*Stream, error) {
	x, err := c.post(ctx, t, path, id, body, idleTimeout, true)
	if err != nil {
		return nil, err
	}
	return &Stream{
		target:   t,
		exchange: x,
		reader:   hingerelay.NewReader(x.resp.BodyStream(), id.String(), from),
	}, nil
}

// post returns an error for a status other than 200.
func (c *Client) post(
	ctx context.Context, t Target, path string, id hingeids.RequestID,
	body []byte, idleTimeout time.Duration, stream bool,
) (*exchange, error) {
	req := fasthttp.AcquireRequest()
	defer fasthttp.ReleaseRequest(req)
	req.SetRequestURI("http://" + t.Address + path)
	req.Header.SetMethod(fasthttp.MethodPost)
	req.Header.SetContentType("application/json")
	req.Header.Set("X-Request-Id", id.String())
	req.SetBodyRaw(body)
	x, err := c.open(ctx, t, req, idleTimeout, stream)
	if err != nil {
		return nil, err
	}
	if x.resp.StatusCode() != fasthttp.StatusOK {
		defer x.close()
		sameID := string(x.resp.Header.Peek("X-Request-Id")) == id.String()
		return nil, responseError(t, sameID, x.resp.StatusCode(), readErrorBody(x))
	}
	return x, nil
}

// responseError decodes an engine's error. Its verdict is notRun only if the response
// has the request's ID, which is sameID, and says that the request didn't run.
func responseError(t Target, sameID bool, status int, body []byte) error {
	var parsed struct {
		Error struct {
			Type string `json:"type"`
			Ran  *bool  `json:"ran"`
		} `json:"error"`
	}
	verdict := hingeverdict.MayHaveRun
	if json.Unmarshal(body, &parsed) == nil && sameID && parsed.Error.Ran != nil && !*parsed.Error.Ran {
		verdict = hingeverdict.NotRun
	}
	code := hingeverdict.CodeServerRefused
	if parsed.Error.Type == "kvCacheGone" {
		code = hingeverdict.CodeCacheGone
	}
	return hingeverdict.New(verdict, code, 0,
		eris.Errorf("server %s: status %d, error type %.100s", t.Server, status, parsed.Error.Type))
}

// maxErrorBody is the maximum length of an error's body that is read, in bytes.
const maxErrorBody = 4096

// readErrorBody reads an error's body up to maxErrorBody. fasthttp's Body would read
// a stream without a limit. A response without a body has no stream.
func readErrorBody(x *exchange) []byte {
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

func wrongRequestError(t Target) error {
	return hingeverdict.New(hingeverdict.MayHaveRun, hingeverdict.CodeAnswerNotOurs, 0,
		eris.Errorf("server %s: response has the ID of another request or none", t.Server))
}

// body merges the caller's fields with those of the router, which have precedence.
func (r CompletionRequest) body(extra map[string]any) ([]byte, error) {
	fields := make(map[string]any, len(r.Fields)+len(extra)+2)
	for k, v := range r.Fields {
		fields[k] = v
	}
	for k, v := range extra {
		fields[k] = v
	}
	fields["request_id"] = r.Request.String()
	fields["priority"] = r.Priority
	b, err := json.Marshal(fields)
	return b, eris.Wrap(err, "encode engine request")
}
