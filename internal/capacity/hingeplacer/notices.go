package hingeplacer

import (
	"sync"
	"time"

	"github.com/swifthinge/swifthinge/internal/core/hingeids"
	"github.com/swifthinge/swifthinge/internal/decide/hingenotice"
)

// noticeState is what an owner knows of the statements of servers in their answers. It has a lock of its own, since
// every answer is compared with it.
type noticeState struct {
	mu    sync.Mutex
	known hingenotice.Known
}

// RecordNotice records what a server has stated in its answer to a request sent at sentAt, and reports whether this
// changes what the host knows of it.
func (o *Owner) RecordNotice(s hingeids.Service, id hingeids.ServerID, n hingenotice.Notice, sentAt time.Time) bool {
	o.notices.mu.Lock()
	defer o.notices.mu.Unlock()
	return o.notices.known.Update(o.clock(), sentAt, s, id, n)
}
