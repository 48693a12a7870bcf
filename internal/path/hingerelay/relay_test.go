package hingerelay

import (
	"bytes"
	"errors"
	"io"
	"strconv"
	"strings"
	"testing"

	"github.com/google/go-cmp/cmp"
	"github.com/rogpeppe/go-internal/txtar"
)

var errorNames = map[string]error{
	"foreign":   ErrWrongRequest,
	"gap":       ErrMissingToken,
	"noEndMark": ErrNoEndMarker,
	"malformed": ErrMalformed,
	"whole":     io.EOF,
}

// Streams that are mixed up, truncated or resumed with an overlap must not lead to
// wrong, duplicate or missing tokens. The cases are in testdata/streams.txtar.
func TestStreams(t *testing.T) {
	archive, err := txtar.ParseFile("testdata/streams.txtar")
	if err != nil {
		t.Fatal(err)
	}
	for _, f := range archive.Files {
		t.Run(f.Name, func(t *testing.T) {
			head, stream, _ := strings.Cut(string(f.Data), "\n")
			fields := strings.Fields(head)
			from, err := strconv.Atoi(fields[0])
			if err != nil {
				t.Fatal(err)
			}
			tokens, err := readAll(NewReader(strings.NewReader(stream), "h.1.1", from))
			if !errors.Is(err, errorNames[fields[1]]) {
				t.Errorf("ended with %v, want %s", err, fields[1])
			}
			if diff := cmp.Diff(strings.Join(fields[2:], " "), strings.Join(tokens, " ")); diff != "" {
				t.Error(diff)
			}
		})
	}
}

func readAll(r *Reader) ([]string, error) {
	var out []string
	for {
		e, err := r.Next()
		if err != nil {
			return out, err
		}
		out = append(out, strconv.Itoa(e.Index))
	}
}

func TestNextDoesNotAllocate(t *testing.T) {
	event := []byte("id: 0\ndata: {\"id\":\"h.1.1\",\"choices\":[{\"index\":0,\"text\":\"a\"}]}\n\n")
	r := NewReader(&repeatingReader{
		event: event,
	}, "h.1.1", 0)
	got := testing.AllocsPerRun(1000, func() {
		r.next = 0
		if _, err := r.Next(); err != nil {
			t.Fatal(err)
		}
	})
	if got != 0 {
		t.Fatalf("%v allocations per token", got)
	}
}

type repeatingReader struct {
	event     []byte
	remaining []byte
}

func (e *repeatingReader) Read(p []byte) (int, error) {
	if len(e.remaining) == 0 {
		e.remaining = e.event
	}
	n := copy(p, e.remaining)
	e.remaining = e.remaining[n:]
	return n, nil
}

func FuzzReader(f *testing.F) {
	f.Add([]byte("id: 0\ndata: {\"id\":\"h.1.1\"}\n\ndata: [DONE]\n\n"))
	f.Add([]byte("data: {\"id\":\"h.1.2\"}\n\n"))
	f.Add([]byte("id: 99999999999\n"))
	f.Fuzz(func(t *testing.T, stream []byte) {
		r := NewReader(bytes.NewReader(stream), "h.1.1", 0)
		want := 0
		for {
			e, err := r.Next()
			if err != nil {
				return
			}
			if e.Index != want {
				t.Fatalf("received token %d instead of %d", e.Index, want)
			}
			want++
		}
	})
}
