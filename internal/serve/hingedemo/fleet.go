// Package hingedemo runs the whole system in one process on loopback addresses: three availability
// zones with two entry hosts each, stand-in engines and plain services, callers with a mix of
// requests, and two injected failures. The outcome is counted from what the callers received and what
// the stand-ins ran.
//
//  1. Callers retry as behind a load balancer: when an entry host can't be reached or its
//     refusal isn't final, the next one is tried.
//  2. A request is lost if it received no final answer, truncated if its answer looked complete and
//     wasn't, duplicated if a part of the answer was received twice. A stream that is cut off with
//     its entry host is not an answer; its caller retries.
//  3. After a third of the requests an engine is killed, after two thirds an entry host.
package hingedemo

import (
	"context"
	"fmt"
	"io"
	"net"
	"os"
	"path/filepath"
	"sync"
	"time"

	"github.com/rotisserie/eris"

	"github.com/swifthinge/swifthinge/internal/agreement/hingeconfig"
	"github.com/swifthinge/swifthinge/internal/config/hingeinventory"
	"github.com/swifthinge/swifthinge/internal/config/hingesettings"
	"github.com/swifthinge/swifthinge/internal/core/hingeids"
	"github.com/swifthinge/swifthinge/internal/membership/hingeannounce"
	"github.com/swifthinge/swifthinge/internal/serve/hingeserver"
	"github.com/swifthinge/swifthinge/internal/standin/hingestandin"
)

// hostsPerZone is the number of entry hosts in a zone, small enough for a laptop.
const hostsPerZone = 2

var zoneNames = []hingeids.Zone{"ahmedabad-hall", "surat-hall", "rajkot-hall"}

const (
	modelName   hingeids.Model   = "smriti-lm"
	serviceName hingeids.Service = "darshan-app"
)

type fleet struct {
	ctx     context.Context
	stop    context.CancelFunc
	folder  string
	hosts   []*hingeserver.Server
	engines []*engine
	running sync.WaitGroup
}

// engine is a stand-in server, and the function that kills it.
type engine struct {
	*hingestandin.Server
	kind hingeannounce.Kind
	zone hingeids.Zone
	kill context.CancelFunc
}

// startFleet starts the entry hosts and stand-ins and applies a configuration.
func startFleet(ctx context.Context, now time.Time) (*fleet, error) {
	folder, err := os.MkdirTemp("", "swifthinge-demo-")
	if err != nil {
		return nil, eris.Wrap(err, "create the demo's data folder")
	}
	ctx, stop := context.WithCancel(ctx)
	f := &fleet{
		ctx:    ctx,
		stop:   stop,
		folder: folder,
	}
	if err := f.startHosts(now); err != nil {
		f.close()
		return nil, err
	}
	if err := f.startEngines(now); err != nil {
		f.close()
		return nil, err
	}
	if err := f.configure(); err != nil {
		f.close()
		return nil, err
	}
	return f, nil
}

func (f *fleet) close() {
	f.stop()
	f.running.Wait()
	_ = os.RemoveAll(f.folder)
}

func hostName(zone hingeids.Zone, n int) hingeids.HostID {
	return hingeids.HostID(fmt.Sprintf("%s-%d", zone, n+1))
}

// startHosts starts the entry hosts; the first of each zone has a data folder.
func (f *fleet) startHosts(now time.Time) error {
	var settings []hingesettings.Settings
	var peers []hingesettings.Peer
	// All addresses are reserved until the last one is found, so that none is found twice.
	var reserved []io.Closer
	defer func() {
		for _, c := range reserved {
			_ = c.Close()
		}
	}()
	for z, zone := range zoneNames {
		for n := range hostsPerZone {
			s, err := f.settingsOf(z, n, zone, &reserved)
			if err != nil {
				return err
			}
			settings = append(settings, s)
			peers = append(peers, hingesettings.Peer{
				Host:      s.Host,
				Zone:      zone,
				Link:      s.Listen.Link,
				Operators: s.Listen.Operators,
				Disk:      s.DataFolder != "",
			})
		}
	}
	for _, c := range reserved {
		_ = c.Close()
	}
	reserved = nil
	for _, s := range settings {
		s.Peers = peers
		host, err := hingeserver.New(hingeserver.Options{
			Settings: s,
		}, now)
		if err != nil {
			return err
		}
		f.hosts = append(f.hosts, host)
		f.running.Go(func() {
			_ = host.Run(f.ctx)
		})
	}
	return nil
}

// settingsOf returns settings with free addresses, whose listeners it adds to reserved.
func (f *fleet) settingsOf(
	z, n int, zone hingeids.Zone, reserved *[]io.Closer,
) (hingesettings.Settings, error) {
	s := hingesettings.Defaults()
	s.Host = hostName(zone, n)
	s.Zone = zone
	if n == 0 {
		s.DataFolder = filepath.Join(f.folder, string(s.Host))
	}
	ip := fmt.Sprintf("127.0.%d.%d", z+1, n+1)
	for _, address := range []*string{&s.Listen.Callers, &s.Listen.Servers, &s.Listen.Operators} {
		l, err := net.Listen("tcp", ip+":0")
		if err != nil {
			return s, eris.Wrap(err, "reserve a TCP address")
		}
		*address = l.Addr().String()
		*reserved = append(*reserved, l)
	}
	c, err := net.ListenPacket("udp", ip+":0")
	if err != nil {
		return s, eris.Wrap(err, "reserve a UDP address")
	}
	s.Listen.Link = c.LocalAddr().String()
	*reserved = append(*reserved, c)
	return s, nil
}

// startEngines starts a prefill engine, two decode engines and a replica of the
// plain service in each zone.
func (f *fleet) startEngines(now time.Time) error {
	for z, zone := range zoneNames {
		var announce []string
		for _, h := range f.hosts[z*hostsPerZone : (z+1)*hostsPerZone] {
			announce = append(announce, h.Addresses().Servers)
		}
		for i, kind := range zoneServers {
			o := hingestandin.Options{
				Server:   serverName(z, i),
				Kind:     kind,
				Zone:     zone,
				Listen:   fmt.Sprintf("127.0.%d.%d:0", z+1, 20+i),
				Announce: announce,
				TokenGap: 5 * time.Millisecond,
			}
			if kind == hingeannounce.Service {
				o.Service = serviceName
			} else {
				o.Model = modelName
			}
			if err := f.startEngine(o, now); err != nil {
				return err
			}
		}
	}
	return nil
}

var zoneServers = []hingeannounce.Kind{
	hingeannounce.Prefill,
	hingeannounce.Decode,
	hingeannounce.Decode,
	hingeannounce.Service,
}

func serverName(zone, n int) hingeids.ServerID {
	if zoneServers[n] == hingeannounce.Service {
		return hingeids.ServerID(fmt.Sprintf("%s-%d", serviceName, zone+1))
	}
	return hingeids.ServerID(fmt.Sprintf("%s-%d", modelName, zone*(len(zoneServers)-1)+n+1))
}

func (f *fleet) startEngine(o hingestandin.Options, now time.Time) error {
	s, err := hingestandin.New(o, now)
	if err != nil {
		return err
	}
	ctx, kill := context.WithCancel(f.ctx)
	f.engines = append(f.engines, &engine{
		Server: s,
		kind:   o.Kind,
		zone:   o.Zone,
		kill:   kill,
	})
	f.running.Go(func() {
		_ = s.Run(ctx)
	})
	return nil
}

func (f *fleet) inventory() hingeinventory.Inventory {
	inv := hingeinventory.Inventory{
		Models: []hingeinventory.Model{
			{
				Name:               modelName,
				CacheBytesPerToken: 128 << 10,
				WeightBytes:        16_000_000_000,
			},
		},
		Services: []hingeinventory.Service{
			{
				Name:  serviceName,
				Route: "/darshan",
			},
		},
		WeightStore: 500_000_000,
	}
	for z, zone := range zoneNames {
		var hosts []hingeids.HostID
		for n := range hostsPerZone {
			hosts = append(hosts, hostName(zone, n))
		}
		inv.Zones = append(inv.Zones, hingeinventory.Zone{
			Name:  zone,
			Hosts: hosts,
		})
		for i, kind := range zoneServers {
			server := hingeinventory.Server{
				Name: serverName(z, i),
				Zone: zone,
			}
			if kind == hingeannounce.Service {
				server.Service = serviceName
			} else {
				server.Model = modelName
			}
			inv.Servers = append(inv.Servers, server)
		}
	}
	return inv
}

// rules returns the rules of the demo's configuration: guestbook entries have the highest priority and
// are never repeated.
func rules() hingeinventory.Rules {
	return hingeinventory.Rules{
		KeepKeys: time.Hour,
		Weights: hingeinventory.Weights{
			Goodput:       1,
			WastedPrefill: 1,
		},
		Classes: []hingeinventory.Class{
			{
				Name:        "guestbook",
				Service:     serviceName,
				Route:       "/darshan/guestbook",
				Methods:     []string{"POST"},
				Priority:    100,
				NeverRepeat: true,
				FirstToken:  500 * time.Millisecond,
				Deadline:    10 * time.Second,
			},
			{
				Name:       "viewer",
				Service:    serviceName,
				Priority:   80,
				FirstToken: 500 * time.Millisecond,
				Deadline:   10 * time.Second,
			},
			{
				Name:       "summaries",
				Model:      modelName,
				Priority:   20,
				CanWait:    true,
				FirstToken: 10 * time.Second,
				TokenGap:   100 * time.Millisecond,
				Deadline:   time.Minute,
			},
		},
	}
}

// startTimeout limits the start, which takes about two seconds for an election and a change.
const startTimeout = 20 * time.Second

// configure applies the configuration and waits until all hosts are ready and know all backend
// servers.
func (f *fleet) configure() error {
	inv, r := f.inventory(), rules()
	change := hingeconfig.Change{
		ID:       "demo",
		Operator: "demo",
		Puts:     make(map[hingeconfig.Path][]byte),
	}
	for path, document := range hingeinventory.Split(&inv, &r) {
		change.Puts[hingeconfig.Path(path)] = document
	}
	deadline := time.Now().Add(startTimeout)
	for accepted := false; time.Now().Before(deadline); time.Sleep(20 * time.Millisecond) {
		if !accepted {
			accepted = f.hosts[0].Propose(f.ctx, change) == nil
			continue
		}
		if f.ready() {
			return nil
		}
	}
	return eris.New("the demo's hosts were not ready in time")
}

func (f *fleet) ready() bool {
	for _, h := range f.hosts {
		if !h.Ready() || h.UsableServers() < len(f.engines) {
			return false
		}
	}
	return true
}

func (f *fleet) allocations() int {
	n := 0
	for _, e := range f.engines {
		select {
		case <-e.Done():
		default:
			n += e.Counts().Held
		}
	}
	return n
}
