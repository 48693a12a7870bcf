package hingecommand

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"net"
	"syscall"
	"time"

	"github.com/rotisserie/eris"
	"github.com/valyala/fasthttp"

	"github.com/swifthinge/swifthinge/internal/operate/hingeadmin"
)

// callTimeout bounds a call to an entry host. It is longer than a host waits for
// a quorum, so that the response states the outcome instead of a client timeout.
const callTimeout = 12 * time.Second

// dialTimeout bounds the time that a command loses to an unreachable host.
const dialTimeout = 2 * time.Second

// maxResponseBytes is larger than all events that a process retains.
const maxResponseBytes = 64 << 20

type client struct {
	http *fasthttp.Client
}

func newClient() *client {
	return &client{
		http: &fasthttp.Client{
			// Disables retries by the library. Rules 2 and 3 define the retries.
			MaxIdemponentCallAttempts: 1,
			MaxResponseBodySize:       maxResponseBytes,
			Dial: func(address string) (net.Conn, error) {
				return fasthttp.DialTimeout(address, dialTimeout)
			},
		},
	}
}

func (c *client) close() {
	c.http.CloseIdleConnections()
}

// refusedError is an error response of an entry host.
type refusedError struct {
	hingeadmin.Failure
	status  int
	address string
}

func (e *refusedError) Error() string {
	return fmt.Sprintf("%s answered %d: %s (code %d, %s)", e.address, e.status, e.Failure.Error, e.Code, e.Verdict)
}

// final reports whether a retry would return the same error.
func (e *refusedError) final() bool {
	return e.status < fasthttp.StatusInternalServerError
}

func (c *client) call(method, address, path string, body, result any) error {
	request := fasthttp.AcquireRequest()
	defer fasthttp.ReleaseRequest(request)
	response := fasthttp.AcquireResponse()
	defer fasthttp.ReleaseResponse(response)
	request.Header.SetMethod(method)
	request.SetRequestURI("http://" + address + path)
	if body != nil {
		b, err := json.Marshal(body)
		if err != nil {
			return eris.Wrap(err, "encode request")
		}
		request.Header.SetContentType("application/json")
		request.SetBody(b)
	}
	if err := c.http.DoTimeout(request, response, callTimeout); err != nil {
		return eris.Wrapf(err, "no answer from %s", address)
	}
	if response.StatusCode() != fasthttp.StatusOK {
		return newRefusedError(address, response)
	}
	if err := json.Unmarshal(response.Body(), result); err != nil {
		return eris.Wrapf(err, "decode response of %s to %s", address, path)
	}
	return nil
}

func newRefusedError(address string, response *fasthttp.Response) error {
	e := &refusedError{
		status:  response.StatusCode(),
		address: address,
	}
	if err := json.Unmarshal(response.Body(), &e.Failure); err != nil {
		e.Failure.Error = "response body is not a swifthinge error; check that this is the operators' address"
	}
	return e
}

func (c *client) get(address, path string, result any) error {
	return c.call(fasthttp.MethodGet, address, path, nil, result)
}

func (c *client) post(address, path string, body, result any) error {
	return c.call(fasthttp.MethodPost, address, path, body, result)
}

// getAny queries the entry hosts in order until one responds with success, and
// returns its address. A final error is returned without querying further hosts.
func (c *client) getAny(ctx context.Context, entries []string, path string, result any) (string, error) {
	var lastErr error
	for _, address := range entries {
		if ctx.Err() != nil {
			break
		}
		err := c.get(address, path, result)
		if err == nil {
			return address, nil
		}
		lastErr = err
		if isFinal(err) {
			break
		}
	}
	if lastErr == nil {
		lastErr = eris.Wrap(ctx.Err(), "no entry host was queried")
	}
	return "", lastErr
}

func isFinal(err error) bool {
	var r *refusedError
	return errors.As(err, &r) && r.final()
}

func isRevisionNotRetained(err error) bool {
	var r *refusedError
	return errors.As(err, &r) && r.status == fasthttp.StatusGone
}

// sleep returns false if the context ends first.
func sleep(ctx context.Context, d time.Duration) bool {
	timer := time.NewTimer(d)
	defer timer.Stop()
	select {
	case <-ctx.Done():
		return false
	case <-timer.C:
		return true
	}
}

// A refused connection proves that no request was sent.
func isConnectionRefused(err error) bool {
	var op *net.OpError
	return errors.As(err, &op) && op.Op == "dial" && errors.Is(err, syscall.ECONNREFUSED)
}
