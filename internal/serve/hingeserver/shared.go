package hingeserver

import (
	"context"
	"path/filepath"
	"time"

	"github.com/rotisserie/eris"
	"golang.org/x/sync/errgroup"

	"github.com/swifthinge/swifthinge/internal/agreement/hingeconfig"
	"github.com/swifthinge/swifthinge/internal/agreement/hingegroup"
	"github.com/swifthinge/swifthinge/internal/agreement/hingejournal"
	"github.com/swifthinge/swifthinge/internal/agreement/hingespread"
	"github.com/swifthinge/swifthinge/internal/config/hingesettings"
	"github.com/swifthinge/swifthinge/internal/core/hingeids"
	"github.com/swifthinge/swifthinge/internal/ledger/hingeledger"
	"github.com/swifthinge/swifthinge/internal/link/hingelink"
	"github.com/swifthinge/swifthinge/internal/membership/hingemembers"
	"github.com/swifthinge/swifthinge/internal/observe/hingeevents"
	"github.com/swifthinge/swifthinge/internal/operate/hingekeys"
)

// shared is this host's part in what the entry hosts share: the links between
// them, the configuration log, its spreading, and the ledger.
type shared struct {
	link        *hingelink.QUIC
	machine     *hingeconfig.Machine
	config      *hingegroup.Group
	spread      *hingespread.Replicator
	ledgerGroup *hingegroup.Group
	keeper      *hingeledger.KeyOwner
	ledger      *hingeledger.Ledger
	keeperStore *hingeledger.FileStore
	members     *hingemembers.Members
}

// sharedConfig is what the shared parts are made of.
type sharedConfig struct {
	settings hingesettings.Settings
	life     hingeids.Instance
	recorder *hingeevents.Recorder
	keepKeys func() time.Duration
	onOver   func(ended hingeids.Instance)
	allowCut bool
}

// openShared opens the links and the durable state.
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
			Instance: c.life,
			Zone:     c.settings.Zone,
			Seed:     uint64(c.life.Incarnation),
		},
		Link:            s.link,
		Events:          c.recorder,
		OnDeclaredEnded: c.onOver,
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
		Self:        c.life.Host,
		Incarnation: c.life.Incarnation,
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

// diskHosts are the hosts that vote, from the settings.
func diskHosts(s hingesettings.Settings) []hingeids.HostID {
	var out []hingeids.HostID
	for _, p := range s.Peers {
		if p.Disk {
			out = append(out, p.Host)
		}
	}
	return out
}

// openGroup opens this host's part in a group. A host without a disk, or that
// isn't among the voters of the settings, has neither files nor machine.
func (s *shared) openGroup(
	c sharedConfig, name string, m hingegroup.StateMachine,
) (*hingegroup.Group, error) {
	settings := hingegroup.Settings{
		Name:     name,
		Self:     c.life.Host,
		Hosts:    diskHosts(c.settings),
		Clock:    time.Now,
		Seed:     uint64(c.life.Incarnation),
		Recorder: c.recorder,
	}
	if c.settings.DataFolder == "" {
		return hingegroup.New(settings, s.link, nil, nil)
	}
	files, err := hingejournal.OpenDirectory(filepath.Join(c.settings.DataFolder, name))
	if err != nil {
		return nil, err
	}
	return hingegroup.New(settings, s.link, files, m)
}

func (s *shared) openConfig(c sharedConfig) error {
	s.machine = hingeconfig.New()
	group, err := s.openGroup(c, "config", s.machine)
	if err != nil {
		return eris.Wrap(err, "configuration log")
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
	s.spread = hingespread.New(hingespread.Settings{
		Self:     c.life,
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
		return eris.Wrap(err, "quorum ledger")
	}
	s.ledgerGroup = group
	keepers := keepersOf(c.settings)
	if keepers[c.settings.Zone] == c.settings.Host {
		if err := s.openKeeper(c); err != nil {
			return err
		}
	}
	config := hingeledger.Config{
		Zone:      c.settings.Zone,
		Link:      s.link,
		Voters:    votersFrom(c.settings),
		KeyOwners: keepers,
		KeyOwner:  s.keeper,
		Retention: c.keepKeys,
		Recorder:  c.recorder,
	}
	if c.settings.DataFolder != "" {
		config.Group = group
	}
	s.ledger = hingeledger.New(config)
	return nil
}

func (s *shared) openKeeper(c sharedConfig) error {
	folder := filepath.Join(c.settings.DataFolder, "keeper")
	if _, err := hingejournal.OpenDirectory(folder); err != nil {
		return err
	}
	store, err := hingeledger.OpenFileStore(folder)
	if err != nil {
		return err
	}
	s.keeperStore = store
	s.keeper, err = hingeledger.OpenKeyOwner(hingeledger.KeyOwnerConfig{
		Zone:     c.settings.Zone,
		Store:    store,
		Limits:   hingeledger.DefaultLimits(),
		Recorder: c.recorder,
	})
	return err
}

// keepersOf names the host that keeps each zone's issued keys: its first one
// with a disk.
func keepersOf(s hingesettings.Settings) map[hingeids.Zone]hingeids.HostID {
	out := make(map[hingeids.Zone]hingeids.HostID)
	for _, p := range s.Peers {
		if _, taken := out[p.Zone]; p.Disk && !taken {
			out[p.Zone] = p.Host
		}
	}
	return out
}

// votersFrom gives the disk hosts, those of the own zone first.
func votersFrom(s hingesettings.Settings) []hingeids.HostID {
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

// run runs the parts until the context ends.
func (s *shared) run(ctx context.Context) error {
	g, ctx := errgroup.WithContext(ctx)
	parts := []func(context.Context) error{
		s.link.Run,
		s.config.Run,
		s.spread.Run,
		s.ledgerGroup.Run,
		s.ledger.Run,
		s.members.Run,
	}
	if s.keeper != nil {
		parts = append(parts, s.keeper.Run)
	}
	for _, run := range parts {
		g.Go(func() error {
			return run(ctx)
		})
	}
	err := g.Wait()
	if s.keeperStore != nil {
		_ = s.keeperStore.Close()
	}
	return err
}
