// Package hingequota decides which requests of customers fit into their quotas, counted over all hosts of a fleet. It has no
// clock, no sockets and no goroutines.
//
// It handles bursts of one customer whose requests arrive at hundreds of hosts, failures of placers, and network partitions of
// hosts and zones. It keeps one customer from occupying engines beyond its quota, and avoids refusing customers far below their
// quotas, as fixed shares per host would where a share is smaller than one stream.
//
//  1. One host, the placer, counts for all. Within any window a customer may use its rate times the window plus its burst,
//     distributed in any way: an idle customer may use all of it at once.
//  2. A request counts from the moment it is placed on a server. The charge of a request that ends without having run is
//     returned, and a request that is moved to another server counts once.
//  3. The hosts that sent the requests record the usage (Ledger). A new placer requests it from them. Of hosts that haven't
//     reported it assumes that they have used their even share of every quota. The same holds for the part of the window before
//     a host started, and that assumed usage decreases as the window moves on.
//  4. A host that falls silent while it has usage to report is assumed to continue admitting requests. Until it reports or is
//     forgotten, its usage in the window keeps counting, or its even share of each quota if that is more.
//  5. A control host that receives no leader's messages counts as a substitute. It admits the same amount for the hosts that
//     query it, plus their even share of partitionMarginShare of the margin; after partitionTime, when the leader may have
//     forgotten these hosts, only the latter. With rule 4, all sides of a partition together stay within quota and margin.
//  6. For graceTime after a change of placer, when little usage is reported, requests of customers far below their quotas are
//     admitted. The placer reports to hosts which customers are near their limits: those that have little left, or will have
//     within the lookahead at their recent request rate. Their requests are refused until their usage is known. A host that no
//     placer answers admits a random sample of them, as large a share as the placer last admitted, and treats all customers as
//     near their limits if it has no recent list.
//  7. A refusal says when the request will fit, after the capacity reserved for earlier refusals.
//  8. A lowered quota applies at once. Usage under the higher quota is scaled down in proportion, so that it doesn't block the
//     customer for a whole window.
package hingequota

import (
	"time"

	"github.com/swifthinge/swifthinge/internal/config/hingecustomers"
	"github.com/swifthinge/swifthinge/internal/core/hingeids"
)

// Params are the parameters by which quotas are enforced, the same for all customers.
type Params struct {
	// Window is the length of the sliding window.
	Window time.Duration
	// Over and Slack define the margin above the quota: a share of the quota, plus a number of units.
	Over  float64
	Slack hingeids.QuotaUnits
}

// DefaultParams are the default parameters.
var DefaultParams = Params{
	Window: 8 * time.Second,
	Over:   0.1,
}

// quota returns the units that a customer may use in a window.
func (p Params) quota(q hingecustomers.Quota) hingeids.QuotaUnits {
	return hingeids.QuotaUnits(q.Rate*p.Window.Seconds()) + q.Burst
}

// margin returns the units that may be used beyond the quota during failures.
func (p Params) margin(quota hingeids.QuotaUnits) hingeids.QuotaUnits {
	return hingeids.QuotaUnits(p.Over*float64(quota)) + p.Slack
}

// ChargeID identifies a request's charge on all hosts, so that repeated reports count once.
type ChargeID uint64

// Charge is the cost of a request to its customer's quota. Without a customer it is free.
type Charge struct {
	ID       ChargeID            `cbor:"1,keyasint,omitempty"`
	Customer hingeids.CallerID   `cbor:"2,keyasint,omitempty"`
	Cost     hingeids.QuotaUnits `cbor:"3,keyasint,omitempty"`
	// NearLimit says that the customer may be near its limit, by the last list that its host received (rule 6).
	NearLimit bool `cbor:"4,keyasint,omitempty"`
}

// NearLimit is a customer near its limit.
type NearLimit struct {
	Customer hingeids.CallerID `cbor:"1,keyasint"`
	// Share is the share of its recent requests that was admitted, by cost.
	Share float64 `cbor:"2,keyasint"`
}

// Free reports whether the charge isn't counted.
func (c Charge) Free() bool {
	return c.Customer == "" || c.Cost <= 0
}

// Usage is a counted charge in a host's report.
type Usage struct {
	Charge Charge        `cbor:"1,keyasint"`
	Age    time.Duration `cbor:"2,keyasint,omitempty"`
}

// Decision is the result of Limiter.Admit or LocalLimiter.Admit.
type Decision struct {
	Admitted bool
	// Over says that the customer has used its quota. A refusal without it is due to unreported usage.
	Over bool
	// RetryAfter is the expected delay until the request fits.
	RetryAfter time.Duration
}

const (
	// graceTime is how long after a change of placer customers that weren't near their limits are admitted (rule 6), while hosts detect the
	// change and report. Such a customer has at least a quarter of its quota left, more than two seconds of its full rate.
	graceTime = time.Second
	// nearLimitShare is the used share of its quota above which a customer is near its limit.
	nearLimitShare = 0.75
	// lookahead is how long hosts may depend on the last list: a report interval, an election, and graceTime. A customer whose recent
	// rate would exceed its quota within it is near its limit too, however little it has used.
	lookahead = 3 * time.Second
	// leaderMarginShare is the share of the margin that a leader admits while all hosts report, for bursts close to the quota.
	// maxUnknown is the share of usage that may be unknown then.
	leaderMarginShare = 0.15
	maxUnknown        = 0.02
	// maxUnknownComplete is the share of usage that may be unknown to a placer whose list of customers near their limits is called
	// complete. It allows for hosts that are briefly down.
	maxUnknownComplete = 0.2
	// forgottenHold is the share of the window during which no forgotten usage is assumed to expire: a customer above its quota uses freed
	// units at once, so that its usage isn't spread evenly.
	forgottenHold = 0.28
	// partitionMarginShare is the share of the margin that substitutes and single hosts admit. The rest of the margin covers requests in
	// flight, lost responses, and a brief overlap of two leaders.
	partitionMarginShare = 0.5
	// unknownMarginShare is the share of the margin that a leader admits against unreported usage (rule 3).
	unknownMarginShare = 0.05
	minRetryAfter      = 100 * time.Millisecond
	// unknownRetryAfter is the retry delay while usage is unknown: an election and the reports of all hosts take about that long.
	unknownRetryAfter = time.Second
)
