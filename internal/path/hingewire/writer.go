package hingewire

import (
	"bufio"
	"io"
	"net/http"
	"net/http/httputil"
	"strconv"
	"time"

	"github.com/rotisserie/eris"
)

// Writer writes the one answer of a request.
type Writer struct {
	conn   *conn
	method string
	http1  bool
	// last says that the connection is closed after the answer.
	last     bool
	begun    bool
	finished bool
	chunks   io.WriteCloser
	failed   error
}

// writeTime bounds a write to a caller that doesn't read. Callers give a silent
// answer up after some seconds.
const writeTime = 5 * time.Second

// Begun reports whether any of the answer was written.
func (w *Writer) Begun() bool {
	return w.begun
}

// Whole writes an answer with its whole body.
func (w *Writer) Whole(status int, h http.Header, body []byte) {
	if w.begun {
		return
	}
	w.begin(status, h)
	if bodyAllowed(status) {
		w.field("Content-Length", strconv.Itoa(len(body)))
	}
	w.endHead()
	if w.method != http.MethodHead && bodyAllowed(status) {
		_, err := w.conn.writer.Write(body)
		w.note(err)
	}
	w.flush()
	w.finished = w.failed == nil
}

func bodyAllowed(status int) bool {
	return status >= http.StatusOK && status != http.StatusNoContent && status != http.StatusNotModified
}

// Begin writes the head of an answer whose body follows in parts.
func (w *Writer) Begin(status int, h http.Header) error {
	if !w.http1 {
		// Only the end of the connection ends a body for such a caller.
		w.last = true
	}
	w.begin(status, h)
	if w.http1 {
		w.field("Transfer-Encoding", "chunked")
		w.chunks = httputil.NewChunkedWriter(w.conn.writer)
	}
	w.endHead()
	w.flush()
	return w.failed
}

// Part writes a part of the body and sends it off.
func (w *Writer) Part(b []byte) error {
	if w.chunks != nil {
		_, err := w.chunks.Write(b)
		w.note(err)
	} else {
		_, err := w.conn.writer.Write(b)
		w.note(err)
	}
	w.flush()
	return w.failed
}

// End ends a body that was written in parts as whole. Without it the
// connection is closed and the caller sees that the answer was cut (rule 4).
func (w *Writer) End() error {
	if w.chunks != nil {
		w.note(w.chunks.Close())
		_, err := w.conn.writer.Write(lineEnd)
		w.note(err)
	}
	w.flush()
	w.finished = w.failed == nil
	return w.failed
}

func (w *Writer) begin(status int, h http.Header) {
	w.begun = true
	_ = w.conn.raw.SetWriteDeadline(time.Now().Add(writeTime))
	out := w.conn.writer
	_, err := out.WriteString("HTTP/1.1 " + strconv.Itoa(status) + " " + http.StatusText(status) + "\r\n")
	w.note(err)
	w.note(writeHeader(out, h))
	if w.last {
		w.field("Connection", "close")
	}
}

func (w *Writer) field(name, value string) {
	_, err := w.conn.writer.WriteString(name + ": " + value + "\r\n")
	w.note(err)
}

func (w *Writer) endHead() {
	_, err := w.conn.writer.Write(lineEnd)
	w.note(err)
}

func (w *Writer) flush() {
	_ = w.conn.raw.SetWriteDeadline(time.Now().Add(writeTime))
	w.note(w.conn.writer.Flush())
}

// note keeps the first failure; the caller is gone then.
func (w *Writer) note(err error) {
	if err != nil && w.failed == nil {
		w.failed = eris.Wrap(err, "write to the caller")
	}
}

// ofConnection are headers that concern one connection only, and those that the
// writer of a message sets itself.
var ofConnection = map[string]bool{
	"Connection":          true,
	"Keep-Alive":          true,
	"Proxy-Connection":    true,
	"Proxy-Authenticate":  true,
	"Proxy-Authorization": true,
	"Te":                  true,
	"Trailer":             true,
	"Transfer-Encoding":   true,
	"Upgrade":             true,
	"Content-Length":      true,
	"Expect":              true,
}

// writeHeader writes all headers but those of a connection.
func writeHeader(out *bufio.Writer, h http.Header) error {
	return h.WriteSubset(out, ofConnection)
}
