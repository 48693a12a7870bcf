package hingequota

import (
	"cmp"
	"slices"
	"time"

	"github.com/swifthinge/swifthinge/internal/config/hingecustomers"
	"github.com/swifthinge/swifthinge/internal/core/hingeclock"
	"github.com/swifthinge/swifthinge/internal/core/hingeids"
)

const (
	// silentAfter is how long a host may say nothing before it is taken to be cut off (rule 4): it reports twice a second
	// while anything of its own is in the window. To be wrong costs little, until its next word.
	silentAfter = 800 * time.Millisecond
	// forgetAfter is how long after its last word a host is forgotten: until then one that is gone for good keeps its even part of each
	// quota from the others, 1 in 560 or in 6. Cuts that last longer come a few times a year.
	forgetAfter = 2 * time.Minute
	// apartFor is how long a side that is cut off gives out what the others leave to it: it begins to count seconds after they last heard
	// it, and has to end a window before they forget it.
	apartFor = forgetAfter - 20*time.Second
)

// owner is a host whose requests are counted.
type owner struct {
	heardAt time.Time
	// told says that it has told all that it used since it was last silent, and ever that it has told anything.
	told bool
	ever bool
	// usedAt is when a request of it counted last.
	usedAt time.Time
}

// silent reports whether it may have used what it hasn't told.
func (o *owner) silent(now time.Time) bool {
	return !o.told || now.Sub(o.heardAt) > silentAfter
}

// parted reports whether it is probably cut off and goes on out of sight: it fell silent while it had something to report.
func (o *owner) parted(now time.Time, window time.Duration) bool {
	return o.ever && o.silent(now) && o.heardAt.Sub(o.usedAt) < window-silentAfter
}

// Book counts for all hosts that ask it. It is not safe for concurrent use.
type Book struct {
	terms Terms
	hosts hosts
	// began is when this book began to count, leads whether all of each quota is its to give out.
	began    time.Time
	leads    bool
	accounts map[hingeids.CallerID]*account
	owners   map[hingeids.HostID]*owner
	// everTold counts the hosts that have told what they used, known is the sum of how long before that they knew of.
	everTold int
	known    time.Duration
	// parted counts the hosts that are probably cut off.
	parted int
	// partedAt is when some last were.
	partedAt time.Time
	// tight are the customers that have little left, by when they were seen so.
	tight map[hingeids.CallerID]time.Time
}

// NewBook makes a book that knows nothing.
func NewBook(t Terms) *Book {
	return &Book{
		terms: t,
	}
}

// Begin begins to count anew, as the leader or without one.
func (b *Book) Begin(now time.Time, leads bool) {
	b.began = now
	b.leads = leads
	b.accounts = make(map[hingeids.CallerID]*account)
	b.owners = make(map[hingeids.HostID]*owner)
	b.tight = make(map[hingeids.CallerID]time.Time)
	b.everTold = 0
	b.known = 0
	b.parted = 0
}

// End forgets everything, until Begin.
func (b *Book) End() {
	b.accounts, b.owners, b.tight = nil, nil, nil
}

// Begun reports whether the book counts, in this part.
func (b *Book) Begun(leads bool) bool {
	return b.accounts != nil && b.leads == leads
}

// Hear notes a word of a host, and reports whether the host has to tell all that it has used.
func (b *Book) Hear(now time.Time, h hingeids.HostID) (wants bool) {
	o := b.owners[h]
	if o == nil {
		o = &owner{
			heardAt: now,
		}
		b.owners[h] = o
		return true
	}
	// What a host without anything in the window has used since, it has used alone, and tells by itself.
	if now.Sub(o.heardAt) > silentAfter && o.heardAt.Sub(o.usedAt) <= b.terms.Window {
		o.told = false
	}
	o.heardAt = now
	return !o.told
}

// Tell takes all that a host has used within the window, of which it knows for so long.
func (b *Book) Tell(now time.Time, h hingeids.HostID, uses []Use, knows time.Duration) {
	b.Hear(now, h)
	byCustomer := make(map[hingeids.CallerID][]use)
	for _, u := range uses {
		if u.Charge.Free() || u.Age > b.terms.Window {
			continue
		}
		byCustomer[u.Charge.Customer] = append(byCustomer[u.Charge.Customer], use{
			id:    u.Charge.ID,
			at:    b.since(now) - int64(u.Age),
			cost:  u.Charge.Cost,
			owner: h,
		})
	}
	if len(uses) > 0 {
		b.owners[h].usedAt = now.Add(-uses[len(uses)-1].Age)
	}
	for c, list := range byCustomer {
		a := b.account(c)
		sum := a.merge(list)
		if !b.leads {
			a.basis += sum
		}
	}
	o := b.owners[h]
	if !o.told {
		o.told = true
		b.forgetSilent(h)
		b.countParted(now)
	}
	if !o.ever {
		o.ever = true
		b.known += min(knows, b.terms.Window)
		b.everTold++
	}
}

// forgetSilent forgets what a host was taken to use while it was silent.
func (b *Book) forgetSilent(h hingeids.HostID) {
	for _, a := range b.accounts {
		a.heard(h)
	}
}

// since is a time as uses have it.
func (b *Book) since(now time.Time) int64 {
	return int64(now.Sub(b.began))
}

func (b *Book) account(c hingeids.CallerID) *account {
	a := b.accounts[c]
	if a == nil {
		a = &account{}
		b.accounts[c] = a
	}
	return a
}

// Admit decides on a request of one of so many hosts, whose caller waits for so long at most. One that is admitted counts until Settle.
func (b *Book) Admit(now time.Time, c Charge, q hingecustomers.Quota, hosts int, left time.Duration) Verdict {
	if c.Free() || !q.Bounded() {
		return Verdict{
			Admitted: true,
		}
	}
	a := b.account(c.Customer)
	b.expire(now, a)
	quota := b.terms.quota(q)
	hosts = b.hosts.count(now, hosts)
	a.scale(quota)
	limit := b.limit(now, c, a, quota, hosts)
	a.asked.add(now, float64(c.Cost))
	if a.used()+c.Cost <= limit {
		a.pending += c.Cost
		a.passed.add(now, float64(c.Cost))
		b.noteTight(now, c.Customer, a, quota)
		return Verdict{
			Admitted: true,
		}
	}
	if a.used()+c.Cost <= quota {
		return Verdict{
			RetryAfter: b.knownAfter(now, c, a, quota, a.used()+c.Cost-limit, hosts),
		}
	}
	b.tight[c.Customer] = now
	return Verdict{
		Over:       true,
		RetryAfter: b.retryAfter(now, a, c.Cost, limit, left),
	}
}

// limit is what may be counted of a customer at most, with a charge of its.
func (b *Book) limit(now time.Time, c Charge, a *account, quota hingeids.Units, hosts int) hingeids.Units {
	if now.Sub(b.began) < graceTime && !c.Doubtful {
		return quota
	}
	margin := float64(b.terms.margin(quota))
	if !b.leads {
		share := min(float64(len(b.owners))/float64(max(hosts, 1)), 1)
		left := max(a.basis, hingeids.Units(share*float64(quota)))
		if now.Sub(b.began) > apartFor {
			left = 0
		}
		return min(left+hingeids.Units(share*partedShare*margin), quota)
	}
	missing, forgotten := b.unknown(now, hosts)
	if missing+forgotten < nearlyAll && b.parted == 0 && b.sure(now) {
		return quota + hingeids.Units(givenShare*margin)
	}
	unknown := max((missing+forgotten)*float64(quota)-unknownShare*margin, 0)
	silent := max(b.partedPart(hosts)*float64(quota)-float64(a.silentSum), 0)
	return quota - hingeids.Units(unknown+silent)
}

// sure reports whether this book has counted for a window without a change of placer and without hosts that were cut off.
func (b *Book) sure(now time.Time) bool {
	return now.Sub(hingeclock.Later(b.began, b.partedAt)) > b.terms.Window
}

// partedPart is the part of all hosts that are probably cut off (rule 4).
func (b *Book) partedPart(hosts int) float64 {
	return float64(b.parted) / float64(max(hosts, len(b.owners), 1))
}

// countParted counts the hosts that are probably cut off. It looks at each, and is done a few times a second.
func (b *Book) countParted(now time.Time) {
	b.parted = 0
	for _, o := range b.owners {
		if o.parted(now, b.terms.Window) {
			b.parted++
		}
	}
	if b.parted > 0 {
		b.partedAt = now
	}
}

// unknown is the share of the window's uses that nobody has told of (rule 3): what hosts that haven't told anything have used and
// may go on to use out of sight, and what those that started late have forgotten, which leaves the window with time.
func (b *Book) unknown(now time.Time, hosts int) (missing, forgotten float64) {
	all := float64(max(hosts, b.everTold, 1))
	missing = 1 - float64(b.everTold)/all
	return missing, b.forgot(hosts) * (1 - b.faded(now))
}

// forgot is the share of a window's uses that hosts had forgotten when they told what they knew.
func (b *Book) forgot(hosts int) float64 {
	all := float64(max(hosts, b.everTold, 1))
	return (float64(b.everTold) - b.known.Seconds()/b.terms.Window.Seconds()) / all
}

// faded is the share of what was forgotten that has left the window.
func (b *Book) faded(now time.Time) float64 {
	passed := now.Sub(b.began).Seconds() / b.terms.Window.Seconds()
	return max(min(passed, 1)-forgottenHold, 0) / (1 - forgottenHold)
}

// fadedAt is when such a share will have left it.
func (b *Book) fadedAt(share float64) time.Time {
	passed := forgottenHold + (1-forgottenHold)*min(share, 1)
	return b.began.Add(time.Duration(passed * float64(b.terms.Window)))
}

// knownAfter is when a request will fit that doesn't for want of knowledge: what is forgotten leaves the window at a steady pace, and those
// who were refused before come first.
func (b *Book) knownAfter(now time.Time, c Charge, a *account, quota, lacking hingeids.Units, hosts int) time.Duration {
	all := b.forgot(hosts) * float64(quota)
	if !b.leads || all <= 0 || b.faded(now) >= 1 {
		return unknownRetry
	}
	a.promisedFaded = max(b.faded(now)+float64(lacking)/all, a.promisedFaded+float64(c.Cost)/all)
	return max(b.fadedAt(a.promisedFaded).Sub(now), leastRetry)
}

// retryAfter is rule 7. Nothing is promised to a caller who can't wait for it.
func (b *Book) retryAfter(now time.Time, a *account, cost, limit hingeids.Units, left time.Duration) time.Duration {
	at, upTo, known := a.roomAt(a.used()+cost-limit, cost)
	if !known {
		return b.terms.Window
	}
	after := time.Duration(at-b.since(now)) + b.terms.Window
	if after < left {
		a.promised = upTo
	}
	return max(after, leastRetry)
}

// Settle says what became of a request that was admitted: it was given a server, or refused for want of one.
func (b *Book) Settle(now time.Time, h hingeids.HostID, c Charge, placed bool) {
	if c.Free() || b.accounts == nil {
		return
	}
	a := b.accounts[c.Customer]
	if a == nil || a.pending < c.Cost {
		// It was admitted without a bound, or before the book began anew.
		return
	}
	a.pending -= c.Cost
	if o := b.owners[h]; o != nil && placed {
		o.usedAt = now
	}
	if placed {
		a.add(use{
			id:    c.ID,
			at:    b.since(now),
			cost:  c.Cost,
			owner: h,
		})
	}
}

// Return takes a request back that was given a server and has not run.
func (b *Book) Return(c Charge) {
	if a := b.accounts[c.Customer]; a != nil {
		a.remove(c.ID)
	}
}

// expire forgets what has left the window.
func (b *Book) expire(now time.Time, a *account) {
	a.expire(b.since(now)-int64(b.terms.Window), func(h hingeids.HostID) bool {
		o := b.owners[h]
		return o != nil && o.silent(now)
	})
}

func (b *Book) noteTight(now time.Time, c hingeids.CallerID, a *account, quota hingeids.Units) {
	used := float64(a.used())
	// After a change of placer, or a loss of all power, callers come at once: their pace says little.
	settled := now.Sub(b.began) > b.terms.Window
	if used > tightShare*float64(quota) || settled && used+a.soonAsked(now) > float64(quota) {
		b.tight[c] = now
	}
}

// Tight names the customers that have little left, in order, and reports whether it knows of all, with so many hosts. In the first moments
// nobody is named: what is let through then goes by what hosts were told before, and would tell them the same again with its
// chance errors.
func (b *Book) Tight(now time.Time, hosts int) (list []Tight, all bool) {
	if now.Sub(b.began) < graceTime {
		return nil, false
	}
	out := make([]Tight, 0, len(b.tight))
	for c := range b.tight {
		t := Tight{
			Customer: c,
			Share:    1,
		}
		if a := b.accounts[c]; a != nil && a.asked.value(now) > 0 {
			t.Share = min(a.passed.value(now)/a.asked.value(now), b.soonFits(now, a)/a.soonAsked(now))
		}
		out = append(out, t)
	}
	slices.SortFunc(out, func(x, y Tight) int {
		return cmp.Compare(x.Customer, y.Customer)
	})
	missing, forgotten := b.unknown(now, b.hosts.count(now, hosts))
	return out, missing+forgotten < littleUnknown
}

// soonFits is what of a customer's requests will fit within soon.
func (b *Book) soonFits(now time.Time, a *account) float64 {
	leaving := a.before(b.since(now) - int64(b.terms.Window) + int64(soon))
	return max(float64(a.quota-a.used()+leaving), 0)
}

// Step forgets what is over: to be called a few times a second.
func (b *Book) Step(now time.Time) {
	for h, o := range b.owners {
		if now.Sub(o.heardAt) > forgetAfter {
			delete(b.owners, h)
			b.forgetSilent(h)
		}
	}
	b.countParted(now)
	for c, at := range b.tight {
		if now.Sub(at) > b.terms.Window {
			delete(b.tight, c)
		}
	}
	for c, a := range b.accounts {
		b.expire(now, a)
		if a.used() == 0 && a.basis == 0 {
			delete(b.accounts, c)
		}
	}
}
