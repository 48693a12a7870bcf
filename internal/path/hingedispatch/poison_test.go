package hingedispatch

import (
	"context"
	"testing"
	"time"

	"github.com/rotisserie/eris"
	"github.com/valyala/fasthttp"

	"github.com/swifthinge/swifthinge/internal/core/hingeids"
	"github.com/swifthinge/swifthinge/internal/core/hingeverdict"
	"github.com/swifthinge/swifthinge/internal/path/hingeengine"
)

// ending is replicas of which each ends when it gets a call, and what is known of that.
type ending struct {
	sent  int
	ended int
}

func (e *ending) Replica(hingeids.Service, map[hingeids.ServerID]bool) (hingeengine.Target, error) {
	return hingeengine.Target{
		Server: "replica",
	}, nil
}

func (e *ending) Left(hingeengine.Target, error) {}

func (e *ending) Call(
	context.Context, hingeengine.Target, *fasthttp.Request, *fasthttp.Response, time.Duration,
) error {
	e.sent++
	return hingeverdict.New(hingeverdict.MayHaveRun, hingeverdict.CodeServerFailed, 0, eris.New("it ended"))
}

func (e *ending) Judge(context.Context, hingeids.Fingerprint, hingeids.Service) (bool, *hingeverdict.Error) {
	if e.ended >= 3 {
		return false, hingeverdict.New(hingeverdict.NotRun, hingeverdict.CodePoison, time.Hour, nil)
	}
	return e.ended > 0, nil
}

func (e *ending) Broke(context.Context, Broken) { e.ended++ }

func (e *ending) Passed(hingeids.Fingerprint) {}

func (e *ending) Called(*Call, time.Duration, error) {}

// A call ends each replica that runs it, and its caller sends it again and again. Of an attempt that has run somewhere nobody may be
// told that it hasn't.
func TestCallThatEndsReplicasIsSentNoMore(t *testing.T) {
	e := &ending{}
	d := &ServiceDispatcher{
		Client:   e,
		Replicas: e,
		Poisons:  e,
		Meter:    e,
		Limits:   DefaultLimits(),
		Now:      time.Now,
	}
	var verdicts []hingeverdict.Verdict
	for range 4 {
		c := &Call{
			Sent:     &fasthttp.Request{},
			Answer:   &fasthttp.Response{},
			Deadline: time.Now().Add(time.Minute),
		}
		c.Sent.Header.SetMethod(fasthttp.MethodGet)
		verdicts = append(verdicts, hingeverdict.Of(d.Do(t.Context(), c)))
	}
	if e.sent != 3 {
		t.Errorf("it was sent %d times", e.sent)
	}
	if verdicts[0] != hingeverdict.MayHaveRun || verdicts[3] != hingeverdict.NotRun {
		t.Errorf("its callers are told %v", verdicts)
	}
}
