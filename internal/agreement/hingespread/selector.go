package hingespread

import (
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/swifthinge/swifthinge/internal/agreement/hingeconfig"
	"github.com/swifthinge/swifthinge/internal/core/hingeids"
)

// State is the configuration in force on a host. A published state is immutable.
type State struct {
	View *hingeconfig.View
	// Ready is set once no earlier incarnation of the host can have applied a newer
	// revision (rule 5).
	Ready bool
	// CutOffSince is when the host found that no source with a leader responds. It is
	// zero while one does.
	CutOffSince time.Time
	// Source is the last source with a leader that responded.
	Source hingeids.HostID
}

// sourceSelector selects the source to poll and decides when this host is ready. It
// does no I/O.
type sourceSelector struct {
	state      State
	sources    []hingeids.HostID
	next       int
	avoidUntil map[hingeids.HostID]time.Time
	// recordPeers are the peers that record this host's revision (rule 6).
	recordPeers []hingeids.HostID
	// pollTime is the poll time that the last source announced.
	pollTime time.Duration
	// failures counts consecutive polls without a response from a source with a leader.
	failures int
}

func newSourceSelector(sources, recordPeers []hingeids.HostID) *sourceSelector {
	return &sourceSelector{
		state: State{
			View: &hingeconfig.View{},
		},
		sources:     sources,
		avoidUntil:  make(map[hingeids.HostID]time.Time),
		pollTime:    maxPollTime,
		recordPeers: recordPeers,
	}
}

// rankByHash orders hosts by rendezvous hashing with a key. It spreads followers evenly
// over the sources, and the followers of a failed source over all others.
func rankByHash(hosts []hingeids.HostID, key string) {
	slices.SortFunc(hosts, func(a, b hingeids.HostID) int {
		x, y := xxhash.Sum64String(string(a)+"/"+key), xxhash.Sum64String(string(b)+"/"+key)
		switch {
		case x < y:
			return -1
		case x > y:
			return 1
		}
		return 0
	})
}

// avoidTime is how long a source that didn't respond is skipped while there is
// another, because each poll of it may cost a whole timeout.
const avoidTime = 5 * time.Second

// source skips sources that failed within avoidTime, unless all did.
func (s *sourceSelector) source(now time.Time) hingeids.HostID {
	for range s.sources {
		if h := s.sources[s.next%len(s.sources)]; !now.Before(s.avoidUntil[h]) {
			return h
		}
		s.next++
	}
	return s.sources[s.next%len(s.sources)]
}

func (s *sourceSelector) handleFailure(now time.Time, from hingeids.HostID) {
	s.avoidUntil[from] = now.Add(avoidTime)
	s.next++
	s.failures++
	s.updateCutOff(now)
}

// handleResponse returns the view to apply, nil if there is nothing newer.
func (s *sourceSelector) handleResponse(now time.Time, from hingeids.HostID, resp response) *hingeconfig.View {
	// Limits the time for which a source can delay this host.
	s.pollTime = min(max(resp.PollTime, minPollTime), maxPollTime)
	if resp.HasLeader {
		s.failures = 0
		s.state.CutOffSince = time.Time{}
		s.state.Source = from
	} else {
		// Rule 3: try the next source.
		s.next++
		s.failures++
		s.updateCutOff(now)
	}
	if resp.Difference == nil {
		return nil
	}
	// Rule 4: Apply rejects older revisions.
	next, err := s.state.View.Apply(*resp.Difference)
	if err != nil || next.Revision == s.state.View.Revision {
		return nil
	}
	return next
}

func (s *sourceSelector) updateCutOff(now time.Time) {
	if s.failures >= len(s.sources) && s.state.CutOffSince.IsZero() {
		s.state.CutOffSince = now
	}
}

func (s *sourceSelector) allFailed() bool {
	return s.failures >= len(s.sources)
}

// majority returns the smallest size at which any two subsets of n record peers overlap.
// For no record peers it is 1, which is never reached.
func majority(n int) int {
	return n/2 + 1
}

// evaluateRecall implements rule 6. It returns the newest configuration that the
// peers offer, and whether this host is ready with it.
func (s *sourceSelector) evaluateRecall(responses map[hingeids.HostID]recallResponse) (*hingeconfig.View, bool) {
	newest := s.state.View
	recorded := hingeids.Revision(0)
	withRecord := 0
	for h, resp := range responses {
		if resp.HasRecord && slices.Contains(s.recordPeers, h) {
			withRecord++
		}
		recorded = max(recorded, resp.Recorded)
		if resp.Documents.To <= newest.Revision {
			continue
		}
		if next, err := newest.Apply(resp.Documents); err == nil {
			newest = next
		}
	}
	return newest, withRecord >= majority(len(s.recordPeers)) && newest.Revision >= recorded
}
