// Package hingesettings reads and validates the TOML settings of one process:
// its host ID, availability zone, listening addresses and peers. Configuration
// that all hosts share is in the inventory and the rules instead.
//
//  1. Two or three peers have a disk, each in a different availability zone, so
//     that a quorum remains after the loss of one zone.
//  2. Addresses are IP addresses with ports, and no two processes or listeners
//     share one.
//  3. Every limit is above zero. An omitted limit has a safe default, and no
//     limit can be disabled by mistake.
//  4. Values are checked only if all keys and types are valid, so that one
//     misspelt key isn't also reported as missing values.
package hingesettings

import (
	"os"
	"time"

	"github.com/rotisserie/eris"

	"github.com/swifthinge/swifthinge/internal/config/hingetoml"
	"github.com/swifthinge/swifthinge/internal/core/hingeids"
)

// Settings are the settings of one entry host process.
type Settings struct {
	// Host is the ID of this entry host.
	Host hingeids.HostID `toml:"host"`
	// Zone is the availability zone of this host.
	Zone hingeids.Zone `toml:"zone"`
	// DataFolder is the directory of the durable state; empty on a host without a disk.
	DataFolder string `toml:"dataFolder"`
	// Listen has the listening addresses, each an IP address with a port.
	Listen Listen `toml:"listen"`
	// Keys has the files for mutual TLS authentication between entry hosts.
	Keys Keys `toml:"keys"`
	// Limits bounds the resources that callers can use.
	Limits Limits `toml:"limits"`
	// Callers describes how callers connect to this host.
	Callers Callers `toml:"callers"`
	// Peers has all entry hosts, including this one.
	Peers []Peer `toml:"peers"`
}

// Listen has the listening addresses of a process.
type Listen struct {
	// Callers accepts requests of callers, and readiness and liveness checks.
	Callers string `toml:"callers"`
	// Servers accepts announcements of backend servers.
	Servers string `toml:"servers"`
	// Operators accepts the commands of the swifthinge program and serves /metrics.
	Operators string `toml:"operators"`
	// Link accepts connections of other entry hosts, over UDP.
	Link string `toml:"link"`
}

// Keys has the names of PEM files. If all are empty, links don't authenticate
// their peers, which only the demo and tests allow.
type Keys struct {
	Authority   string `toml:"authority"`
	Certificate string `toml:"certificate"`
	Key         string `toml:"key"`
}

// Limits bounds the resources that callers can use.
type Limits struct {
	// RequestBytes is the maximum size of a request body.
	RequestBytes hingeids.Bytes `toml:"requestBytes"`
	// HeaderBytes is the maximum size of a request header.
	HeaderBytes hingeids.Bytes `toml:"headerBytes"`
	// Connections is the maximum number of open connections of callers.
	Connections int `toml:"connections"`
	// WriteTimeout is the maximum time for which a write to a caller may block.
	WriteTimeout Duration `toml:"slowReader"`
}

// Callers describes how callers connect to a host.
type Callers struct {
	// Gateway means that all callers connect through a trusted gateway, which sets the customer in X-Caller. Otherwise
	// X-Caller is set by the caller and ignored, since a caller could use up the quota of another customer.
	Gateway bool `toml:"gateway"`
}

// Peer is the entry of one host in the list of all entry hosts.
type Peer struct {
	Host hingeids.HostID `toml:"host"`
	Zone hingeids.Zone   `toml:"zone"`
	Link string          `toml:"link"`
	// Operators is the address for operators' commands, which any entry host
	// returns to the commands. It is optional.
	Operators string `toml:"operators"`
	// Disk means that the host stores durable state and votes on the configuration.
	Disk bool `toml:"disk"`
}

// Duration is a time.Duration encoded as text in Go's syntax, for example "250ms".
type Duration = hingetoml.Duration

// Defaults returns settings with the default limits and no other values.
func Defaults() Settings {
	return Settings{
		Limits: Limits{
			RequestBytes: 8 << 20,
			HeaderBytes:  16 << 10,
			Connections:  20000,
			WriteTimeout: Duration(10 * time.Second),
		},
	}
}

// Load reads and validates the settings file. Its error has the first problem
// and the number of problems; Check returns all of them.
func Load(path string) (Settings, error) {
	data, err := os.ReadFile(path)
	if err != nil {
		return Settings{}, eris.Wrap(err, "settings")
	}
	s, problems := Check(path, data)
	if len(problems) > 0 {
		return Settings{}, eris.Errorf("%v (problems in all: %d)", problems[0], len(problems))
	}
	return s, nil
}

// Check decodes and validates settings and returns all problems, sorted by
// line. The file name is used in problems only. The settings are valid only if
// there is no problem.
func Check(file string, data []byte) (Settings, []hingetoml.Problem) {
	s := Defaults()
	d := hingetoml.Read(file, data, &s)
	if len(d.Problems) == 0 {
		c := &checker{
			Document: d,
			settings: s,
		}
		c.checkAll()
	}
	hingetoml.Sort(d.Problems)
	return s, d.Problems
}
