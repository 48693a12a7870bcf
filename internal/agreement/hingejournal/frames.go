package hingejournal

import (
	"encoding/binary"

	"github.com/cespare/xxhash/v2"
	"github.com/rotisserie/eris"
)

const (
	segmentMagic  = "hingesegment 1\n\x00"
	snapshotMagic = "hingesnapshot 1\n"
	headerSize    = 16 + 8 + 8 + 8
	frameSize     = 4 + 8 + 8
	// maxFrameSize is far above the size of a group's batches and snapshots. A greater
	// length is treated as corruption and isn't allocated.
	maxFrameSize = 256 << 20
)

// identityHash is the checksum of an identity. Headers contain it, and frame
// checksums cover it.
type identityHash uint64

func encodeHeader(magic string, identity identityHash, first uint64) []byte {
	b := make([]byte, 0, headerSize)
	b = append(b, magic...)
	b = binary.BigEndian.AppendUint64(b, uint64(identity))
	b = binary.BigEndian.AppendUint64(b, first)
	return binary.BigEndian.AppendUint64(b, xxhash.Sum64(b))
}

func readHeader(b []byte, magic string, identity identityHash) (first uint64, err error) {
	if isHeaderDamaged(b) {
		return 0, eris.New("header is too short or its checksum doesn't match")
	}
	if string(b[:16]) != magic {
		return 0, eris.New("header has an unexpected file type or format version")
	}
	if binary.BigEndian.Uint64(b[16:]) != uint64(identity) {
		return 0, eris.New("header belongs to another host, group or disk incarnation")
	}
	return binary.BigEndian.Uint64(b[24:]), nil
}

// headerIdentity returns the identity in a header, zero if there is no whole one.
func headerIdentity(b []byte) identityHash {
	if isHeaderDamaged(b) {
		return 0
	}
	return identityHash(binary.BigEndian.Uint64(b[16:]))
}

// isHeaderDamaged reports whether the file doesn't start with a complete header of
// any identity.
func isHeaderDamaged(b []byte) bool {
	return len(b) < headerSize || binary.BigEndian.Uint64(b[32:]) != xxhash.Sum64(b[:32])
}

func appendFrame(b []byte, identity identityHash, sequence uint64, records [][]byte) []byte {
	start := len(b)
	b = append(b, make([]byte, frameSize)...)
	for _, r := range records {
		b = binary.AppendUvarint(b, uint64(len(r)))
		b = append(b, r...)
	}
	f := b[start:]
	binary.BigEndian.PutUint32(f, uint32(len(f)-frameSize))
	binary.BigEndian.PutUint64(f[4:], sequence)
	binary.BigEndian.PutUint64(f[12:], checksum(f, identity))
	return b
}

func checksum(frame []byte, identity identityHash) uint64 {
	var d xxhash.Digest
	d.Reset()
	var prefix [8]byte
	binary.BigEndian.PutUint64(prefix[:], uint64(identity))
	_, _ = d.Write(prefix[:])
	_, _ = d.Write(frame[:12])
	_, _ = d.Write(frame[frameSize:])
	return d.Sum64()
}

// The size is in bytes, 0 if the frame is invalid.
func readFrame(b []byte, identity identityHash) (sequence uint64, records [][]byte, size int) {
	if len(b) < frameSize {
		return 0, nil, 0
	}
	n := int(binary.BigEndian.Uint32(b))
	if n > maxFrameSize || n > len(b)-frameSize {
		return 0, nil, 0
	}
	f := b[:frameSize+n]
	if binary.BigEndian.Uint64(f[12:]) != checksum(f, identity) {
		return 0, nil, 0
	}
	records, ok := splitRecords(f[frameSize:])
	if !ok {
		return 0, nil, 0
	}
	return binary.BigEndian.Uint64(f[4:]), records, len(f)
}

func splitRecords(b []byte) ([][]byte, bool) {
	var out [][]byte
	for len(b) > 0 {
		n, used := binary.Uvarint(b)
		if used <= 0 || n > uint64(len(b)-used) {
			return nil, false
		}
		out = append(out, b[used:used+int(n)])
		b = b[used+int(n):]
	}
	return out, true
}

// hasValidFrameAfter ignores frames whose sequence number isn't at or shortly after
// the expected one.
func hasValidFrameAfter(b []byte, identity identityHash, expected uint64) bool {
	const window = 1 << 20
	for i := 1; i+frameSize <= len(b); i++ {
		s := binary.BigEndian.Uint64(b[i+4:])
		if s < expected || s-expected > window {
			continue
		}
		if _, _, size := readFrame(b[i:], identity); size > 0 {
			return true
		}
	}
	return false
}

// readSegment returns the records of a segment, the next sequence number and the size
// in bytes of the valid part. Only the last segment may end with a torn frame.
func readSegment(name string, b []byte, identity identityHash, expected uint64, last bool) ([][]byte, uint64, int, error) {
	first, err := readHeader(b, segmentMagic, identity)
	if err != nil {
		return nil, 0, 0, eris.Wrapf(err, "journal file %s, offset 0", name)
	}
	if first != expected {
		return nil, 0, 0, eris.Errorf("journal file %s begins at frame %d, expected %d: a segment is missing", name, first, expected)
	}
	var out [][]byte
	offset := headerSize
	for offset < len(b) {
		sequence, records, size := readFrame(b[offset:], identity)
		if size > 0 && sequence == expected {
			out = append(out, records...)
			expected++
			offset += size
			continue
		}
		// Rule 4.
		if size > 0 || !last || hasValidFrameAfter(b[offset:], identity, expected) {
			return nil, 0, 0, eris.Errorf("journal file %s is damaged at offset %d, and not only by a torn last frame", name, offset)
		}
		break
	}
	return out, expected, offset, nil
}
