package hingeledger

import (
	"bytes"
	"encoding/binary"
	"errors"
	"hash/crc32"
	"io/fs"
	"path/filepath"
	"slices"

	"github.com/rotisserie/eris"

	"github.com/swifthinge/swifthinge/internal/core/hingefolder"
)

// Store stores the frames of a key owner's journal. Frames are durable once Append
// or Replace has returned without an error.
type Store interface {
	// Load returns all frames, oldest first, and the number of bytes of a torn last
	// frame that were truncated. The frames are durable. No frames and no error means a new disk.
	Load() (frames [][]byte, torn int, err error)
	// Append writes and syncs a frame after the existing ones.
	Append(frame []byte) error
	// Replace atomically replaces all frames by one.
	Replace(frame []byte) error
}

// A frame in the file consists of a magic number, the length of the body, the
// checksum of the body, the checksum of these three fields, and the body. The fields
// are big-endian and have four bytes each.
const (
	frameMagic  = 0x68696e67
	frameHeader = 16
	// maxFrameBytes bounds the length that a header may contain.
	maxFrameBytes = 1 << 30
)

var castagnoli = crc32.MakeTable(crc32.Castagnoli)

// FileStore is a Store in one file.
//
// A power loss can damage only the last frame, since all earlier ones were synced. An
// invalid frame without a valid one after it was never acknowledged and is truncated.
// One before a valid frame means that the disk lost synced data, which is an error,
// because skipping the frame would lose claims.
type FileStore struct {
	directory hingefolder.Directory
	// path is that of the file, for error texts.
	path string
	file hingefolder.File
}

const journalName = "keeper.journal"

// OpenFileStore opens the store in a folder, and creates both if they don't exist.
func OpenFileStore(folder string) (*FileStore, error) {
	d, err := hingefolder.Open(folder)
	if err != nil {
		return nil, err
	}
	return openFileStore(d, filepath.Join(folder, journalName))
}

func openFileStore(d hingefolder.Directory, path string) (*FileStore, error) {
	s := &FileStore{
		directory: d,
		path:      path,
	}
	names, err := d.List()
	if err != nil {
		return nil, eris.Wrap(err, "list the folder of the key owner journal")
	}
	if !slices.Contains(names, journalName) {
		if s.file, err = d.Create(journalName); err != nil {
			return nil, eris.Wrap(err, "create key owner journal")
		}
	} else if s.file, err = d.OpenAppend(journalName); err != nil {
		return nil, eris.Wrap(err, "open key owner journal")
	}
	// The file may have been created or renamed by a process that was killed before it synced the folder.
	if err := d.Sync(); err != nil {
		return nil, errors.Join(eris.Wrap(err, "sync the folder of the key owner journal"), s.file.Close())
	}
	return s, nil
}

// Close closes the file.
func (s *FileStore) Close() error {
	return eris.Wrap(s.file.Close(), "close key owner journal")
}

// Load reads the file and truncates a torn last frame.
func (s *FileStore) Load() (frames [][]byte, torn int, err error) {
	raw, err := s.directory.Read(journalName)
	if err != nil {
		return nil, 0, eris.Wrap(err, "read key owner journal")
	}
	frames, validBytes, err := readFrames(raw)
	if err != nil {
		return nil, 0, eris.Wrapf(err, "read key owner journal %s", s.path)
	}
	if validBytes < len(raw) {
		if err := s.directory.Truncate(journalName, int64(validBytes)); err != nil {
			return nil, 0, eris.Wrap(err, "truncate key owner journal")
		}
	}
	// The process before may have been killed between the write and its sync.
	if err := s.file.Sync(); err != nil {
		return nil, 0, eris.Wrap(err, "sync key owner journal")
	}
	return frames, len(raw) - validBytes, nil
}

// Append writes and syncs a frame.
func (s *FileStore) Append(frame []byte) error {
	if _, err := s.file.Write(encodeFrame(frame)); err != nil {
		return eris.Wrap(err, "write key owner journal")
	}
	return eris.Wrap(s.file.Sync(), "sync key owner journal")
}

// Replace writes a new file in the same folder and renames it to the journal's name.
func (s *FileStore) Replace(frame []byte) error {
	if err := hingefolder.WriteAtomically(s.directory, journalName, encodeFrame(frame)); err != nil {
		return eris.Wrap(err, "replace key owner journal")
	}
	next, err := s.directory.OpenAppend(journalName)
	if err != nil {
		return eris.Wrap(err, "open key owner journal")
	}
	old := s.file
	s.file = next
	return eris.Wrap(old.Close(), "close the previous key owner journal")
}

func encodeFrame(body []byte) []byte {
	out := make([]byte, frameHeader, frameHeader+len(body))
	binary.BigEndian.PutUint32(out, frameMagic)
	binary.BigEndian.PutUint32(out[4:], uint32(len(body)))
	binary.BigEndian.PutUint32(out[8:], crc32.Checksum(body, castagnoli))
	binary.BigEndian.PutUint32(out[12:], crc32.Checksum(out[:12], castagnoli))
	return append(out, body...)
}

// validBytes is the offset of the end of the last valid frame.
func readFrames(raw []byte) (frames [][]byte, validBytes int, err error) {
	for validBytes < len(raw) {
		body, ok := readFrame(raw[validBytes:])
		if !ok {
			return frames, validBytes, checkTail(raw, validBytes)
		}
		frames = append(frames, body)
		validBytes += frameHeader + len(body)
	}
	return frames, validBytes, nil
}

func readFrame(raw []byte) (body []byte, ok bool) {
	length, ok := readHeader(raw)
	if !ok || len(raw) < frameHeader+length {
		return nil, false
	}
	body = raw[frameHeader : frameHeader+length]
	return body, crc32.Checksum(body, castagnoli) == binary.BigEndian.Uint32(raw[8:])
}

func readHeader(raw []byte) (length int, ok bool) {
	if len(raw) < frameHeader || binary.BigEndian.Uint32(raw) != frameMagic {
		return 0, false
	}
	if crc32.Checksum(raw[:12], castagnoli) != binary.BigEndian.Uint32(raw[12:]) {
		return 0, false
	}
	length = int(binary.BigEndian.Uint32(raw[4:]))
	return length, length <= maxFrameBytes
}

// checkTail returns an error unless the invalid frame at offset bad is a torn last
// one. The first frame can't be torn, since Replace writes it before a rename: a file
// without one is damaged or not a journal, and must not be truncated.
func checkTail(raw []byte, bad int) error {
	if bad == 0 {
		return eris.New("offset 0: not a key owner journal, or its first frame is corrupt")
	}
	var magic [4]byte
	binary.BigEndian.PutUint32(magic[:], frameMagic)
	for at := bad + 1; ; at++ {
		next := bytes.Index(raw[at:], magic[:])
		if next < 0 {
			return nil
		}
		at += next
		if _, ok := readFrame(raw[at:]); ok {
			return eris.Errorf("offset %d: corrupt frame before a valid one at offset %d: the disk lost synced data", bad, at)
		}
	}
}

var _ Store = (*FileStore)(nil)

// errKeyOwnerStopped is returned for commands once Run has returned, for example after
// a disk failure.
var errKeyOwnerStopped = eris.Wrap(fs.ErrClosed, "key owner has stopped")
