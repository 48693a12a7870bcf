package hingeadmin

import (
	"bytes"
	"context"
	"encoding/json"
	"errors"
	"strconv"
	"time"

	"github.com/rotisserie/eris"
	"github.com/valyala/fasthttp"

	"github.com/swifthinge/swifthinge/internal/config/hingeinventory"
	"github.com/swifthinge/swifthinge/internal/config/hingetoml"
	"github.com/swifthinge/swifthinge/internal/core/hingeids"
	"github.com/swifthinge/swifthinge/internal/core/hingeverdict"
	"github.com/swifthinge/swifthinge/internal/observe/hingeevents"
)

func (h *Handler) change(c *fasthttp.RequestCtx) {
	now := h.Clock()
	change, err := parseChange(c.PostBody())
	if err != nil {
		respondError(c, err)
		return
	}
	problems, err := h.check(change)
	if err != nil {
		respondError(c, err)
		return
	}
	if len(problems) > 0 {
		h.recordRefusal(now, hingeevents.ChangeRefused, change, problems[0].String())
		respondFailure(c, fasthttp.StatusUnprocessableEntity, Failure{
			Code:     hingeverdict.CodeMalformed,
			Verdict:  hingeverdict.NotRun.String(),
			Error:    "the change would make the configuration invalid",
			Problems: problems,
		})
		return
	}
	h.propose(c, change, now)
}

func (h *Handler) propose(c *fasthttp.RequestCtx, change Change, now time.Time) {
	ctx, cancel := context.WithTimeout(context.Background(), proposeTimeout)
	defer cancel()
	accepted, err := h.Configuration.Propose(ctx, change, now)
	if err != nil {
		h.recordRefusal(now, hingeevents.ChangeRefused, change, err.Error())
		respondError(c, err)
		return
	}
	number := hingeevents.ChangeAccepted
	if accepted.Repeated {
		number = hingeevents.ChangeRepeated
	}
	h.Events.Record(now, number, hingeevents.Fields{
		Revision: accepted.Revision,
		Detail:   change.Operator + " " + string(change.ChangeID),
	})
	respond(c, accepted)
}

func (h *Handler) recordRefusal(now time.Time, n hingeevents.Number, change Change, reason string) {
	h.Events.Record(now, n, hingeevents.Fields{
		Revision: change.ExpectedRevision,
		Detail:   change.Operator + " " + string(change.ChangeID) + ": " + reason,
	})
}

// parseChange rejects unknown fields. A misspelt expectedRevision would otherwise be ignored, and
// the change could overwrite another operator's change.
func parseChange(body []byte) (Change, error) {
	if len(body) > MaxChangeBytes {
		return Change{}, hingeverdict.New(hingeverdict.NotRun, hingeverdict.CodeTooLarge, 0,
			eris.Errorf("change is %d bytes, limit is %d bytes", len(body), MaxChangeBytes))
	}
	d := json.NewDecoder(bytes.NewReader(body))
	d.DisallowUnknownFields()
	var change Change
	if err := d.Decode(&change); err != nil {
		return Change{}, malformed(eris.Wrap(err, "decode change"))
	}
	if d.More() {
		return Change{}, malformed(eris.New("change: unexpected data after the JSON object"))
	}
	if change.ChangeID == "" || len(change.ChangeID) > maxNameBytes || change.Operator == "" || len(change.Operator) > maxNameBytes {
		return Change{}, malformed(eris.Errorf("change: changeId and operator must each have 1 to %d bytes", maxNameBytes))
	}
	if len(change.Puts)+len(change.Deletes) == 0 {
		return Change{}, malformed(eris.New("change: puts and deletes are both empty"))
	}
	for _, path := range change.Deletes {
		if _, ok := change.Puts[path]; ok {
			return Change{}, malformed(eris.Errorf("change: path %q is in both puts and deletes", path))
		}
	}
	return change, nil
}

// maxNameBytes bounds change IDs and operator names, which the log never deletes.
const maxNameBytes = 128

func malformed(err error) error {
	return hingeverdict.New(hingeverdict.NotRun, hingeverdict.CodeMalformed, 0, err)
}

// check implements Rules 1 and 2.
func (h *Handler) check(change Change) ([]hingetoml.Problem, error) {
	if change.ExpectedRevision == 0 {
		return validateChange(nil, change), nil
	}
	base, err := h.Configuration.At(change.ExpectedRevision)
	if errors.Is(err, ErrRevisionNotRetained) {
		return nil, nil
	}
	if errors.Is(err, ErrRevisionNotApplied) {
		return nil, hingeverdict.New(hingeverdict.NotRun, hingeverdict.CodeNotReady, time.Second, err)
	}
	if err != nil {
		return nil, err
	}
	return validateChange(base.Items, change), nil
}

func validateChange(base map[string]string, change Change) []hingetoml.Problem {
	items := hingeinventory.Patch(ToItems(base), ToItems(change.Puts), change.Deletes)
	_, _, problems := hingeinventory.Join(items)
	return problems
}

// ToItems converts documents from their JSON representation.
func ToItems(documents map[string]string) hingeinventory.Items {
	items := make(hingeinventory.Items, len(documents))
	for path, d := range documents {
		items[path] = []byte(d)
	}
	return items
}

// FromItems converts documents to their JSON representation.
func FromItems(items hingeinventory.Items) map[string]string {
	documents := make(map[string]string, len(items))
	for path, d := range items {
		documents[path] = string(d)
	}
	return documents
}

func (h *Handler) configuration(c *fasthttp.RequestCtx) {
	revision, err := numberArgument(c, "revision")
	if err != nil {
		respondError(c, err)
		return
	}
	s, err := h.Configuration.At(hingeids.Revision(revision))
	switch {
	case errors.Is(err, ErrRevisionNotRetained):
		respondFailure(c, fasthttp.StatusGone, Failure{
			Code:    hingeverdict.CodeRevisionConflict,
			Verdict: hingeverdict.NotRun.String(),
			Error:   err.Error(),
		})
	case errors.Is(err, ErrRevisionNotApplied):
		respondError(c, hingeverdict.New(hingeverdict.NotRun, hingeverdict.CodeNotReady, time.Second, err))
	case err != nil:
		respondError(c, err)
	default:
		respond(c, s)
	}
}

func numberArgument(c *fasthttp.RequestCtx, name string) (uint64, error) {
	text := string(c.QueryArgs().Peek(name))
	if text == "" {
		return 0, nil
	}
	n, err := strconv.ParseUint(text, 10, 63)
	if err != nil {
		return 0, malformed(eris.Errorf("query argument %s: %q is not an unsigned 63-bit integer", name, text))
	}
	return n, nil
}
