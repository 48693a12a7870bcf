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

// The configuration log records two values for each entry host: the newest instance that was
// started, and the incarnation up to which all have ended. Both only increase.
// The paths are part of the stored format.
const (
	instancesPrefix = "lives/"
	startedSuffix   = "/began"
)

func isSystemPath(p hingeconfig.Path) bool {
	return strings.HasPrefix(string(p), instancesPrefix)
}

func startedPath(h hingeids.HostID) hingeconfig.Path {
	return instancesPrefix + hingeconfig.Path(h) + startedSuffix
}

func instanceStarted(instance hingeids.Instance, now time.Time) hingeconfig.Change {
	return hingeconfig.Change{
		ID: hingeconfig.ChangeID("lifeBegan." + hingeids.RequestID{
			Instance: instance,
		}.String()),
		Puts: map[hingeconfig.Path][]byte{
			startedPath(instance.Host): binary.BigEndian.AppendUint64(nil, uint64(instance.Incarnation)),
		},
		Operator: string(instance.Host),
		SentAt:   now.UnixNano(),
		System:   true,
	}
}

func registryOf(v *hingeconfig.View) hingemembers.Registry {
	registry := make(hingemembers.Registry)
	for path, document := range v.Documents {
		name, hasPrefix := strings.CutPrefix(string(path), instancesPrefix)
		host, hasSuffix := strings.CutSuffix(name, startedSuffix)
		if !hasPrefix || !hasSuffix || len(document) != 8 {
			continue
		}
		id := hingeids.HostID(host)
		incarnation := hingeids.Incarnation(binary.BigEndian.Uint64(document))
		endedUpTo := v.EndedUpTo(id)
		registry[id] = hingemembers.RegistryEntry{
			Incarnation: max(incarnation, endedUpTo),
			Ended:       endedUpTo >= incarnation,
		}
	}
	return registry
}

// The surviving hosts should get the share of slots of a dead host within a second.
const registryInterval = 200 * time.Millisecond

// runInstanceRegistry records this host's instance and passes the registry to the members.
// On the leader it also records instances that have ended.
func (s *Server) runInstanceRegistry(ctx context.Context) error {
	ticker := time.NewTicker(registryInterval)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return nil
		case now := <-ticker.C:
			s.updateInstanceRegistry(ctx, now)
		}
	}
}

func (s *Server) updateInstanceRegistry(ctx context.Context, now time.Time) {
	registry := registryOf(s.shared.replicator.Applied().Load().View)
	s.shared.members.SetRegistry(registry)
	view := s.shared.members.Hosts().Load()
	s.callers.StartInstance(view.Self)
	if self := view.Self; !registry.Has(self) && !registry.HasEnded(self) && !s.callers.Draining() {
		s.proposeSystemChange(ctx, instanceStarted(self, now))
	}
	if _, leads := s.shared.config.Leading(now); !leads {
		return
	}
	for _, instance := range endedInstances(view) {
		if registry.HasEnded(instance) {
			continue
		}
		if !s.proposeSystemChange(ctx, hingeconfig.InstanceEnded(instance, s.settings.Host, now)) {
			continue
		}
		s.recorder.Record(now, hingeevents.LifeRecordedOver, hingeevents.Fields{
			Host: instance.Host,
		})
		// This marks the requests that the instance had claimed as uncertain right away. If it
		// fails, they become uncertain when their claims expire.
		_ = s.shared.ledger.EndInstance(ctx, instance)
	}
}

// endedInstances returns the instances from which no host receives messages any more, and
// those that announced their own end at shutdown: otherwise allocations that a host could
// not cancel before its end would never be released.
func endedInstances(v *hingemembers.View) []hingeids.Instance {
	out := slices.Clone(v.Expired)
	for _, h := range v.Hosts {
		if h.State == hingemembers.Ended {
			out = append(out, h.Instance)
		}
	}
	return out
}

// The next comparison retries a proposal that timed out.
const systemChangeTimeout = time.Second

func (s *Server) proposeSystemChange(ctx context.Context, c hingeconfig.Change) bool {
	ctx, cancel := context.WithTimeout(ctx, systemChangeTimeout)
	defer cancel()
	_, err := s.shared.config.Propose(ctx, c.Encode())
	return err == nil
}

// endInstance ends all requests with a final response, as other hosts may cancel the
// allocations of an instance that they declared ended. The next instance starts when it
// returns.
func (s *Server) endInstance(ended hingeids.Instance) {
	s.recorder.Record(time.Now(), hingeevents.LifeDeclaredOver, hingeevents.Fields{
		Host: ended.Host,
	})
	s.callers.EndInstance()
}
