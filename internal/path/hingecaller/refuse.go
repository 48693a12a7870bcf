package hingecaller

import (
	"encoding/json"
	"errors"
	"strconv"
	"time"

	"github.com/valyala/fasthttp"

	"github.com/swifthinge/swifthinge/internal/core/hingeids"
	"github.com/swifthinge/swifthinge/internal/core/hingeverdict"
)

// statuses maps verdict codes to HTTP statuses; docs/INTERFACES.md documents them.
var statuses = map[hingeverdict.Code]int{
	hingeverdict.CodeMalformed:         fasthttp.StatusBadRequest,
	hingeverdict.CodeTooLarge:          fasthttp.StatusRequestEntityTooLarge,
	hingeverdict.CodeUnknownModel:      fasthttp.StatusNotFound,
	hingeverdict.CodeUnknownService:    fasthttp.StatusNotFound,
	hingeverdict.CodeNoCustomer:        fasthttp.StatusUnauthorized,
	hingeverdict.CodePoison:            fasthttp.StatusServiceUnavailable,
	hingeverdict.CodeNoCaller:          fasthttp.StatusBadRequest,
	hingeverdict.CodeKeyMissing:        fasthttp.StatusBadRequest,
	hingeverdict.CodeKeyOtherBody:      fasthttp.StatusUnprocessableEntity,
	hingeverdict.CodeKeyInProgress:     fasthttp.StatusConflict,
	hingeverdict.CodeKeyUncertain:      fasthttp.StatusConflict,
	hingeverdict.CodeMethodNotAllowed:  fasthttp.StatusMethodNotAllowed,
	hingeverdict.CodeQueueFull:         fasthttp.StatusTooManyRequests,
	hingeverdict.CodeTargetOutOfReach:  fasthttp.StatusTooManyRequests,
	hingeverdict.CodeCallerShare:       fasthttp.StatusTooManyRequests,
	hingeverdict.CodeDeadline:          fasthttp.StatusGatewayTimeout,
	hingeverdict.CodeShuttingDown:      fasthttp.StatusServiceUnavailable,
	hingeverdict.CodeNoServer:          fasthttp.StatusServiceUnavailable,
	hingeverdict.CodeServerRefused:     fasthttp.StatusServiceUnavailable,
	hingeverdict.CodeServerFailed:      fasthttp.StatusBadGateway,
	hingeverdict.CodeServerSilent:      fasthttp.StatusGatewayTimeout,
	hingeverdict.CodeAnswerNotOurs:     fasthttp.StatusBadGateway,
	hingeverdict.CodeAnswerCut:         fasthttp.StatusBadGateway,
	hingeverdict.CodeCacheGone:         fasthttp.StatusServiceUnavailable,
	hingeverdict.CodeNoQuorum:          fasthttp.StatusServiceUnavailable,
	hingeverdict.CodeNotReady:          fasthttp.StatusServiceUnavailable,
	hingeverdict.CodeLinkDown:          fasthttp.StatusServiceUnavailable,
	hingeverdict.CodeCancelled:         fasthttp.StatusGatewayTimeout,
	hingeverdict.CodeKeeperUnreachable: fasthttp.StatusServiceUnavailable,
}

// refusal is the error object in the response body of a request that failed or
// was refused.
type refusal struct {
	Code         hingeverdict.Code `json:"code"`
	Verdict      string            `json:"verdict"`
	Message      string            `json:"message"`
	RequestID    string            `json:"requestId"`
	RetryAfterMs int64             `json:"retryAfterMs,omitempty"`
}

func refusalOf(id hingeids.RequestID, err error) (refusal, *hingeverdict.Error) {
	var v *hingeverdict.Error
	if !errors.As(err, &v) {
		v = hingeverdict.New(hingeverdict.MayHaveRun, hingeverdict.CodeServerFailed, 0, err)
	}
	return refusal{
		Code:         v.Code,
		Verdict:      v.Verdict.String(),
		Message:      v.Error(),
		RequestID:    id.String(),
		RetryAfterMs: v.RetryAfter.Milliseconds(),
	}, v
}

func refuse(ctx *fasthttp.RequestCtx, id hingeids.RequestID, err error) {
	body, v := refusalOf(id, err)
	status, ok := statuses[v.Code]
	if !ok {
		status = fasthttp.StatusInternalServerError
	}
	setAnswerHeaders(ctx, id, v.Verdict)
	if v.RetryAfter > 0 {
		seconds := (v.RetryAfter + time.Second - 1) / time.Second
		ctx.Response.Header.Set("Retry-After", strconv.FormatInt(int64(seconds), 10))
	}
	writeJSON(ctx, status, struct {
		Error refusal `json:"error"`
	}{
		Error: body,
	})
}

// setAnswerHeaders sets the headers of rule 1.
func setAnswerHeaders(ctx *fasthttp.RequestCtx, id hingeids.RequestID, v hingeverdict.Verdict) {
	ctx.Response.Header.Set("X-Request-Id", id.String())
	ctx.Response.Header.Set("X-Verdict", v.String())
}

func writeJSON(ctx *fasthttp.RequestCtx, status int, body any) {
	b, err := json.Marshal(body)
	if err != nil {
		ctx.SetStatusCode(fasthttp.StatusInternalServerError)
		return
	}
	ctx.SetStatusCode(status)
	ctx.SetContentType("application/json")
	ctx.SetBody(b)
}
