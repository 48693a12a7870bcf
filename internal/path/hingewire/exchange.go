package hingewire

import (
	"bufio"
	"bytes"
	"context"
	"io"
	"net"
	"net/http"
	"strconv"
	"syscall"
	"time"

	"github.com/rotisserie/eris"
	"golang.org/x/sys/unix"

	"github.com/swifthinge/swifthinge/internal/core/hingeverdict"
)

const (
	// dialTime bounds the opening of a connection to a backend server: a round
	// trip between zones is 2 ms and a server takes 1 ms for it. A lost packet would be
	// sent again after a second only, which is longer than most callers wait;
	// dialling anew is sooner, and dialTries failures in a row are no chance.
	dialTime  = 100 * time.Millisecond
	dialTries = 2
	// silentTime closes a connection whose bytes nobody confirms.
	silentTime = 3 * time.Second
	// readAhead is the buffer of one exchange: some events of a stream, or a plain answer.
	readAhead = 4 << 10
	// inlineBody is the largest request that is written before its answer is
	// looked for: it fits the socket's buffer, so the write can't wait for the server.
	inlineBody = 8 << 10
)

// Sent is a request as it goes to a backend server.
type Sent struct {
	Method string
	Target string
	Host   string
	Header http.Header
	Body   []byte
}

// Exchange is one request at one backend server (rule 5).
type Exchange struct {
	ctx    context.Context
	raw    net.Conn
	reader *bufio.Reader
	stop   func() bool
	// Answer is the server's answer, its body unread.
	Answer *http.Response
}

// Begin dials, sends a request and reads the head of its answer. The context ends
// the exchange at any time. The error's verdict says whether the request can have arrived.
func Begin(ctx context.Context, address string, s Sent) (*Exchange, error) {
	x, err := Dial(ctx, address)
	if err != nil {
		return nil, err
	}
	if err := x.Send(s); err != nil {
		return nil, err
	}
	return x, nil
}

// Dial opens the connection of an exchange. Its failure proves that nothing was sent.
func Dial(ctx context.Context, address string) (*Exchange, error) {
	var raw net.Conn
	var err error
	dialer := net.Dialer{
		Timeout: dialTime,
		Control: setUserTimeout,
	}
	for range dialTries {
		raw, err = dialer.DialContext(ctx, "tcp4", address)
		if err == nil || !isTimeout(err) || ctx.Err() != nil {
			break
		}
	}
	if err != nil {
		return nil, hingeverdict.New(hingeverdict.NotRun, hingeverdict.CodeNoServer, 0, eris.Wrap(err, "dial"))
	}
	x := &Exchange{
		ctx:    ctx,
		raw:    raw,
		reader: bufio.NewReaderSize(raw, readAhead),
	}
	x.stop = context.AfterFunc(ctx, func() {
		_ = raw.Close()
	})
	return x, nil
}

// Send sends the request and reads the head of its answer. The exchange is closed if it fails.
func (x *Exchange) Send(s Sent) error {
	err := x.send(s)
	if err == nil {
		return nil
	}
	x.Close()
	if x.ctx.Err() != nil {
		err = eris.Wrap(context.Cause(x.ctx), err.Error())
	}
	return hingeverdict.New(hingeverdict.MayHaveRun, hingeverdict.CodeServerFailed, 0, err)
}

// setUserTimeout makes the system give up a connection whose bytes aren't
// confirmed: some go silent for good while new ones work.
func setUserTimeout(_, _ string, c syscall.RawConn) error {
	var set error
	err := c.Control(func(fd uintptr) {
		set = unix.SetsockoptInt(int(fd), unix.IPPROTO_TCP, unix.TCP_USER_TIMEOUT, int(silentTime.Milliseconds()))
	})
	if err != nil {
		return err
	}
	return set
}

func (x *Exchange) send(s Sent) error {
	var message bytes.Buffer
	s.write(&message)
	if message.Len() <= inlineBody {
		if _, err := x.raw.Write(message.Bytes()); err != nil {
			return eris.Wrap(err, "send to a backend server")
		}
	} else {
		// A server may answer before it has read a long body, and reads on later.
		go func() {
			// A failed write shows in the reading, which it ends.
			_, _ = x.raw.Write(message.Bytes())
		}()
	}
	for {
		a, err := http.ReadResponse(x.reader, &http.Request{
			Method: s.Method,
		})
		if err != nil {
			return eris.Wrap(err, "answer of a backend server")
		}
		if a.StatusCode >= http.StatusOK {
			x.Answer = a
			return nil
		}
	}
}

func (s Sent) write(b *bytes.Buffer) {
	out := bufio.NewWriter(b)
	// Writes to memory don't fail.
	_, _ = out.WriteString(s.Method + " " + s.Target + " HTTP/1.1\r\nHost: " + s.Host + "\r\n")
	_ = writeHeader(out, s.Header)
	if len(s.Body) > 0 || s.Method == http.MethodPost || s.Method == http.MethodPut || s.Method == http.MethodPatch {
		_, _ = out.WriteString("Content-Length: " + strconv.Itoa(len(s.Body)) + "\r\n")
	}
	_, _ = out.Write(lineEnd)
	_, _ = out.Write(s.Body)
	_ = out.Flush()
}

// largestAnswer bounds an answer that is kept in memory whole.
const largestAnswer = 8 << 20

// Body reads the whole body. An error says that it isn't whole.
func (x *Exchange) Body() ([]byte, error) {
	b, err := io.ReadAll(io.LimitReader(x.Answer.Body, largestAnswer+1))
	if err != nil {
		return nil, eris.Wrap(err, "body of an answer")
	}
	if len(b) > largestAnswer {
		return nil, eris.Errorf("an answer has more than %d bytes", largestAnswer)
	}
	return b, nil
}

// Close ends the exchange and with it whatever the server still does for it.
func (x *Exchange) Close() {
	x.stop()
	_ = x.raw.Close()
}
