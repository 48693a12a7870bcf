// Package hingequota decides which requests of customers fit into their quotas, counted over all hosts of a fleet. It has no
// clock, no sockets and no goroutines.
//
// The load it is made for: a customer that sends many times its usual beside others that don't; hundreds of hosts that each
// see a request of it now and then; placers that die, hosts and zones that are cut off. The harm: engines filled with
// what one customer may not have, while the others wait; or, the other way round, customers refused far below their
// quotas, because each host gives out a part that is smaller than one stream.
//
//  1. One host, the placer, counts for all. In each span of the window a customer may use its rate times the window and its
//     burst, at whatever moments of the span it likes: one that was quiet isn't held to its rate.
//  2. A request counts from the moment it is given a server. One that ends without having run is given back, and one that goes
//     on at another server counts once.
//  3. What was used is known to the hosts that sent it (Ledger). A placer that begins asks them for it; of hosts that haven't
//     told, or that have started since, it takes for granted that they have used their even part of every quota, less with
//     each moment since.
//  4. A host that falls silent while it has something to report is taken to go on out of sight: with what it has used in the window,
//     or its even part of each quota if that is more, until it has told what it did, or is forgotten.
//  5. Whoever counts without leading (a control host that hears no leader) gives out the same for the hosts that ask it,
//     and their even part of partedShare of the margin; only the latter once the others may have forgotten it (apartFor). By
//     this and rule 4 all sides of a cut together stay below quota and margin.
//  6. In the first moments after a change of placer little is known, and most customers are far below their quotas. For
//     graceTime their requests are let through. Hosts are told which customers are tight, that is, have little left or will have if they
//     go on for soon as they ask now: those wait until it is known what they have used, and a host that hears no placer lets as large a part of their requests through as before, by lot. One that
//     wasn't told of late takes all for tight.
//  7. A refusal says when there will be room, behind what was promised to those who were refused before.
//  8. A quota that is lowered is in force at once, but what was used under the higher one doesn't shut its customer out: it
//     counts in proportion.
package hingequota

import (
	"time"

	"github.com/swifthinge/swifthinge/internal/config/hingecustomers"
	"github.com/swifthinge/swifthinge/internal/core/hingeids"
)

// Terms are what quotas are judged by, the same for all customers.
type Terms struct {
	// Window is the span that is counted.
	Window time.Duration
	// Over and Slack are the margin above what the placer gives out: a share of the quota, and units.
	Over  float64
	Slack hingeids.Units
}

// StandardTerms stand where the operators say nothing.
var StandardTerms = Terms{
	Window: 8 * time.Second,
	Over:   0.1,
}

// quota is what a customer may use in a window.
func (t Terms) quota(q hingecustomers.Quota) hingeids.Units {
	return hingeids.Units(q.Rate*t.Window.Seconds()) + q.Burst
}

// margin is what may be used beside that while hosts can't hear of each other.
func (t Terms) margin(quota hingeids.Units) hingeids.Units {
	return hingeids.Units(t.Over*float64(quota)) + t.Slack
}

// ChargeID names a request for its quota, the same at whatever host it is counted.
type ChargeID uint64

// Charge is what a request would use. One without a customer uses nothing.
type Charge struct {
	ID       ChargeID          `cbor:"1,keyasint,omitempty"`
	Customer hingeids.CallerID `cbor:"2,keyasint,omitempty"`
	Cost     hingeids.Units    `cbor:"3,keyasint,omitempty"`
	// Doubtful says that the customer may have little left, going by what its host was told last (rule 6).
	Doubtful bool `cbor:"4,keyasint,omitempty"`
}

// Tight is a customer that has little of its quota left.
type Tight struct {
	Customer hingeids.CallerID `cbor:"1,keyasint"`
	// Share is the part of what it asked lately that was let through.
	Share float64 `cbor:"2,keyasint"`
}

// Free reports whether nothing is to be counted.
func (c Charge) Free() bool {
	return c.Customer == "" || c.Cost <= 0
}

// Use is a charge that counts, as it is told to another host.
type Use struct {
	Charge Charge        `cbor:"1,keyasint"`
	Age    time.Duration `cbor:"2,keyasint,omitempty"`
}

// Verdict is whether a request fits.
type Verdict struct {
	Admitted bool
	// Over says that the customer has used its quota. If it doesn't, whoever counts doesn't know enough to admit more.
	Over bool
	// RetryAfter is when there will be room.
	RetryAfter time.Duration
}

const (
	// graceTime is how long after a change of placer customers are let through that weren't tight (rule 6): hosts notice
	// within two thirds of it, and tell what they have used within the rest. A customer that isn't tight has a quarter of its quota
	// left, two seconds of its full rate and more.
	graceTime = time.Second
	// tightShare is the share of its quota from which a customer is tight.
	tightShare = 0.75
	// soon is how long hosts may go by what they were told last: until the next word, an election, and graceTime. A customer whose
	// pace would fill its quota within it is tight too, however little it has used.
	soon = 3 * time.Second
	// givenShare is the part of the margin that is given out while all hosts are heard, for a customer that comes close to its quota
	// in a burst. nearlyAll is the share of uses that may be unknown then.
	givenShare = 0.15
	nearlyAll  = 0.02
	// littleUnknown is the share of all uses that may be unknown to a placer that names the tight customers: what hosts that
	// are down for a moment have used.
	littleUnknown = 0.2
	// forgottenHold is the part of the window for which nothing of what hosts have forgotten is taken to have left it: a customer that
	// asks for more than it may uses what becomes free at once, so that its uses lie close together.
	forgottenHold = 0.28
	// partedShare is the part of the margin that is given out by hosts that count without leading. What is left of it
	// covers requests on their way, answers that are lost, and two leaders for a moment.
	partedShare = 0.5
	// unknownShare is the part of it that a leader gives out on behalf of what nobody has told it (rule 3).
	unknownShare = 0.05
	// leastRetry keeps a caller from coming back before its refusal has reached it.
	leastRetry = 100 * time.Millisecond
	// unknownRetry is when a host that hears nobody, or has just begun to count, is likely to know more: after an election
	// and the reports of all hosts.
	unknownRetry = time.Second
)
