package hingeserver

import (
	"context"
	"encoding/binary"
	"slices"
	"strings"
	"time"

	"github.com/swifthinge/swifthinge/internal/agreement/hingeconfig"
	"github.com/swifthinge/swifthinge/internal/core/hingeids"
	"github.com/swifthinge/swifthinge/internal/membership/hingemembers"
	"github.com/swifthinge/swifthinge/internal/observe/hingeevents"
)

// The configuration log keeps two facts of each entry host's lives: the newest
// that began, and up to which they are over. Both only ever grow.
const (
	livesPrefix = "lives/"
	beganSuffix = "/began"
)

func isFact(p hingeconfig.Path) bool {
	return strings.HasPrefix(string(p), livesPrefix)
}

func beganPath(h hingeids.HostID) hingeconfig.Path {
	return livesPrefix + hingeconfig.Path(h) + beganSuffix
}

// began is the fact that a life began.
func began(l hingeids.Instance, now time.Time) hingeconfig.Change {
	return hingeconfig.Change{
		ID: hingeconfig.ChangeID("lifeBegan." + hingeids.RequestID{
			Instance: l,
		}.String()),
		Puts: map[hingeconfig.Path][]byte{
			beganPath(l.Host): binary.BigEndian.AppendUint64(nil, uint64(l.Incarnation)),
		},
		Operator: string(l.Host),
		SentAt:   now.UnixNano(),
		System:   true,
	}
}

// recordOf reads the lives out of a configuration.
func recordOf(v *hingeconfig.View) hingemembers.Registry {
	record := make(hingemembers.Registry)
	for path, document := range v.Documents {
		name, there := strings.CutPrefix(string(path), livesPrefix)
		host, isBegan := strings.CutSuffix(name, beganSuffix)
		if !there || !isBegan || len(document) != 8 {
			continue
		}
		id := hingeids.HostID(host)
		incarnation := hingeids.Incarnation(binary.BigEndian.Uint64(document))
		over := v.EndedUpTo(id)
		record[id] = hingemembers.RegistryEntry{
			Incarnation: max(incarnation, over),
			Ended:       over >= incarnation,
		}
	}
	return record
}

// livesEvery is how often the record is compared with what is seen: well under
// the second within which a survivor should get a dead host's shares.
const livesEvery = 200 * time.Millisecond

// keepLives records this host's life in the log, hands the record to the
// members, and, on the leader, records lives that are over.
func (s *Server) keepLives(ctx context.Context) error {
	ticker := time.NewTicker(livesEvery)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return nil
		case now := <-ticker.C:
			s.compareLives(ctx, now)
		}
	}
}

func (s *Server) compareLives(ctx context.Context, now time.Time) {
	record := recordOf(s.shared.spread.Applied().Load().View)
	s.shared.members.SetRegistry(record)
	view := s.shared.members.Hosts().Load()
	s.callers.StartInstance(view.Self)
	if self := view.Self; !record.Has(self) && !record.HasEnded(self) && !s.callers.Draining() {
		s.recordFact(ctx, began(self, now))
	}
	if _, leads := s.shared.config.Leading(now); !leads {
		return
	}
	for _, life := range livesToEnd(view) {
		if record.HasEnded(life) {
			continue
		}
		if !s.recordFact(ctx, hingeconfig.InstanceEnded(life, s.settings.Host, now)) {
			continue
		}
		s.recorder.Record(now, hingeevents.LifeRecordedOver, hingeevents.Fields{
			Host: life.Host,
		})
		// Requests that the life had claimed are uncertain from now on, and not
		// only when their time is over. If this fails, their time decides.
		_ = s.shared.ledger.EndInstance(ctx, life)
	}
}

// livesToEnd are the lives that the record may show as over: those that nobody
// hears any more, and those that said so themselves when they left. Without the
// second, what a host could not hand on at its end would be held for good.
func livesToEnd(v *hingemembers.View) []hingeids.Instance {
	out := slices.Clone(v.Expired)
	for _, h := range v.Hosts {
		if h.State == hingemembers.Ended {
			out = append(out, h.Instance)
		}
	}
	return out
}

// factLimit bounds one try to record a fact; it is tried again.
const factLimit = time.Second

func (s *Server) recordFact(ctx context.Context, c hingeconfig.Change) bool {
	ctx, cancel := context.WithTimeout(ctx, factLimit)
	defer cancel()
	_, err := s.shared.config.Propose(ctx, c.Encode())
	return err == nil
}

// endLife answers every caller finally when others have declared this host's
// life over: they may cancel what it holds from then on. A new life begins after.
func (s *Server) endLife(ended hingeids.Instance) {
	s.recorder.Record(time.Now(), hingeevents.LifeDeclaredOver, hingeevents.Fields{
		Host: ended.Host,
	})
	s.callers.EndInstance()
}
