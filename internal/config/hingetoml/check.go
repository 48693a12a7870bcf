package hingetoml

import (
	"fmt"
	"net/netip"
	"regexp"
)

// namePattern allows only names that are safe in configuration paths, headers
// and file names. A slash in a name could make the paths of two items equal.
var namePattern = regexp.MustCompile(`^[a-z0-9][a-z0-9._-]{0,62}$`)

// NameProblem returns what is wrong with a name and what is expected instead.
// Both are empty if the name is valid.
func NameProblem(name string) (text, want string) {
	if name == "" {
		return "is missing", "a name"
	}
	if !namePattern.MatchString(name) {
		return fmt.Sprintf("is no name: %q", name), "lower-case letters, digits, dots, dashes; at most 63"
	}
	return "", ""
}

// CheckName adds a problem at the path unless NameProblem accepts the name.
func (d *Document) CheckName(path, name string) {
	if text, want := NameProblem(name); text != "" {
		d.Problem(path, text, want)
	}
}

// CheckAddress adds a problem at the path unless the address is an IP address
// with a port above 0. Host names are rejected, since a process must be able to
// start without DNS.
func (d *Document) CheckAddress(path, address string) {
	if address == "" {
		d.Problem(path, "is missing", `an IP number and port such as "127.0.0.1:7100"`)
		return
	}
	a, err := netip.ParseAddrPort(address)
	if err != nil || a.Port() == 0 {
		d.Problem(path, "is no IP number and port: "+address, `one such as "127.0.0.1:7100"`)
	}
}
