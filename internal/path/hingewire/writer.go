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

// Writer writes the response to a request. It is not safe for concurrent use.
type Writer struct {
	conn   *conn
	method string
	http11 bool
	// closeAfter is whether the connection is closed after the response.
	closeAfter bool
	started    bool
	finished   bool
	chunks     io.WriteCloser
	err        error
}

// writeTimeout limits a write to a caller that doesn't read.
const writeTimeout = 5 * time.Second

// Started reports whether a part of the response was written.
func (w *Writer) Started() bool {
	return w.started
}

// WriteResponse writes a complete response. It does nothing if a response was already started.
func (w *Writer) WriteResponse(status int, h http.Header, body []byte) {
	if w.started {
		return
	}
	w.startHead(status, h)
	if bodyAllowed(status) {
		w.writeField("Content-Length", strconv.Itoa(len(body)))
	}
	w.endHead()
	if w.method != http.MethodHead && bodyAllowed(status) {
		_, err := w.conn.writer.Write(body)
		w.recordError(err)
	}
	w.flush()
	w.finished = w.err == nil
}

func bodyAllowed(status int) bool {
	return status >= http.StatusOK && status != http.StatusNoContent && status != http.StatusNotModified
}

// WriteHead writes the head of a response whose body follows in parts. The errors of
// WriteHead, WritePart and Finish are that of the first failed write.
func (w *Writer) WriteHead(status int, h http.Header) error {
	if !w.http11 {
		// HTTP/1.0 marks the end of such a body by closing the connection.
		w.closeAfter = true
	}
	w.startHead(status, h)
	if w.http11 {
		w.writeField("Transfer-Encoding", "chunked")
		w.chunks = httputil.NewChunkedWriter(w.conn.writer)
	}
	w.endHead()
	w.flush()
	return w.err
}

// WritePart writes a part of the body and flushes it.
func (w *Writer) WritePart(b []byte) error {
	if w.chunks != nil {
		_, err := w.chunks.Write(b)
		w.recordError(err)
	} else {
		_, err := w.conn.writer.Write(b)
		w.recordError(err)
	}
	w.flush()
	return w.err
}

// Finish completes a body that was written in parts. Without it the connection is closed,
// so that the caller notices the truncated response (rule 4).
func (w *Writer) Finish() error {
	if w.chunks != nil {
		w.recordError(w.chunks.Close())
		_, err := w.conn.writer.Write(crlf)
		w.recordError(err)
	}
	w.flush()
	w.finished = w.err == nil
	return w.err
}

func (w *Writer) startHead(status int, h http.Header) {
	w.started = true
	_ = w.conn.raw.SetWriteDeadline(time.Now().Add(writeTimeout))
	out := w.conn.writer
	_, err := out.WriteString("HTTP/1.1 " + strconv.Itoa(status) + " " + http.StatusText(status) + "\r\n")
	w.recordError(err)
	w.recordError(writeHeader(out, h))
	if w.closeAfter {
		w.writeField("Connection", "close")
	}
}

func (w *Writer) writeField(name, value string) {
	_, err := w.conn.writer.WriteString(name + ": " + value + "\r\n")
	w.recordError(err)
}

func (w *Writer) endHead() {
	_, err := w.conn.writer.Write(crlf)
	w.recordError(err)
}

func (w *Writer) flush() {
	_ = w.conn.raw.SetWriteDeadline(time.Now().Add(writeTimeout))
	w.recordError(w.conn.writer.Flush())
}

// recordError keeps the first error of a write.
func (w *Writer) recordError(err error) {
	if err != nil && w.err == nil {
		w.err = eris.Wrap(err, "write response to caller")
	}
}

// connectionHeaders has the hop-by-hop headers and those that are set when a message is
// written.
var connectionHeaders = map[string]bool{
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

// writeHeader writes all headers except those in connectionHeaders.
func writeHeader(out *bufio.Writer, h http.Header) error {
	return h.WriteSubset(out, connectionHeaders)
}
