// Package hingesettings reads and checks the settings of one process: the TOML
// file that says which host this is, in which availability zone, where it
// listens and where its peers are. Everything that all hosts share is in the
// inventory and the rules instead.
//
//  1. Two or three peers have a disk, each in another availability zone, so
//     that the loss of one zone leaves a quorum.
//  2. Addresses are IP numbers, and no two processes or purposes share one.
//  3. Every limit is above zero: a limit that is left out has a safe default,
//     and none can be switched off by mistake.
//  4. Values are checked only once all keys and types are right, so that one
//     typing error isn't reported again as five missing values.
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
	// Host names this entry host.
	Host hingeids.HostID `toml:"host"`
	// Zone is the availability zone it stands in.
	Zone hingeids.Zone `toml:"zone"`
	// DataFolder holds the durable state; empty on a host without a disk.
	DataFolder string `toml:"dataFolder"`
	// Listen are the addresses to listen at, each IP number and port.
	Listen Listen `toml:"listen"`
	// Keys are the files with which our own processes know each other.
	Keys Keys `toml:"keys"`
	// Limits bound what callers can take up.
	Limits Limits `toml:"limits"`
	// Callers says how callers come here.
	Callers Callers `toml:"callers"`
	// Peers are all entry hosts, this one among them.
	Peers []Peer `toml:"peers"`
}

// Listen are a process's own addresses.
type Listen struct {
	// Callers takes requests, readiness and liveness checks.
	Callers string `toml:"callers"`
	// Servers takes announcements of backend servers.
	Servers string `toml:"servers"`
	// Operators takes the commands of the swifthinge program, and /metrics.
	Operators string `toml:"operators"`
	// Link takes the project's own processes, over UDP.
	Link string `toml:"link"`
}

// Keys are file names of PEM files; empty ones make the links plain, which
// only the demo and tests allow.
type Keys struct {
	Authority   string `toml:"authority"`
	Certificate string `toml:"certificate"`
	Key         string `toml:"key"`
}

// Limits bound what callers can take up.
type Limits struct {
	// RequestBytes bounds a request's body.
	RequestBytes hingeids.Bytes `toml:"requestBytes"`
	// HeaderBytes bounds a request's header.
	HeaderBytes hingeids.Bytes `toml:"headerBytes"`
	// Connections bounds the callers' open connections.
	Connections int `toml:"connections"`
	// SlowReader bounds how long a write to a caller may stand still.
	SlowReader Duration `toml:"slowReader"`
}

// Callers says how callers come to a host.
type Callers struct {
	// Gateway says that all callers come through a gateway of the operators' own, which names the customer in X-Caller. Without
	// it that name is a caller's own, and isn't believed: whoever takes another's name would use up its share.
	Gateway bool `toml:"gateway"`
}

// Peer is one entry host as its peers see it.
type Peer struct {
	Host hingeids.HostID `toml:"host"`
	Zone hingeids.Zone   `toml:"zone"`
	Link string          `toml:"link"`
	// Operators is where it takes operators' commands, so that any entry host can
	// tell the commands where the others are. It may be left out.
	Operators string `toml:"operators"`
	// Disk says that the host keeps durable state and votes on the configuration.
	Disk bool `toml:"disk"`
}

// Duration is a time.Duration written as in Go, for example "250ms".
type Duration = hingetoml.Duration

// Defaults are the limits in force where the file gives none.
func Defaults() Settings {
	return Settings{
		Limits: Limits{
			RequestBytes: 8 << 20,
			HeaderBytes:  16 << 10,
			Connections:  20000,
			SlowReader:   Duration(10 * time.Second),
		},
	}
}

// Load reads and checks the settings file. Its error names the first problem;
// Check gives all of them.
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

// Check reads settings and gives every problem in them.
func Check(file string, data []byte) (Settings, []hingetoml.Problem) {
	s := Defaults()
	d := hingetoml.Read(file, data, &s)
	if len(d.Problems) == 0 {
		c := &checker{
			Document: d,
			settings: s,
		}
		c.all()
	}
	hingetoml.Sort(d.Problems)
	return s, d.Problems
}
