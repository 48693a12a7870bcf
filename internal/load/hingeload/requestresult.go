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

// problem names the failure of a request as reports do, or is empty if the
// request was answered correctly or refused before it ran.
func (r requestResult) problem() string {
	switch {
	case r.outcome == uncertain:
		return "uncertain"
	case r.outcome == incomplete || r.outcome == unreachable:
		return "lost"
	case r.outcome != answered:
		return ""
	}
	return [...]string{
		Correct:      "",
		Truncated:    "truncated",
		Duplicated:   "doubled",
		Misdelivered: "crossed",
	}[r.finding]
}

func (r *Result) addCase(a Arrival, result requestResult) {
	problem := result.problem()
	if problem == "" || len(r.Cases) == maxCases {
		return
	}
	c := Case{
		Class:    a.Class.Name,
		Problem:  problem,
		Request:  result.reply.requestID,
		Second:   a.ScheduledAt.Seconds(),
		Attempts: result.attempts,
		Code:     result.reply.code,
	}
	if result.reply.err != nil {
		c.Detail = result.reply.err.Error()
	}
	r.Cases = append(r.Cases, c)
}
