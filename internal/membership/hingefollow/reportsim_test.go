package hingefollow

import (
	"context"
	"fmt"
	"math/rand/v2"
	"testing"
	"testing/synctest"
	"time"

	"github.com/swifthinge/swifthinge/internal/core/hingeids"
	"github.com/swifthinge/swifthinge/internal/link/hingefake"
	"github.com/swifthinge/swifthinge/internal/link/hingelink"
	"github.com/swifthinge/swifthinge/internal/membership/hingeannounce"
)

const (
	reportInterval = 1200 * time.Millisecond
	// reportTimeout is the time without acknowledgement after which a server reports to the next control host.
	reportTimeout = time.Second
	reportStep    = 20 * time.Millisecond
	cleanupStep   = 250 * time.Millisecond
	// Disturbances begin within disturbedTime after quietTime.
	quietTime      = 6 * time.Second
	disturbedTime  = 9 * time.Second
	maxReportDelay = 8 * time.Second
	maxOutage      = 12 * time.Second
	// reconnectTime is how long a follower may wait for a response of a host that was cut off or stopped.
	reconnectTime = longPollTime + responseGrace
	// usedAfter is the time after the last disturbance within which all hosts use all servers that report: two reports,
	// and the exchanges by which they spread.
	usedAfter = 2*reportInterval + time.Second
	// maxDetection is the longest silence that the settings permit, and the exchanges by which its end spreads.
	maxDetection = 10*time.Second + time.Second
	observedTime = 14 * time.Second
)

// reportPlan says which disturbances a schedule may contain.
type reportPlan struct {
	controls, entries, servers                                   int
	late, copies, cuts, pauses, wipes, crashes, leaves, restarts bool
}

// reportSim plays control hosts and entry hosts with their directories, digests and long polls under a fake clock.
// Servers report to control hosts: one after the other until one acknowledges, and then to that one. A schedule drawn
// from a seed disturbs reports, servers and hosts.
type reportSim struct {
	cluster
	plan     reportPlan
	random   *rand.Rand
	begun    time.Time
	now      time.Time
	controls []*reportControl
	entries  []*directory
	servers  []*reportServer
	events   []reportEvent
	inFlight []*report
	// lateShare and copyShare are the shares of reports in the disturbed time that are late and that arrive once more.
	lateShare, copyShare float64
	// calmAt is when the last disturbance ends, agreedAt when all hosts began to say the same.
	calmAt   time.Time
	agreedAt time.Time
	// unusedTime adds up over servers that report and hosts how long a server wasn't used.
	unusedTime time.Duration
	faults     []string
}

type reportEvent struct {
	at time.Time
	do func()
}

type reportControl struct {
	*testControl
	id          hingeids.HostID
	incarnation hingeids.Incarnation
	stop        context.CancelFunc
	done        <-chan struct{}
	down        bool
	paused      bool
	steppedAt   time.Time
	// held are the reports that arrived while the host was paused.
	held []*report
}

type reportServer struct {
	id          hingeids.ServerID
	incarnation hingeids.Incarnation
	sequence    uint64
	target      int
	nextReport  time.Time
	// waiting is the report whose acknowledgement the server waits for.
	waiting *report
	crashed bool
	leaving bool
	// goneAt is when its last report as a usable server arrived after it crashed, or when its leaving was acknowledged.
	goneAt time.Time
}

type report struct {
	server *reportServer
	body   hingeannounce.Announcement
	to     int
	sentAt time.Time
	at     time.Time
	// repeated is set for a copy, whose acknowledgement nobody waits for.
	repeated bool
}

func playReports(t *testing.T, seed uint64, plan reportPlan) *reportSim {
	t.Helper()
	s := &reportSim{
		plan:   plan,
		random: rand.New(rand.NewPCG(seed, 54)),
	}
	synctest.Test(t, func(t *testing.T) {
		ctx, stop := context.WithCancel(context.Background())
		s.cluster = cluster{
			t:       t,
			network: hingefake.NewNetwork(),
			ctx:     ctx,
			stop:    stop,
			hosts:   make(map[hingeids.HostID]*testControl),
			links:   make(map[hingeids.HostID]hingelink.Link),
		}
		s.begun = time.Now()
		s.now = s.begun
		s.build()
		s.draw()
		s.play()
		stop()
		for _, c := range s.controls {
			c.stop()
			<-c.done
		}
		for _, f := range s.followers {
			<-f.Done()
		}
	})
	return s
}

func (s *reportSim) build() {
	for i := range s.plan.controls {
		s.controls = append(s.controls, &reportControl{
			id:        hingeids.HostID(fmt.Sprintf("control-%02d", i)),
			steppedAt: s.now.Add(-s.within(cleanupStep)),
		})
	}
	for _, c := range s.controls {
		s.startControl(c)
	}
	for i := range s.plan.entries {
		s.startEntry(hingeids.HostID(fmt.Sprint("entry-", i)))
	}
	for i := range s.plan.servers {
		s.servers = append(s.servers, &reportServer{
			id:          hingeids.ServerID(fmt.Sprint("server-", i)),
			incarnation: 1,
			target:      s.random.IntN(s.plan.controls),
			nextReport:  s.now.Add(s.within(reportInterval)),
		})
	}
}

// startControl starts a control host with an empty directory.
func (s *reportSim) startControl(c *reportControl) {
	c.incarnation++
	c.down = false
	var members []hingeids.HostID
	for _, x := range s.controls {
		members = append(members, x.id)
	}
	c.testControl = s.start(c.id, c.incarnation)
	c.source.SetHeartbeatInterval(reportInterval)
	c.setStatus(GroupStatus{
		Leader:    members[0],
		Term:      1,
		Members:   members,
		HasLeader: true,
	})
	c.accept(1)
	var ctx context.Context
	ctx, c.stop = context.WithCancel(s.ctx)
	f := New(Settings{
		Self:      c.id,
		Clock:     time.Now,
		OnRecords: c.source.Merge,
		Holds:     c.source.Holds,
	}, s.links[c.id], members)
	c.done = f.Done()
	go func() {
		_ = f.Run(ctx)
	}()
}

func (s *reportSim) startEntry(id hingeids.HostID) {
	d := &directory{
		records: hingeannounce.NewDirectory(id),
	}
	s.entries = append(s.entries, d)
	f := New(Settings{
		Self:      id,
		EntryHost: true,
		Clock:     time.Now,
		OnRecords: d.addRecords,
		Holds:     d.holds,
		Lacked:    d.lacked,
	}, s.network.Link(id), []hingeids.HostID{s.controls[0].id})
	s.followers = append(s.followers, f)
	go func() {
		_ = f.Run(s.ctx)
	}()
}

// moment returns a random time within the disturbed time.
func (s *reportSim) moment() time.Time {
	return s.begun.Add(quietTime + s.within(disturbedTime))
}

func (s *reportSim) disturbed() bool {
	t := s.now.Sub(s.begun)
	return t >= quietTime && t < quietTime+disturbedTime
}

func (s *reportSim) disturbedUntil(at time.Time) {
	if at.After(s.calmAt) {
		s.calmAt = at
	}
}

func (s *reportSim) schedule(at time.Time, do func()) {
	s.events = append(s.events, reportEvent{
		at: at,
		do: do,
	})
}

func (s *reportSim) draw() {
	s.calmAt = s.begun.Add(quietTime + disturbedTime)
	if s.plan.late {
		s.lateShare = s.random.Float64()
	}
	if s.plan.copies {
		s.copyShare = s.random.Float64()
	}
	if s.plan.cuts {
		for range s.random.IntN(4) {
			s.drawCut()
		}
	}
	for _, c := range s.controls {
		switch draw := s.random.IntN(6); {
		case draw == 0 && s.plan.pauses:
			s.drawPause(c)
		case draw == 1 && s.plan.wipes:
			s.drawWipe(c)
		}
	}
	for _, v := range s.servers {
		switch draw := s.random.IntN(6); {
		case draw == 0 && s.plan.crashes:
			s.schedule(s.moment(), func() {
				v.crashed = true
				s.noteGone(v, s.now)
			})
		case draw == 1 && s.plan.leaves:
			s.schedule(s.moment(), func() {
				v.leaving = true
				v.nextReport = s.now
			})
		case draw == 2 && s.plan.restarts:
			s.schedule(s.moment(), func() {
				v.incarnation++
				v.sequence = 0
				v.waiting = nil
				v.nextReport = s.now
			})
		}
	}
}

// drawCut cuts one direction between two hosts.
func (s *reportSim) drawCut() {
	from, to := s.controls[s.random.IntN(len(s.controls))].id, s.controls[s.random.IntN(len(s.controls))].id
	at := s.moment()
	until := at.Add(s.within(maxOutage))
	s.schedule(at, func() {
		s.network.Cut(from, to)
	})
	s.schedule(until, func() {
		s.network.Restore(from, to)
	})
	s.disturbedUntil(until.Add(reconnectTime))
}

// drawPause stops a process and continues it later.
func (s *reportSim) drawPause(c *reportControl) {
	at := s.moment()
	until := at.Add(s.within(maxOutage))
	s.schedule(at, func() {
		c.paused = true
		s.network.Suspend(c.id)
		for _, x := range s.controls {
			s.network.Cut(c.id, x.id)
		}
	})
	s.schedule(until, func() {
		c.paused = false
		s.network.Resume(c.id)
		for _, x := range s.controls {
			s.network.Restore(c.id, x.id)
		}
		// The kernel has kept the reports.
		for _, r := range c.held {
			r.at = s.now
			s.inFlight = append(s.inFlight, r)
		}
		c.held = nil
	})
	s.disturbedUntil(until.Add(reconnectTime))
}

// drawWipe ends a process and starts it again; its directory was in memory.
func (s *reportSim) drawWipe(c *reportControl) {
	at := s.moment()
	until := at.Add(s.within(maxOutage))
	s.schedule(at, func() {
		c.down = true
		c.stop()
		s.network.Remove(c.id)
	})
	s.schedule(until, func() {
		s.startControl(c)
	})
	s.disturbedUntil(until.Add(reconnectTime))
}

func (s *reportSim) noteGone(v *reportServer, at time.Time) {
	if at.After(v.goneAt) {
		v.goneAt = at
	}
}

func (s *reportSim) play() {
	// Reports that are sent late move the end of the disturbances.
	for s.now.Before(s.calmAt.Add(usedAfter + observedTime)) {
		time.Sleep(reportStep)
		s.now = time.Now()
		s.runEvents()
		s.deliver()
		for _, v := range s.servers {
			s.step(v)
		}
		for _, c := range s.controls {
			if !c.down && !c.paused && s.now.Sub(c.steppedAt) >= cleanupStep {
				c.steppedAt = s.now
				c.source.RemoveExpired(s.now)
			}
		}
		if s.now.Sub(s.begun) > quietTime {
			s.check()
		}
	}
}

func (s *reportSim) runEvents() {
	rest := s.events[:0]
	var due []reportEvent
	for _, e := range s.events {
		if e.at.After(s.now) {
			rest = append(rest, e)
		} else {
			due = append(due, e)
		}
	}
	s.events = rest
	for _, e := range due {
		e.do()
	}
}

func (s *reportSim) deliver() {
	list := s.inFlight
	s.inFlight = nil
	for _, r := range list {
		c := s.controls[r.to]
		switch {
		case r.at.After(s.now):
			s.inFlight = append(s.inFlight, r)
		case c.paused:
			c.held = append(c.held, r)
		case !c.down:
			s.arrive(c, r)
		}
	}
}

func (s *reportSim) arrive(c *reportControl, r *report) {
	if err := c.source.HandleAnnouncement(s.now, r.body); err != nil {
		s.faults = append(s.faults, err.Error())
		return
	}
	v := r.server
	if v.crashed {
		s.noteGone(v, s.now)
	}
	if v.waiting != r || s.now.Sub(r.sentAt) >= reportTimeout {
		return
	}
	v.waiting = nil
	v.nextReport = r.sentAt.Add(reportInterval)
	if r.body.Leaving && v.goneAt.IsZero() {
		v.goneAt = s.now
	}
}

func (s *reportSim) step(v *reportServer) {
	if v.crashed {
		return
	}
	if v.waiting != nil && s.now.Sub(v.waiting.sentAt) >= reportTimeout {
		v.waiting = nil
		v.target = (v.target + 1) % len(s.controls)
		v.nextReport = s.now
	}
	if v.waiting == nil && !s.now.Before(v.nextReport) {
		s.send(v)
	}
}

func (s *reportSim) send(v *reportServer) {
	v.sequence++
	r := &report{
		server: v,
		body: hingeannounce.Announcement{
			Server:      v.id,
			Incarnation: v.incarnation,
			Sequence:    v.sequence,
			Kind:        hingeannounce.Service,
			Address:     "10.0.0.1:80",
			Service:     "app",
			Slots:       6,
			Leaving:     v.leaving,
		},
		to:     v.target,
		sentAt: s.now,
		at:     s.now.Add(s.within(10 * time.Millisecond)),
	}
	if s.disturbed() && s.random.Float64() < s.lateShare {
		r.at = r.at.Add(s.within(maxReportDelay))
		s.disturbedUntil(r.at)
	}
	s.inFlight = append(s.inFlight, r)
	v.waiting = r
	if s.disturbed() && s.random.Float64() < s.copyShare {
		again := *r
		again.repeated = true
		again.to = s.random.IntN(len(s.controls))
		again.at = s.now.Add(s.within(maxReportDelay))
		if s.random.IntN(3) == 0 {
			again.at = r.at
		}
		s.disturbedUntil(again.at)
		s.inFlight = append(s.inFlight, &again)
	}
}

// directories returns the directories of all hosts that run.
func (s *reportSim) directories() map[string][]hingeannounce.Record {
	out := make(map[string][]hingeannounce.Record)
	for _, c := range s.controls {
		if !c.down && !c.paused {
			out[string(c.id)] = c.source.records()
		}
	}
	for i, d := range s.entries {
		d.mu.Lock()
		out[fmt.Sprint("entry-", i)] = d.records.Since(0)
		d.mu.Unlock()
	}
	return out
}

func (s *reportSim) check() {
	usedBy := make(map[hingeids.ServerID]hingeannounce.Digest)
	hosts := s.directories()
	agreed := true
	for host, records := range hosts {
		byServer := make(map[hingeids.ServerID]hingeannounce.Record)
		for _, r := range records {
			byServer[r.Announcement.Server] = r
		}
		for _, v := range s.servers {
			r := byServer[v.id]
			s.checkServer(host, v, r)
			// All hosts have to say the same of servers that are used; zero stands for one that isn't.
			var says hingeannounce.Digest
			if r.Announcement.Server != "" && r.Usable() {
				says = r.Digest()
			}
			before, found := usedBy[v.id]
			usedBy[v.id] = says
			agreed = agreed && (!found || before == says)
		}
	}
	switch {
	case !agreed:
		s.agreedAt = time.Time{}
	case s.agreedAt.IsZero():
		s.agreedAt = s.now
	}
}

func (s *reportSim) checkServer(host string, v *reportServer, r hingeannounce.Record) {
	used := r.Announcement.Server == v.id && r.Usable() && r.Announcement.Incarnation == v.incarnation
	switch {
	case v.crashed:
		if used && s.now.Sub(v.goneAt) > maxDetection && s.now.Sub(s.calmAt) > maxDetection {
			s.fault(host, v, "is used though it crashed")
		}
	case v.leaving:
		if used && !v.goneAt.IsZero() && s.now.Sub(v.goneAt) > 2*time.Second && s.now.Sub(s.calmAt) > 0 {
			s.fault(host, v, "is used though it has left")
		}
	case !used:
		s.unusedTime += reportStep
		if s.now.Sub(s.calmAt) > usedAfter {
			s.fault(host, v, "isn't used though it reports")
		}
	}
}

func (s *reportSim) fault(host string, v *reportServer, what string) {
	if len(s.faults) < 3 {
		s.faults = append(s.faults, fmt.Sprintf("%v after the last disturbance, at %s: server %s %s",
			s.now.Sub(s.calmAt), host, v.id, what))
	}
}

// within returns a random duration below a limit.
func (s *reportSim) within(limit time.Duration) time.Duration {
	return time.Duration(s.random.Int64N(int64(limit)))
}
