package hingeengine

import (
	"context"
	"encoding/json"
	"net/http"

	"github.com/rotisserie/eris"
	"github.com/valyala/fasthttp"

	"github.com/swifthinge/swifthinge/internal/core/hingeids"
)

// EngineState is an engine's reported state.
type EngineState struct {
	Model          hingeids.Model `json:"model"`
	Version        string         `json:"version"`
	Adapters       []string       `json:"adapters"`
	Role           string         `json:"role"`
	Loading        bool           `json:"loading"`
	BytesRemaining hingeids.Bytes `json:"bytes_left"`
}

// Errors of SendOrder.
var (
	// ErrStaleFence means that the engine has seen a higher fencing number.
	ErrStaleFence = eris.New("the engine has seen a higher fencing number")
	// ErrOrderRefused means that the engine refused the order for another reason.
	ErrOrderRefused = eris.New("the engine refused the order")
)

// FetchState requests the state of an engine.
func (c *Client) FetchState(ctx context.Context, t Target) (EngineState, error) {
	req := fasthttp.AcquireRequest()
	defer fasthttp.ReleaseRequest(req)
	req.SetRequestURI("http://" + t.Address + "/v1/state")
	x, err := c.open(ctx, t, req, controlTimeout, false)
	if err != nil {
		return EngineState{}, err
	}
	defer x.close()
	var s EngineState
	err = json.Unmarshal(x.resp.Body(), &s)
	return s, eris.Wrapf(err, "server %s: decode engine state", t.Server)
}

// SendOrder sends an order to an engine. The body is the order's JSON with the fencing
// number in the field fence. If the context is cancelled the connection is closed, so
// that the order can't reach the engine later.
func (c *Client) SendOrder(ctx context.Context, t Target, body []byte) error {
	req := fasthttp.AcquireRequest()
	defer fasthttp.ReleaseRequest(req)
	req.SetRequestURI("http://" + t.Address + "/v1/orders")
	req.Header.SetMethod(fasthttp.MethodPost)
	req.Header.SetContentType("application/json")
	req.SetBodyRaw(body)
	x, err := c.open(ctx, t, req, controlTimeout, false)
	if err != nil {
		return err
	}
	defer x.close()
	switch x.resp.StatusCode() {
	case http.StatusOK:
		return nil
	case http.StatusConflict:
		return ErrStaleFence
	default:
		return ErrOrderRefused
	}
}
