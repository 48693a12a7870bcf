package hingeengine

import (
	"context"
	"encoding/json"
	"time"

	"github.com/rotisserie/eris"
	"github.com/valyala/fasthttp"

	"github.com/swifthinge/swifthinge/internal/core/hingeids"
	"github.com/swifthinge/swifthinge/internal/core/hingeverdict"
	"github.com/swifthinge/swifthinge/internal/decide/hingenotice"
)

// controlTimeout is the idle timeout of control requests, such as cancels and lists
// of allocations. Engines serve them from memory.
const controlTimeout = time.Second

// CancelResult is the result of a cancel.
type CancelResult struct {
	// Aborted is whether the engine had allocations for the request and released them.
	Aborted bool
	// Incarnation is the incarnation of the engine that responded.
	Incarnation hingeids.Incarnation
}

// Cancel has an engine release all its allocations for the request.
func (c *Client) Cancel(ctx context.Context, t Target, id hingeids.RequestID) (CancelResult, error) {
	body, err := json.Marshal(struct {
		RequestID string `json:"rid"`
	}{
		RequestID: id.String(),
	})
	if err != nil {
		return CancelResult{}, eris.Wrap(err, "encode cancel request")
	}
	x, err := c.post(ctx, t, "/abort_request", id, body, controlTimeout, false)
	if err != nil {
		return CancelResult{}, err
	}
	defer x.close()
	var parsed struct {
		Aborted     bool                 `json:"aborted"`
		Incarnation hingeids.Incarnation `json:"incarnation"`
	}
	if err := json.Unmarshal(x.resp.Body(), &parsed); err != nil {
		return CancelResult{}, eris.Wrapf(err, "server %s: decode response to a cancel", t.Server)
	}
	return CancelResult{
		Aborted:     parsed.Aborted,
		Incarnation: parsed.Incarnation,
	}, nil
}

// The kinds of an engine's allocations.
const (
	KindGeneration = "generation"
	KindExport     = "export"
	KindImport     = "import"
)

// Allocation is an allocation of an engine for a request.
type Allocation struct {
	Request hingeids.RequestID
	// Kind is one of KindGeneration, KindExport and KindImport.
	Kind string
	// Age is the time since the allocation was made.
	Age time.Duration
}

// ListAllocations lists an engine's allocations and returns its incarnation. Allocations whose
// ID isn't a valid request ID are omitted.
func (c *Client) ListAllocations(ctx context.Context, t Target) ([]Allocation, hingeids.Incarnation, error) {
	req := fasthttp.AcquireRequest()
	defer fasthttp.ReleaseRequest(req)
	req.SetRequestURI("http://" + t.Address + "/v1/held")
	x, err := c.open(ctx, t, req, controlTimeout, false)
	if err != nil {
		return nil, 0, err
	}
	defer x.close()
	return readAllocations(t, x.resp.Body())
}

func readAllocations(t Target, body []byte) ([]Allocation, hingeids.Incarnation, error) {
	var parsed struct {
		Incarnation hingeids.Incarnation `json:"incarnation"`
		Held        []struct {
			RequestID string `json:"request_id"`
			Kind      string `json:"kind"`
			AgeMillis int64  `json:"age_ms"`
		} `json:"held"`
	}
	if err := json.Unmarshal(body, &parsed); err != nil {
		return nil, 0, eris.Wrapf(err, "server %s: decode list of allocations", t.Server)
	}
	var items []Allocation
	for _, h := range parsed.Held {
		id, err := hingeids.ParseRequestID(h.RequestID)
		if err != nil {
			continue
		}
		items = append(items, Allocation{
			Request: id,
			Kind:    h.Kind,
			Age:     time.Duration(h.AgeMillis) * time.Millisecond,
		})
	}
	return items, parsed.Incarnation, nil
}

// Call forwards a caller's request to a replica of a plain service and copies the
// response to resp. The request must have an X-Request-Id header.
func (c *Client) Call(
	ctx context.Context, t Target, req *fasthttp.Request, resp *fasthttp.Response, idleTimeout time.Duration,
) error {
	id := string(req.Header.Peek("X-Request-Id"))
	x, err := c.open(ctx, t, req, idleTimeout, false)
	if err != nil {
		return err
	}
	defer x.close()
	if string(x.resp.Header.Peek("X-Request-Id")) != id {
		return wrongRequestError(t)
	}
	if x.resp.StatusCode() == fasthttp.StatusServiceUnavailable {
		var parsed struct {
			Error struct {
				Ran *bool `json:"ran"`
			} `json:"error"`
		}
		if json.Unmarshal(x.resp.Body(), &parsed) == nil && parsed.Error.Ran != nil && !*parsed.Error.Ran {
			return refusal(t, x.resp.Header.Peek("Retry-After"))
		}
	}
	x.resp.CopyTo(resp)
	return nil
}

// refusal returns the error of a request that a replica refused. Its RetryAfter is the time for which the replica wants
// no requests of this host.
func refusal(t Target, retryAfter []byte) error {
	var values []string
	if len(retryAfter) > 0 {
		values = append(values, string(retryAfter))
	}
	backoff, err := hingenotice.ParseBackoff(values)
	cause := eris.Errorf("server %s refused the request without running it", t.Server)
	if err != nil {
		cause = eris.Wrapf(err, "server %s refused the request without running it", t.Server)
	}
	return hingeverdict.New(hingeverdict.NotRun, hingeverdict.CodeServerRefused, backoff, cause)
}
