package hingeproxy

import (
	"net/http"

	"github.com/swifthinge/swifthinge/internal/core/hingeverdict"
	"github.com/swifthinge/swifthinge/internal/decide/hingeretry"
)

// worthRepeating reports whether a server's failure is better tried elsewhere.
func (p *Proxy) worthRepeating(j *job, a *whole) bool {
	return a.response.StatusCode >= http.StatusInternalServerError && j.route.MayRepeat() &&
		j.runs < j.route.Attempts
}

// again decides whether a request is sent once more.
func (p *Proxy) again(j *job, err *hingeverdict.Error) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	if j.reserved {
		j.reserved = false
		return true
	}
	if j.ran != hingeverdict.NotRun && (!j.route.MayRepeat() || j.runs >= j.route.Attempts) {
		return false
	}
	costs := j.costs()
	if costs == 0 && j.free >= mostUnreached {
		return false
	}
	d := hingeretry.Decide(p.settings.Clock(), hingeretry.Failure{
		Err:            err,
		EarlierVerdict: j.ran,
		Attempts:       j.attempts,
		ExtraMessages:  costs,
		NeverRepeat:    !j.route.MayRepeat(),
		Deadline:       j.deadline,
	}, p.budget(j.service))
	if d.Action != hingeretry.Retry {
		return false
	}
	j.pay(costs)
	return true
}

// costs is how many arrivals at servers the next attempt adds to those that every request is
// allowed, the one that has its prompt read and the one that runs it. As many as there were, if
// it goes well: a request that has reached nobody yet costs nothing.
func (j *job) costs() int {
	return max(j.arrivals-j.paid, 0)
}

// take takes arrivals for a job from the budget.
func (p *Proxy) take(j *job, arrivals int) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	if !p.budget(j.service).Spend(p.settings.Clock(), arrivals) {
		return false
	}
	j.pay(arrivals)
	return true
}

func (j *job) pay(arrivals int) {
	j.paid += arrivals
	if arrivals == 0 {
		j.free++
	}
}
