package hingepoison

import (
	"cmp"
	"fmt"
	"slices"
	"time"

	"github.com/swifthinge/swifthinge/internal/core/hingeids"
)

const (
	// maxListed bounds the list, which every host holds. The record with the oldest Since is dropped.
	maxListed = 512
	// maxServers is the number of servers that a record names.
	maxServers = 8
)

// Record is the list entry of a poison request, which all hosts and operators read.
type Record struct {
	Fingerprint hingeids.Fingerprint `cbor:"1,keyasint"`
	Service     hingeids.Service     `cbor:"2,keyasint"`
	Caller      hingeids.CallerID    `cbor:"3,keyasint,omitempty"`
	// Servers names up to maxServers of the crashed servers, Crashes is the number of crashes.
	Servers []hingeids.ServerID `cbor:"4,keyasint,omitempty"`
	Crashes int                 `cbor:"5,keyasint"`
	// First is the time of the first crash, Since that of the refusal or the last failed probe, in Unix milliseconds.
	First        int64 `cbor:"6,keyasint"`
	Since        int64 `cbor:"7,keyasint"`
	FailedProbes int   `cbor:"8,keyasint,omitempty"`
	// Doubtful says that another request was at all the same crashes.
	Doubtful bool `cbor:"9,keyasint,omitempty"`
	// Lifted is when an operator lifted the block, in Unix milliseconds; zero if the request is refused. Earlier crashes don't count any
	// more, also if they are reported later.
	Lifted int64 `cbor:"10,keyasint,omitempty"`
	// Part says that the fingerprint is that of a part of prompts (PartsOf), so all requests with it are refused.
	Part bool `cbor:"11,keyasint,omitempty"`
}

// addCrash adds a server that crashed at a wall-clock time. finish must be called after the last one.
func (r *Record) addCrash(id hingeids.ServerID, at time.Time) {
	r.Servers = append(r.Servers, id)
	r.First = min(r.First, at.UnixMilli())
}

func (r *Record) finish() {
	slices.Sort(r.Servers)
	r.Crashes = len(r.Servers)
	r.Servers = r.Servers[:min(len(r.Servers), maxServers)]
}

// Lift returns the record that lifts the block of a request.
func Lift(today time.Time, fp hingeids.Fingerprint) Record {
	return Record{
		Fingerprint: fp,
		Since:       today.UnixMilli(),
		Lifted:      today.UnixMilli(),
	}
}

// String formats the record for the log.
func (r Record) String() string {
	what := "request"
	if r.Part {
		what = "part of prompts"
	}
	return fmt.Sprintf("%s, service %s, since %s, servers %v, doubtful %v, trials %d",
		what, r.Service, time.UnixMilli(r.First).UTC().Format(time.RFC3339Nano), r.Servers, r.Doubtful, r.FailedProbes)
}

// Wait returns the time until the next probe is allowed; zero or less if it is allowed now (rule 5). today is the wall-clock time.
func (r Record) Wait(today time.Time) time.Duration {
	wait := min(minWait<<min(r.FailedProbes, 8), maxWait)
	if r.Doubtful && r.FailedProbes == 0 {
		wait = doubtfulWait
	}
	// If the wall clock was set back, the wait must not grow.
	return min(time.UnixMilli(r.Since).Add(wait).Sub(today), wait)
}

func (r Record) afterFailedProbe(today time.Time, server hingeids.ServerID) Record {
	r.FailedProbes++
	r.Crashes++
	r.Since = today.UnixMilli()
	if len(r.Servers) < maxServers {
		r.Servers = append(slices.Clip(r.Servers), server)
	}
	return r
}

// List holds the records of refused and lifted requests, sorted by fingerprint. It is immutable.
type List struct {
	// Revision is the number of changes.
	Revision uint64   `cbor:"1,keyasint,omitempty"`
	Records  []Record `cbor:"2,keyasint,omitempty"`
}

// Find returns the record of a request, also if it is lifted.
func (l *List) Find(fp hingeids.Fingerprint) (Record, bool) {
	i, found := l.search(fp)
	if !found {
		return Record{}, false
	}
	return l.Records[i], true
}

// At returns the state of a request at a wall-clock time.
func (l *List) At(today time.Time, fp hingeids.Fingerprint) Listed {
	r, found := l.Find(fp)
	switch {
	case !found:
		return Listed{}
	case r.Lifted > 0:
		return Listed{
			Lifted:    true,
			LiftedAgo: max(today.Sub(time.UnixMilli(r.Lifted)), 0),
			LiftedAt:  r.Lifted,
		}
	}
	return Listed{
		Record:  r,
		Wait:    r.Wait(today),
		Blocked: true,
	}
}

// Refused returns the records of the requests that are refused.
func (l *List) Refused() []Record {
	return slices.DeleteFunc(slices.Clone(l.Records), func(r Record) bool {
		return r.Lifted > 0
	})
}

func (l *List) search(fp hingeids.Fingerprint) (int, bool) {
	return slices.BinarySearchFunc(l.Records, fp, func(r Record, fp hingeids.Fingerprint) int {
		return cmp.Compare(r.Fingerprint, fp)
	})
}

// With returns a copy of the list with the record, which replaces an older one of the same request.
func (l *List) With(r Record) *List {
	out := l.next()
	i, found := out.search(r.Fingerprint)
	if found {
		out.Records[i] = r
		return out
	}
	out.Records = slices.Insert(out.Records, i, r)
	if len(out.Records) > maxListed {
		oldest := 0
		for i, x := range out.Records {
			if cmp.Or(cmp.Compare(x.Since, out.Records[oldest].Since), cmp.Compare(x.Fingerprint, out.Records[oldest].Fingerprint)) < 0 {
				oldest = i
			}
		}
		out.Records = slices.Delete(out.Records, oldest, oldest+1)
	}
	return out
}

func (l *List) next() *List {
	return &List{
		Revision: l.Revision + 1,
		Records:  slices.Clone(l.Records),
	}
}
