package hingesettings

import (
	"fmt"

	"github.com/swifthinge/swifthinge/internal/config/hingetoml"
	"github.com/swifthinge/swifthinge/internal/core/hingeids"
)

// checker validates the values of decoded settings and adds problems to the document.
type checker struct {
	*hingetoml.Document
	settings Settings
}

func (c *checker) checkAll() {
	c.CheckName("host", string(c.settings.Host))
	c.CheckName("zone", string(c.settings.Zone))
	c.checkListen()
	c.checkKeys()
	c.checkLimits()
	c.checkPeers()
	c.checkDisks()
	c.checkSelf()
}

// checkListen implements Rule 2 for the addresses of this process.
func (c *checker) checkListen() {
	l := c.settings.Listen
	seen := make(map[string]string)
	for _, a := range []struct {
		path    string
		address string
	}{
		{
			path:    "listen.callers",
			address: l.Callers,
		},
		{
			path:    "listen.servers",
			address: l.Servers,
		},
		{
			path:    "listen.operators",
			address: l.Operators,
		},
	} {
		c.CheckAddress(a.path, a.address)
		if other, ok := seen[a.address]; ok && a.address != "" {
			c.Problem(a.path, "is the address of "+other+" too", "an address of its own")
		}
		seen[a.address] = a.path
	}
	// The link uses UDP and may have the same port as a TCP listener.
	c.CheckAddress("listen.link", l.Link)
}

func (c *checker) checkKeys() {
	k := c.settings.Keys
	given := 0
	for _, name := range []string{k.Authority, k.Certificate, k.Key} {
		if name != "" {
			given++
		}
	}
	if given != 0 && given != 3 {
		c.Problem("keys", "names only some of the files", "authority, certificate and key, or none")
	}
}

// checkLimits implements Rule 3.
func (c *checker) checkLimits() {
	l := c.settings.Limits
	for _, x := range []struct {
		path  string
		value int64
	}{
		{
			path:  "limits.requestBytes",
			value: int64(l.RequestBytes),
		},
		{
			path:  "limits.headerBytes",
			value: int64(l.HeaderBytes),
		},
		{
			path:  "limits.connections",
			value: int64(l.Connections),
		},
		{
			path:  "limits.slowReader",
			value: int64(l.WriteTimeout),
		},
	} {
		if x.value <= 0 {
			c.Problem(x.path, "is not above zero", "a limit above zero, or no line at all for the default")
		}
	}
}

// checkPeers implements Rule 2 for the addresses of different processes.
func (c *checker) checkPeers() {
	hosts := make(map[hingeids.HostID]int)
	links := make(map[string]int)
	for i, p := range c.settings.Peers {
		path := fmt.Sprintf("peers[%d]", i)
		c.CheckName(path+".host", string(p.Host))
		c.CheckName(path+".zone", string(p.Zone))
		c.CheckAddress(path+".link", p.Link)
		if p.Operators != "" {
			c.CheckAddress(path+".operators", p.Operators)
		}
		if other, ok := hosts[p.Host]; ok {
			c.Problem(path+".host", fmt.Sprintf("is the same as that of peers[%d]: %s", other, p.Host), "each host once")
		}
		if other, ok := links[p.Link]; ok && p.Link != "" {
			c.Problem(path+".link", fmt.Sprintf("is the same as that of peers[%d]: %s", other, p.Link), "an address of its own")
		}
		hosts[p.Host] = i
		links[p.Link] = i
	}
}

// checkDisks implements Rule 1.
func (c *checker) checkDisks() {
	count := 0
	zones := make(map[hingeids.Zone]hingeids.HostID)
	for i, p := range c.settings.Peers {
		if !p.Disk {
			continue
		}
		count++
		if other, ok := zones[p.Zone]; ok {
			c.Problem(fmt.Sprintf("peers[%d].disk", i), fmt.Sprintf("zone %s has a disk host already: %s", p.Zone, other),
				"disk hosts in different availability zones")
		}
		zones[p.Zone] = p.Host
	}
	if count < 2 || count > 3 {
		c.Problem("peers", fmt.Sprintf("has disk hosts: %d", count), "2 or 3 with disk = true")
	}
}

// checkSelf checks that this host's entry in peers agrees with its other settings.
func (c *checker) checkSelf() {
	for i, p := range c.settings.Peers {
		if p.Host != c.settings.Host {
			continue
		}
		path := fmt.Sprintf("peers[%d]", i)
		if p.Zone != c.settings.Zone {
			c.Problem(path+".zone", "is not the zone of this host: "+string(p.Zone), string(c.settings.Zone))
		}
		if p.Disk && c.settings.DataFolder == "" {
			c.Problem("dataFolder", "is missing on a host with a disk", "a folder")
		}
		if !p.Disk && c.settings.DataFolder != "" {
			c.Problem("dataFolder", "is given on a host without a disk", "no dataFolder, or disk = true in "+path)
		}
		return
	}
	c.Problem("peers", "do not hold this host: "+string(c.settings.Host), "all entry hosts, this one among them")
}
