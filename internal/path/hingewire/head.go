// Package hingewire carries HTTP/1.1 over connections that its users own whole:
// the router has to know when a caller leaves while its request waits, to give bytes on
// unchanged, and to tell an answer that isn't whole from one that is. The client and server of
// HTTP libraries keep their connections to themselves; the parsers of the
// standard library, which do the reading here, don't.
//
//  1. A request's head is checked before it is parsed. What two parsers could
//     read in two ways is refused and the connection closed: another request could be
//     smuggled inside.
//  2. A request is read whole before it is handed on, so that it can be sent again.
//  3. While a request is worked on its connection is watched, and its context
//     ends when the caller leaves.
//  4. An answer ends as its framing says or the connection is closed without the
//     end of its framing. An answer that was cut short never looks whole.
//  5. Each exchange with a backend server has a connection of its own, so that
//     no bytes of another exchange can be in it, and its failure says whether
//     the request can have arrived.
package hingewire

import (
	"bytes"
	"net/http"

	"github.com/rotisserie/eris"
)

var (
	lineEnd = []byte("\r\n")
	headEnd = []byte("\r\n\r\n")
)

// errAmbiguous is a head that two parsers could read in two ways.
var errAmbiguous = eris.New("the request's head is ambiguous or malformed")

// checkHead is rule 1, for a head with the empty line at its end.
func checkHead(head []byte) error {
	lines := bytes.Split(head[:len(head)-len(headEnd)], lineEnd)
	if err := checkRequestLine(lines[0]); err != nil {
		return err
	}
	hosts, lengths, encodings := 0, 0, 0
	for _, line := range lines[1:] {
		name, value, err := splitField(line)
		if err != nil {
			return err
		}
		switch http.CanonicalHeaderKey(name) {
		case "Host":
			hosts++
		case "Content-Length":
			lengths++
			if !digits(value) {
				return eris.Wrap(errAmbiguous, "content length")
			}
		case "Transfer-Encoding":
			encodings++
			if !bytes.EqualFold(value, []byte("chunked")) {
				return eris.Wrap(errAmbiguous, "transfer encoding")
			}
		}
	}
	if hosts != 1 || lengths+encodings > 1 {
		return eris.Wrapf(errAmbiguous, "%d hosts, %d lengths, %d transfer encodings", hosts, lengths, encodings)
	}
	return nil
}

func checkRequestLine(line []byte) error {
	parts := bytes.Split(line, []byte(" "))
	if len(parts) != 3 || len(parts[0]) == 0 || len(parts[1]) == 0 || hasControl(line) {
		return eris.Wrap(errAmbiguous, "request line")
	}
	if v := string(parts[2]); v != "HTTP/1.1" && v != "HTTP/1.0" {
		return eris.Wrap(errAmbiguous, "protocol version")
	}
	return nil
}

// splitField splits a header line. One that begins with a space would continue the line
// before, and a space before the colon is read by some as part of the name.
func splitField(line []byte) (name string, value []byte, err error) {
	at := bytes.IndexByte(line, ':')
	if at <= 0 || hasControl(line) {
		return "", nil, eris.Wrap(errAmbiguous, "header line")
	}
	for _, c := range line[:at] {
		if !tokenByte(c) {
			return "", nil, eris.Wrap(errAmbiguous, "header name")
		}
	}
	return string(line[:at]), bytes.Trim(line[at+1:], " \t"), nil
}

// hasControl finds bare line ends and other control bytes but the tab.
func hasControl(b []byte) bool {
	for _, c := range b {
		if c < ' ' && c != '\t' || c == 0x7f {
			return true
		}
	}
	return false
}

func tokenByte(c byte) bool {
	switch {
	case c >= 'a' && c <= 'z', c >= 'A' && c <= 'Z', c >= '0' && c <= '9':
		return true
	}
	return bytes.IndexByte([]byte("!#$%&'*+-.^_`|~"), c) >= 0
}

func digits(b []byte) bool {
	for _, c := range b {
		if c < '0' || c > '9' {
			return false
		}
	}
	// More digits than a body can have bytes would overflow in some parsers.
	return len(b) > 0 && len(b) <= 15
}
