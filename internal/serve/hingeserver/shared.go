package hingeserver

import (
	"context"
	"path/filepath"
	"time"

	"github.com/rotisserie/eris"
	"golang.org/x/sync/errgroup"

	"github.com/swifthinge/swifthinge/internal/agreement/hingeconfig"
	"github.com/swifthinge/swifthinge/internal/agreement/hingegroup"
	"github.com/swifthinge/swifthinge/internal/agreement/hingespread"
	"github.com/swifthinge/swifthinge/internal/config/hingesettings"
	"github.com/swifthinge/swifthinge/internal/core/hingefolder"
	"github.com/swifthinge/swifthinge/internal/core/hingeids"
	"github.com/swifthinge/swifthinge/internal/ledger/hingeledger"
	"github.com/swifthinge/swifthinge/internal/link/hingelink"
	"github.com/swifthinge/swifthinge/internal/membership/hingemembers"
	"github.com/swifthinge/swifthinge/internal/observe/hingeevents"
	"github.com/swifthinge/swifthinge/internal/operate/hingekeys"
)

// shared is this host's part of the replicated state: the links between the entry hosts, the
// configuration log and its distribution, the ledger, and the membership.
type shared struct {
	link          *hingelink.QUIC
	machine       *hingeconfig.Machine
	config        *hingegroup.Group
	replicator    *hingespread.Replicator
	ledgerGroup   *hingegroup.Group
	keyOwner      *hingeledger.KeyOwner
	ledger        *hingeledger.Ledger
	keyOwnerStore *hingeledger.FileStore
	members       *hingemembers.Members
}

type sharedConfig struct {
	settings        hingesettings.Settings
	instance        hingeids.Instance
	recorder        *hingeevents.Recorder
	keyRetention    func() time.Duration
	onDeclaredEnded func(ended hingeids.Instance)
	allowCut        bool
}

func openShared(c sharedConfig) (*shared, error) {
	link, err := openLink(c)
	if err != nil {
		return nil, err
	}
	s := &shared{
		link: link,
	}
	if err := s.openConfig(c); err != nil {
		return nil, err
	}
	if err := s.openLedger(c); err != nil {
		return nil, err
	}
	s.openMembers(c)
	return s, nil
}

func (s *shared) openMembers(c sharedConfig) {
	config := hingemembers.Config{
		StateConfig: hingemembers.StateConfig{
			Instance: c.instance,
			Zone:     c.settings.Zone,
			Seed:     uint64(c.instance.Incarnation),
		},
		Link:            s.link,
		Events:          c.recorder,
		OnDeclaredEnded: c.onDeclaredEnded,
	}
	for _, p := range c.settings.Peers {
		if p.Host == c.settings.Host {
			config.Voter = p.Disk
			continue
		}
		config.Peers = append(config.Peers, hingemembers.Peer{
			Host:  p.Host,
			Zone:  p.Zone,
			Voter: p.Disk,
		})
	}
	s.members = hingemembers.New(config)
}

func openLink(c sharedConfig) (*hingelink.QUIC, error) {
	peers := make(map[hingeids.HostID]string)
	for _, p := range c.settings.Peers {
		if p.Host != c.settings.Host {
			peers[p.Host] = p.Link
		}
	}
	config := hingelink.Config{
		Self:        c.instance.Host,
		Incarnation: c.instance.Incarnation,
		Listen:      c.settings.Listen.Link,
		Peers:       peers,
		Insecure:    c.settings.Keys == hingesettings.Keys{},
		AllowCut:    c.allowCut,
		Recorder:    c.recorder,
	}
	if !config.Insecure {
		keys, err := hingekeys.LoadTLS(hingekeys.Paths{
			Authority:   c.settings.Keys.Authority,
			Certificate: c.settings.Keys.Certificate,
			Key:         c.settings.Keys.Key,
		})
		if err != nil {
			return nil, err
		}
		config.TLS = keys
	}
	return hingelink.NewQUIC(config)
}

// diskHosts returns the hosts that are voters by the settings.
func diskHosts(s hingesettings.Settings) []hingeids.HostID {
	var out []hingeids.HostID
	for _, p := range s.Peers {
		if p.Disk {
			out = append(out, p.Host)
		}
	}
	return out
}

// openGroup opens this host's member of a replicated group. A host without a data folder
// gets neither a journal nor a state machine.
func (s *shared) openGroup(
	c sharedConfig, name string, m hingegroup.StateMachine,
) (*hingegroup.Group, error) {
	settings := hingegroup.Settings{
		Name:     name,
		Self:     c.instance.Host,
		Hosts:    diskHosts(c.settings),
		Clock:    time.Now,
		Seed:     uint64(c.instance.Incarnation),
		Recorder: c.recorder,
	}
	if c.settings.DataFolder == "" {
		return hingegroup.New(settings, s.link, nil, nil)
	}
	files, err := hingefolder.Open(filepath.Join(c.settings.DataFolder, name))
	if err != nil {
		return nil, err
	}
	return hingegroup.New(settings, s.link, files, m)
}

func (s *shared) openConfig(c sharedConfig) error {
	s.machine = hingeconfig.New()
	group, err := s.openGroup(c, "config", s.machine)
	if err != nil {
		return eris.Wrap(err, "open the configuration log")
	}
	s.config = group
	var origin hingespread.Origin
	if c.settings.DataFolder != "" {
		origin = hingespread.DiskOrigin{
			Group:   group,
			Machine: s.machine,
		}
	}
	peers := make([]hingespread.Peer, 0, len(c.settings.Peers))
	for _, p := range c.settings.Peers {
		peers = append(peers, hingespread.Peer{
			Host:    p.Host,
			Zone:    p.Zone,
			HasDisk: p.Disk,
		})
	}
	s.replicator = hingespread.New(hingespread.Settings{
		Self:     c.instance,
		Zone:     c.settings.Zone,
		Peers:    peers,
		Clock:    time.Now,
		Recorder: c.recorder,
	}, s.link, origin)
	return nil
}

func (s *shared) openLedger(c sharedConfig) error {
	group, err := s.openGroup(c, "ledger", hingeledger.NewState(hingeledger.DefaultLimits()))
	if err != nil {
		return eris.Wrap(err, "open the quorum ledger")
	}
	s.ledgerGroup = group
	keyOwners := keyOwnersByZone(c.settings)
	if keyOwners[c.settings.Zone] == c.settings.Host {
		if err := s.openKeyOwner(c); err != nil {
			return err
		}
	}
	config := hingeledger.Config{
		Zone:      c.settings.Zone,
		Link:      s.link,
		Voters:    votersNearestFirst(c.settings),
		KeyOwners: keyOwners,
		KeyOwner:  s.keyOwner,
		Retention: c.keyRetention,
		Recorder:  c.recorder,
	}
	if c.settings.DataFolder != "" {
		config.Group = group
	}
	s.ledger = hingeledger.New(config)
	return nil
}

func (s *shared) openKeyOwner(c sharedConfig) error {
	store, err := hingeledger.OpenFileStore(filepath.Join(c.settings.DataFolder, "keeper"))
	if err != nil {
		return err
	}
	s.keyOwnerStore = store
	s.keyOwner, err = hingeledger.OpenKeyOwner(hingeledger.KeyOwnerConfig{
		Zone:     c.settings.Zone,
		Store:    store,
		Limits:   hingeledger.DefaultLimits(),
		Recorder: c.recorder,
	})
	return err
}

// keyOwnersByZone returns the host that owns the issued keys of each zone: the zone's first
// one with a disk.
func keyOwnersByZone(s hingesettings.Settings) map[hingeids.Zone]hingeids.HostID {
	out := make(map[hingeids.Zone]hingeids.HostID)
	for _, p := range s.Peers {
		if _, found := out[p.Zone]; p.Disk && !found {
			out[p.Zone] = p.Host
		}
	}
	return out
}

// votersNearestFirst returns the hosts of the own zone first.
func votersNearestFirst(s hingesettings.Settings) []hingeids.HostID {
	var near, far []hingeids.HostID
	for _, p := range s.Peers {
		switch {
		case !p.Disk:
		case p.Zone == s.Zone:
			near = append(near, p.Host)
		default:
			far = append(far, p.Host)
		}
	}
	return append(near, far...)
}

// run ends when the context ends or a part fails.
func (s *shared) run(ctx context.Context) error {
	g, ctx := errgroup.WithContext(ctx)
	parts := []func(context.Context) error{
		s.link.Run,
		s.config.Run,
		s.replicator.Run,
		s.ledgerGroup.Run,
		s.ledger.Run,
		s.members.Run,
	}
	if s.keyOwner != nil {
		parts = append(parts, s.keyOwner.Run)
	}
	for _, run := range parts {
		g.Go(func() error {
			return run(ctx)
		})
	}
	err := g.Wait()
	if s.keyOwnerStore != nil {
		_ = s.keyOwnerStore.Close()
	}
	return err
}
