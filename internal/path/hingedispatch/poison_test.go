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

// crashingReplicas implements the dependencies of a ServiceDispatcher whose
// replicas crash on every call.
type crashingReplicas struct {
	sent    int
	crashes int
}

func (r *crashingReplicas) Choose(hingeids.Service, map[hingeids.ServerID]bool) (hingeengine.Target, error) {
	return hingeengine.Target{
		Server: "replica",
	}, nil
}

func (r *crashingReplicas) RecordOutcome(hingeengine.Target, error) {}

func (r *crashingReplicas) Call(
	context.Context, hingeengine.Target, *fasthttp.Request, *fasthttp.Response, time.Duration,
) error {
	r.sent++
	return hingeverdict.New(hingeverdict.MayHaveRun, hingeverdict.CodeServerFailed, 0, eris.New("replica crashed"))
}

func (r *crashingReplicas) Evaluate(context.Context, hingeids.Fingerprint, hingeids.Service) (bool, *hingeverdict.Error) {
	if r.crashes >= 3 {
		return false, hingeverdict.New(hingeverdict.NotRun, hingeverdict.CodePoison, time.Hour, nil)
	}
	return r.crashes > 0, nil
}

func (r *crashingReplicas) HandleFailedExchange(context.Context, FailedExchange) { r.crashes++ }

func (r *crashingReplicas) HandleCompletion(hingeids.Fingerprint) {}

func (r *crashingReplicas) RecordCall(*Call, time.Duration, error) {}

// Guards against sending a poison call to further replicas, and against the
// verdict NotRun for a call that a replica may have run before.
func TestPoisonCallIsRefused(t *testing.T) {
	replicas := &crashingReplicas{}
	d := &ServiceDispatcher{
		Client:         replicas,
		ReplicaPool:    replicas,
		PoisonDetector: replicas,
		Meter:          replicas,
		Limits:         DefaultLimits(),
		Now:            time.Now,
	}
	var verdicts []hingeverdict.Verdict
	for range 4 {
		c := &Call{
			ReplicaRequest: &fasthttp.Request{},
			Response:       &fasthttp.Response{},
			Deadline:       time.Now().Add(time.Minute),
		}
		c.ReplicaRequest.Header.SetMethod(fasthttp.MethodGet)
		verdicts = append(verdicts, hingeverdict.Of(d.Do(t.Context(), c)))
	}
	if replicas.sent != 3 {
		t.Errorf("the call was sent %d times, want 3", replicas.sent)
	}
	if verdicts[0] != hingeverdict.MayHaveRun || verdicts[3] != hingeverdict.NotRun {
		t.Errorf("verdicts %v, want mayHaveRun first and notRun last", verdicts)
	}
}
