// Package hingewire implements an HTTP/1.1 server and client with direct access to the
// connections. The router has to notice the disconnect of a caller whose request is
// queued, to forward bodies unchanged, and to distinguish truncated responses from
// complete ones, for which the client and server of HTTP libraries give too little
// control. Messages are parsed by the standard library.
//
//  1. A request's head is validated before it is parsed. A head that parsers may
//     interpret differently is rejected and the connection closed, which prevents
//     request smuggling.
//  2. A request is read completely before it is handled, so that it can be retried.
//  3. While a request is handled its connection is monitored, and its context is
//     cancelled when the caller disconnects.
//  4. If a response can't be completed the connection is closed without the end of the
//     framing, so that a truncated response never looks complete.
//  5. Each exchange with a backend server has its own connection, so that it can't
//     contain bytes of another exchange, and its error says whether the request may
//     have run.
package hingewire

import (
	"bytes"
	"net/http"

	"github.com/rotisserie/eris"
)

var (
	crlf    = []byte("\r\n")
	headEnd = []byte("\r\n\r\n")
)

// errAmbiguous is the error of a head that parsers may interpret differently.
var errAmbiguous = eris.New("the request's head is ambiguous or malformed")

// checkHead applies rule 1 to a head that includes the empty line at its end.
func checkHead(head []byte) error {
	lines := bytes.Split(head[:len(head)-len(headEnd)], crlf)
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
			if !isLength(value) {
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

// splitField splits a header line. It rejects a line that starts with a space, which is
// an obsolete continuation of the previous line, and a space before the colon, which some
// parsers treat as part of the name.
func splitField(line []byte) (name string, value []byte, err error) {
	colon := bytes.IndexByte(line, ':')
	if colon <= 0 || hasControl(line) {
		return "", nil, eris.Wrap(errAmbiguous, "header line")
	}
	for _, c := range line[:colon] {
		if !isTokenByte(c) {
			return "", nil, eris.Wrap(errAmbiguous, "header name")
		}
	}
	return string(line[:colon]), bytes.Trim(line[colon+1:], " \t"), nil
}

// hasControl reports whether b has control characters other than tabs, such as a bare CR
// or LF.
func hasControl(b []byte) bool {
	for _, c := range b {
		if c < ' ' && c != '\t' || c == 0x7f {
			return true
		}
	}
	return false
}

func isTokenByte(c byte) bool {
	switch {
	case c >= 'a' && c <= 'z', c >= 'A' && c <= 'Z', c >= '0' && c <= '9':
		return true
	}
	return bytes.IndexByte([]byte("!#$%&'*+-.^_`|~"), c) >= 0
}

func isLength(b []byte) bool {
	for _, c := range b {
		if c < '0' || c > '9' {
			return false
		}
	}
	// A longer number would overflow in some parsers.
	return len(b) > 0 && len(b) <= 15
}
