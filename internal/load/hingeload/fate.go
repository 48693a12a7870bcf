package hingeload

// requestResult is the final result of one request over all its attempts.
type requestResult struct {
	outcome  outcome
	finding  Finding
	reply    reply
	attempts int
	refusals int
	codes    []int
}

// problem names the failure of a request, or is empty if the request was
// answered correctly or refused as not run.
func (f requestResult) problem() string {
	switch {
	case f.outcome == uncertain:
		return "uncertain"
	case f.outcome == incomplete || f.outcome == unreachable:
		return "lost"
	case f.outcome != answered:
		return ""
	}
	return [...]string{
		Correct:      "",
		Truncated:    "truncated",
		Duplicated:   "doubled",
		Misdelivered: "crossed",
	}[f.finding]
}

func (r *Result) addCase(a Arrival, f requestResult) {
	problem := f.problem()
	if problem == "" || len(r.Cases) == maxCases {
		return
	}
	c := Case{
		Class:    a.Class.Name,
		Problem:  problem,
		Request:  f.reply.requestID,
		Second:   a.ScheduledAt.Seconds(),
		Attempts: f.attempts,
		Code:     f.reply.code,
	}
	if f.reply.err != nil {
		c.Detail = f.reply.err.Error()
	}
	r.Cases = append(r.Cases, c)
}
