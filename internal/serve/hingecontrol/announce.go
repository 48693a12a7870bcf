package hingecontrol

import (
	"sync"
	"time"

	"github.com/rotisserie/eris"

	"github.com/swifthinge/swifthinge/internal/core/hingeids"
	"github.com/swifthinge/swifthinge/internal/membership/hingeannounce"
	"github.com/swifthinge/swifthinge/internal/observe/hingeevents"
)

// Announce takes what a backend server says of itself. A server of a service that no configuration names
// is refused, so that whoever writes under the id of another changes nothing of what is held.
func (c *Control) Announce(now time.Time, a hingeannounce.Announcement) error {
	if !c.world.Load().Table().Names(a.Service) {
		return eris.Errorf("service %q isn't in the configuration", a.Service)
	}
	c.source.HandleAnnouncement(now, a)
	return nil
}

// Leave takes a backend server's word that it leaves, in an incarnation that is zero if it doesn't say it.
func (c *Control) Leave(now time.Time, id hingeids.ServerID, i hingeids.Incarnation) {
	c.source.HandleLeave(now, id, i)
}

// Refuse records an announcement that wasn't taken, bounded: another writer may send any number.
func (c *Control) Refuse(now time.Time, id hingeids.ServerID, cause error) {
	count, due := c.refusals.add(now)
	if !due {
		return
	}
	c.options.Recorder.Record(time.Now(), hingeevents.AnnouncementRefused, hingeevents.Fields{
		Server: id,
		Count:  count,
		Detail: cause.Error(),
	})
}

// refusedEvery bounds the lines on refused announcements: an operator sees that it goes on, and
// a writer that sends thousands a second doesn't fill the log.
const refusedEvery = time.Second

// refusals counts refused announcements between two lines.
type refusals struct {
	mu    sync.Mutex
	count int64
	told  time.Time
}

// add counts one, and gives how many there were since the last line if another is due.
func (r *refusals) add(now time.Time) (int64, bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.count++
	if !r.told.IsZero() && now.Sub(r.told) < refusedEvery {
		return 0, false
	}
	count := r.count
	r.count = 0
	r.told = now
	return count, true
}
