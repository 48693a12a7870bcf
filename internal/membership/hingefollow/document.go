package hingefollow

import (
	"context"
	"time"

	"github.com/fxamacker/cbor/v2"
	"github.com/rotisserie/eris"

	"github.com/swifthinge/swifthinge/internal/agreement/hingeversion"
	"github.com/swifthinge/swifthinge/internal/core/hingeids"
	"github.com/swifthinge/swifthinge/internal/link/hingelink"
)

// methodDocument requests a part of a configuration (rule 13).
const methodDocument hingelink.Method = "follow.document"

const (
	// maxInlineDocument is the size up to which a response contains a configuration.
	maxInlineDocument = 512 << 10
	// maxDocumentPart is the size of a part. A part is a message of its own, so that heartbeats and requests for placements
	// pass between two of them.
	maxDocumentPart = 512 << 10
	// maxDocumentStarts is how often the parts are requested from the first one, as a newer version was accepted meanwhile.
	maxDocumentStarts = 5
	// partTimeout bounds one part, not all of them: how long these take depends on their number and the host's link.
	partTimeout = time.Second
	// fetchErrorInterval is the least interval between two reports of failed fetches.
	fetchErrorInterval = time.Second
)

type documentRequest struct {
	Version hingeversion.Version `cbor:"1,keyasint"`
	Offset  int                  `cbor:"2,keyasint"`
}

// documentPart has no Part if Version isn't the requested one. Size is that of the whole body.
type documentPart struct {
	Version hingeversion.Version `cbor:"1,keyasint"`
	Size    int                  `cbor:"2,keyasint"`
	Part    []byte               `cbor:"3,keyasint,omitempty"`
}

func (s *Source) handleDocument(_ context.Context, _ hingeids.HostID, body []byte) ([]byte, error) {
	var q documentRequest
	if err := cbor.Unmarshal(body, &q); err != nil {
		return nil, eris.Wrap(err, "decode a request for a configuration")
	}
	d := s.origin.Documents().Load()
	part := documentPart{
		Version: d.Version,
		Size:    len(d.Body),
	}
	if q.Version == d.Version && q.Offset >= 0 && q.Offset < len(d.Body) {
		part.Part = d.Body[q.Offset:min(q.Offset+maxDocumentPart, len(d.Body))]
	}
	return encodeBody(part)
}

// fetchDocument requests a configuration in parts from a control host, and applies it. If a newer one was accepted meanwhile, that one is
// fetched.
func (f *Follower) fetchDocument(ctx context.Context, id hingeids.HostID, v hingeversion.Version) error {
	for range maxDocumentStarts {
		body, newest, err := f.fetchParts(ctx, id, v)
		if err != nil {
			return err
		}
		if newest != v {
			v = newest
			continue
		}
		f.applyDocument(hingeversion.Document{
			Version: v,
			Body:    body,
		})
		return nil
	}
	return eris.Errorf("the configuration changed %d times while it was fetched", maxDocumentStarts)
}

// fetchParts returns the body of a version, or another version that the control host has instead.
func (f *Follower) fetchParts(ctx context.Context, id hingeids.HostID, v hingeversion.Version) ([]byte, hingeversion.Version, error) {
	var body []byte
	for {
		request, err := cbor.Marshal(documentRequest{
			Version: v,
			Offset:  len(body),
		})
		if err != nil {
			return nil, 0, eris.Wrap(err, "encode a request for a configuration")
		}
		b, err := f.callPart(ctx, id, request)
		if err != nil {
			return nil, 0, err
		}
		f.noteSeen(f.settings.Clock(), id)
		var part documentPart
		if err := decodeBody(b, &part); err != nil {
			return nil, 0, err
		}
		if part.Version != v {
			return nil, part.Version, nil
		}
		body = append(body, part.Part...)
		switch {
		case len(body) == part.Size:
			return body, v, nil
		case len(part.Part) == 0 || len(body) > part.Size:
			return nil, 0, eris.Errorf("control host %s sent %d of %d bytes of a configuration", id, len(body), part.Size)
		}
	}
}

// noteSeen notes that a host has responded, though not to a poll: a transfer takes longer than a poll on a slow link, and ends
// if its host loses its place (rule 16).
func (f *Follower) noteSeen(now time.Time, id hingeids.HostID) {
	f.mu.Lock()
	defer f.mu.Unlock()
	h := f.hosts[id]
	if h == nil {
		return
	}
	h.lastSeen = now
	h.unresponsive = false
	next := *f.state.Load()
	next.ControlHosts = f.controlHosts()
	f.state.Store(&next)
}

func (f *Follower) callPart(ctx context.Context, id hingeids.HostID, request []byte) ([]byte, error) {
	partCtx, stop := context.WithTimeout(ctx, partTimeout)
	defer stop()
	return f.link.Call(partCtx, id, methodDocument, request)
}

// applyDocument publishes a configuration unless the follower has a newer one (rule 2).
func (f *Follower) applyDocument(d hingeversion.Document) {
	f.mu.Lock()
	defer f.mu.Unlock()
	next := *f.state.Load()
	if d.Version <= next.Document.Version {
		return
	}
	next.Document = d
	f.state.Store(&next)
}

// fetchLarge fetches the configuration that a response has named but was too large for, if there is one and no other poller fetches it.
// After an error the next poll names it again.
func (f *Follower) fetchLarge(ctx context.Context, id hingeids.HostID, resp followResponse) {
	if !resp.Large || !f.documentMissing(resp.Version) || !f.fetching.CompareAndSwap(false, true) {
		return
	}
	defer f.fetching.Store(false)
	if err := f.fetchDocument(ctx, id, resp.Version); err != nil && ctx.Err() == nil {
		f.reportFetchError(f.settings.Clock(), id, eris.Wrapf(err, "fetch configuration %d from control host %s", resp.Version, id))
	}
}

func (f *Follower) reportFetchError(now time.Time, id hingeids.HostID, err error) {
	f.mu.Lock()
	due := now.Sub(f.fetchErrorAt) >= fetchErrorInterval
	if due {
		f.fetchErrorAt = now
	}
	f.mu.Unlock()
	if due && f.settings.OnFetchError != nil {
		f.settings.OnFetchError(id, err)
	}
}
