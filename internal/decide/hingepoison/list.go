package hingepoison

import (
	"cmp"
	"fmt"
	"slices"
	"time"

	"github.com/swifthinge/swifthinge/internal/core/hingeids"
)

const (
	// mostListed bounds the list, which every host holds: 150 bytes each. The one that was found first falls out.
	mostListed = 512
	// mostServers is how many servers a record names.
	mostServers = 8
)

// Record is a request that was found to end servers, as operators and all hosts read it.
type Record struct {
	Print   hingeids.Print    `cbor:"1,keyasint"`
	Service hingeids.Service  `cbor:"2,keyasint"`
	Caller  hingeids.CallerID `cbor:"3,keyasint,omitempty"`
	// Servers are some of those that ended, Ended is how many did.
	Servers []hingeids.ServerID `cbor:"4,keyasint,omitempty"`
	Ended   int                 `cbor:"5,keyasint"`
	// First is when the first ended, Since from when on it is refused or was tried in vain last, in milliseconds of the time of day.
	First int64 `cbor:"6,keyasint"`
	Since int64 `cbor:"7,keyasint"`
	// Trials counts the trials in vain.
	Trials int `cbor:"8,keyasint,omitempty"`
	// Doubtful says that another request was at all the same ends.
	Doubtful bool `cbor:"9,keyasint,omitempty"`
	// Lifted is when the request was let through again, in the same milliseconds; zero if it is refused. What was before doesn't count
	// any more, whoever tells it.
	Lifted int64 `cbor:"10,keyasint,omitempty"`
}

// Lift gives the record that lets a request through again.
func Lift(today time.Time, p hingeids.Print) Record {
	return Record{
		Print:  p,
		Since:  today.UnixMilli(),
		Lifted: today.UnixMilli(),
	}
}

// String names the service and the servers, for the log.
func (r Record) String() string {
	return fmt.Sprintf("service %s, since %s, servers %v, doubtful %v, trials %d",
		r.Service, time.UnixMilli(r.First).UTC().Format(time.RFC3339Nano), r.Servers, r.Doubtful, r.Trials)
}

// Wait is how long after today the request is due to be tried again; zero or less if it is (rule 5).
func (r Record) Wait(today time.Time) time.Duration {
	wait := min(shortestWait<<min(r.Trials, 8), longestWait)
	if r.Doubtful && r.Trials == 0 {
		wait = doubtfulWait
	}
	// A time of day that was set back must not make it wait for longer than that.
	return min(time.UnixMilli(r.Since).Add(wait).Sub(today), wait)
}

// again gives the record after a trial in vain.
func (r Record) again(today time.Time, server hingeids.ServerID) Record {
	r.Trials++
	r.Ended++
	r.Since = today.UnixMilli()
	if len(r.Servers) < mostServers {
		r.Servers = append(slices.Clip(r.Servers), server)
	}
	return r
}

// List is the requests that are refused, by print. Its values are not changed once made.
type List struct {
	// Revision counts the changes.
	Revision uint64   `cbor:"1,keyasint,omitempty"`
	Records  []Record `cbor:"2,keyasint,omitempty"`
}

// Find gives the record of a request.
func (l *List) Find(p hingeids.Print) (Record, bool) {
	i, found := l.search(p)
	if !found {
		return Record{}, false
	}
	return l.Records[i], true
}

// At gives what the list says of a request at a time of day.
func (l *List) At(today time.Time, p hingeids.Print) Listed {
	r, there := l.Find(p)
	switch {
	case !there:
		return Listed{}
	case r.Lifted > 0:
		return Listed{
			Lifted:    true,
			LiftedAgo: max(today.Sub(time.UnixMilli(r.Lifted)), 0),
		}
	}
	return Listed{
		Record: r,
		Wait:   r.Wait(today),
		There:  true,
	}
}

// Refused gives the records of the requests that are refused.
func (l *List) Refused() []Record {
	return slices.DeleteFunc(slices.Clone(l.Records), func(r Record) bool {
		return r.Lifted > 0
	})
}

func (l *List) search(p hingeids.Print) (int, bool) {
	return slices.BinarySearchFunc(l.Records, p, func(r Record, p hingeids.Print) int {
		return cmp.Compare(r.Print, p)
	})
}

// With gives the list with a record, in the place of an older one of the same request.
func (l *List) With(r Record) *List {
	out := l.next()
	i, found := out.search(r.Print)
	if found {
		out.Records[i] = r
		return out
	}
	out.Records = slices.Insert(out.Records, i, r)
	if len(out.Records) > mostListed {
		oldest := 0
		for i, x := range out.Records {
			if cmp.Or(cmp.Compare(x.Since, out.Records[oldest].Since), cmp.Compare(x.Print, out.Records[oldest].Print)) < 0 {
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
