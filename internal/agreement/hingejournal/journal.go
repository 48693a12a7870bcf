package hingejournal

import (
	"fmt"
	"slices"
	"strings"
	"time"

	"github.com/rotisserie/eris"

	"github.com/swifthinge/swifthinge/internal/core/hingefolder"
)

// segmentLimit is the size in bytes above which a new segment is started. Open reads
// all segments since the last snapshot.
const segmentLimit = 8 << 20

// ErrJournalFailed is returned by Append and Compact after a failed write or sync (rule 2).
var ErrJournalFailed = eris.New("journal is closed to writes after a failed write or sync: the contents of the disk are unknown")

// Totals are the totals of a journal since it was opened.
type Totals struct {
	Syncs   int64
	Records int64
	Bytes   int64
}

// Recovered is the state that Open read from the folder.
type Recovered struct {
	Identity Identity
	// NewDisk is true if the folder was empty, so the disk is new.
	NewDisk bool
	// Snapshot is nil if none has been written.
	Snapshot []byte
	// Records are those stored with the snapshot, then those appended after it.
	Records [][]byte
	// TornBytes is the size in bytes of the torn frame that was truncated.
	TornBytes int
}

// Journal appends records. It is not safe for concurrent use.
type Journal struct {
	directory    hingefolder.Directory
	identity     Identity
	identityHash identityHash
	nextSequence uint64
	segmentFile  hingefolder.File
	segmentName  string
	segmentSize  int64
	buffer       []byte
	totals       Totals
	failed       bool
}

// Open opens the journal of a host's group, or creates it in an empty folder with a disk
// incarnation derived from now. What it returns is durable.
func Open(dir hingefolder.Directory, c Claim, now time.Time) (*Journal, Recovered, error) {
	return openFolder(dir, c, now, nil)
}

// Reopen opens a journal again after a failed write or sync, without what the failed operation left in
// the folder (rule 8). It may be called again after an error.
func (j *Journal) Reopen(now time.Time) (*Journal, Recovered, error) {
	_ = j.Close()
	claim := Claim{
		Host:  j.identity.Host,
		Group: j.identity.Group,
	}
	return openFolder(j.directory, claim, now, &logEnd{
		segment: j.segmentName,
		size:    j.segmentSize,
	})
}

// logEnd is the end of what a journal has acknowledged.
type logEnd struct {
	segment string
	size    int64
}

func openFolder(dir hingefolder.Directory, c Claim, now time.Time, end *logEnd) (*Journal, Recovered, error) {
	if end != nil {
		if err := end.discardRest(dir); err != nil {
			return nil, Recovered{}, err
		}
	}
	// Rule 7, before anything is read or removed.
	if err := dir.Sync(); err != nil {
		return nil, Recovered{}, eris.Wrap(err, "sync data folder")
	}
	id, newDisk, err := loadOrCreateIdentity(dir, c, now)
	if err != nil {
		return nil, Recovered{}, err
	}
	if err := removeReplaced(dir, id); err != nil {
		return nil, Recovered{}, err
	}
	j := &Journal{
		directory:    dir,
		identity:     id,
		identityHash: id.identityHash(),
		nextSequence: 1,
	}
	recovered := Recovered{
		Identity: id,
		NewDisk:  newDisk,
	}
	if err := j.load(&recovered); err != nil {
		return nil, Recovered{}, err
	}
	return j, recovered, nil
}

// discardRest implements rule 8. Files that are newer than the last segment come from a compaction or a new segment
// that failed; what they would have replaced is still there.
func (e *logEnd) discardRest(dir hingefolder.Directory) error {
	names, err := dir.List()
	if err != nil {
		return eris.Wrap(err, "list data folder")
	}
	for _, n := range names {
		if n == e.segment {
			if err := e.discardTail(dir); err != nil {
				return err
			}
		}
		if n != identityFile && sequencePart(n) > sequencePart(e.segment) {
			if err := dir.Remove(n); err != nil {
				return eris.Wrapf(err, "remove %s", n)
			}
		}
	}
	return nil
}

func (e *logEnd) discardTail(dir hingefolder.Directory) error {
	b, err := dir.Read(e.segment)
	if err != nil {
		return eris.Wrapf(err, "read %s", e.segment)
	}
	if int64(len(b)) <= e.size {
		return nil
	}
	return eris.Wrapf(dir.Truncate(e.segment, e.size), "truncate %s", e.segment)
}

func (j *Journal) load(recovered *Recovered) error {
	names, err := j.directory.List()
	if err != nil {
		return eris.Wrap(err, "list data folder")
	}
	slices.Sort(names)
	if err := j.loadSnapshot(names, recovered); err != nil {
		return err
	}
	segments, err := j.removeObsolete(names)
	if err != nil {
		return err
	}
	return j.loadSegments(segments, recovered)
}

// Falling back from a damaged snapshot to an older one would silently lose records,
// so damage is an error.
func (j *Journal) loadSnapshot(names []string, recovered *Recovered) error {
	newest := ""
	for _, n := range names {
		if strings.HasSuffix(n, snapshotSuffix) {
			newest = n
		}
	}
	if newest == "" {
		return nil
	}
	b, err := j.directory.Read(newest)
	if err != nil {
		return eris.Wrapf(err, "read %s", newest)
	}
	first, err := readHeader(b, snapshotMagic, j.identityHash)
	if err != nil {
		return eris.Wrapf(err, "snapshot file %s, offset 0", newest)
	}
	sequence, records, size := readFrame(b[headerSize:], j.identityHash)
	if size != len(b)-headerSize || sequence != first || len(records) == 0 {
		return eris.Errorf("snapshot file %s is damaged at offset %d", newest, headerSize)
	}
	recovered.Snapshot = records[0]
	recovered.Records = records[1:]
	j.nextSequence = first
	return nil
}

// A crash may have left temporary files and files that the newest snapshot replaces.
// The remaining segments are returned.
func (j *Journal) removeObsolete(names []string) ([]string, error) {
	var segments []string
	for _, n := range names {
		obsolete := n < fileName(j.nextSequence, segmentSuffix)
		switch {
		case n == identityFile:
		case strings.HasSuffix(n, segmentSuffix) && !obsolete:
			segments = append(segments, n)
		case strings.HasSuffix(n, snapshotSuffix) && n == fileName(j.nextSequence, snapshotSuffix):
		default:
			if err := j.directory.Remove(n); err != nil {
				return nil, eris.Wrapf(err, "remove %s", n)
			}
		}
	}
	return segments, nil
}

func fileName(first uint64, suffix string) string {
	return fmt.Sprintf("%016x%s", first, suffix)
}

// sequencePart returns the part of a file's name that fileName derives from the sequence number.
func sequencePart(name string) string {
	sequence, _, _ := strings.Cut(name, ".")
	return sequence
}

func (j *Journal) loadSegments(names []string, recovered *Recovered) error {
	for i, n := range names {
		last := i == len(names)-1
		b, err := j.directory.Read(n)
		if err != nil {
			return eris.Wrapf(err, "read %s", n)
		}
		if last && j.isWithoutFrames(n, b) {
			break
		}
		records, next, validSize, err := readSegment(n, b, j.identityHash, j.nextSequence, last)
		if err != nil {
			return err
		}
		recovered.Records = append(recovered.Records, records...)
		j.nextSequence = next
		if !last {
			continue
		}
		recovered.TornBytes = len(b) - validSize
		return j.openLastSegment(n, int64(validSize), recovered.TornBytes > 0)
	}
	return j.startSegment()
}

// isWithoutFrames reports whether a segment holds no frames, so that it can be created again. A crash may have
// interrupted its creation, or the sync of its header may have failed.
func (j *Journal) isWithoutFrames(name string, b []byte) bool {
	if len(b) > headerSize || name != fileName(j.nextSequence, segmentSuffix) {
		return false
	}
	if isHeaderDamaged(b) {
		return true
	}
	first, err := readHeader(b, segmentMagic, j.identityHash)
	return err == nil && first == j.nextSequence
}

// A torn frame at the end of the segment is truncated, and the rest is made durable (rule 7).
func (j *Journal) openLastSegment(name string, validSize int64, torn bool) error {
	if torn {
		if err := j.directory.Truncate(name, validSize); err != nil {
			return eris.Wrapf(err, "truncate %s", name)
		}
	}
	file, err := j.directory.OpenAppend(name)
	if err != nil {
		return eris.Wrapf(err, "open %s", name)
	}
	if err := file.Sync(); err != nil {
		_ = file.Close()
		return eris.Wrapf(err, "sync %s", name)
	}
	j.segmentFile = file
	j.segmentName = name
	j.segmentSize = validSize
	return nil
}

func (j *Journal) startSegment() error {
	name := fileName(j.nextSequence, segmentSuffix)
	file, err := j.directory.Create(name)
	if err != nil {
		return eris.Wrapf(err, "create %s", name)
	}
	if _, err := file.Write(encodeHeader(segmentMagic, j.identityHash, j.nextSequence)); err != nil {
		return eris.Wrapf(err, "write %s", name)
	}
	if err := file.Sync(); err != nil {
		return eris.Wrapf(err, "sync %s", name)
	}
	if err := j.directory.Sync(); err != nil {
		return eris.Wrap(err, "sync data folder")
	}
	if j.segmentFile != nil {
		_ = j.segmentFile.Close()
	}
	j.segmentFile = file
	j.segmentName = name
	j.segmentSize = headerSize
	return nil
}

// Append writes the records as one frame and syncs it (rules 1 and 2).
func (j *Journal) Append(records ...[]byte) error {
	if j.failed {
		return ErrJournalFailed
	}
	err := j.append(records)
	j.failed = err != nil
	return err
}

func (j *Journal) append(records [][]byte) error {
	if j.segmentSize > segmentLimit {
		if err := j.startSegment(); err != nil {
			return err
		}
	}
	j.buffer = appendFrame(j.buffer[:0], j.identityHash, j.nextSequence, records)
	if len(j.buffer) > maxFrameSize {
		return eris.Errorf("frame of %d bytes exceeds the maximum frame size", len(j.buffer))
	}
	if _, err := j.segmentFile.Write(j.buffer); err != nil {
		return eris.Wrapf(err, "write %s", j.segmentName)
	}
	if err := j.segmentFile.Sync(); err != nil {
		return eris.Wrapf(err, "sync %s", j.segmentName)
	}
	j.nextSequence++
	j.segmentSize += int64(len(j.buffer))
	j.totals.Syncs++
	j.totals.Records += int64(len(records))
	j.totals.Bytes += int64(len(j.buffer))
	return nil
}

// Compact replaces all records appended so far by a snapshot and the records that are
// stored with it (rule 5).
func (j *Journal) Compact(snapshot []byte, kept ...[]byte) error {
	if j.failed {
		return ErrJournalFailed
	}
	err := j.compact(snapshot, kept)
	j.failed = err != nil
	return err
}

func (j *Journal) compact(snapshot []byte, kept [][]byte) error {
	// The snapshot consumes a sequence number, so that its file name differs from
	// that of an earlier snapshot even if nothing was appended in between.
	j.nextSequence++
	b := encodeHeader(snapshotMagic, j.identityHash, j.nextSequence)
	b = appendFrame(b, j.identityHash, j.nextSequence, append([][]byte{snapshot}, kept...))
	if err := hingefolder.WriteAtomically(j.directory, fileName(j.nextSequence, snapshotSuffix), b); err != nil {
		return err
	}
	if err := j.startSegment(); err != nil {
		return err
	}
	names, err := j.directory.List()
	if err != nil {
		return eris.Wrap(err, "list data folder")
	}
	slices.Sort(names)
	_, err = j.removeObsolete(names)
	return err
}

// HasFailed reports whether the journal rejects all further operations (rule 2).
func (j *Journal) HasFailed() bool {
	return j.failed
}

// Totals returns the totals since the journal was opened.
func (j *Journal) Totals() Totals {
	return j.totals
}

// Close closes the current segment without a sync; all appended records are durable
// already.
func (j *Journal) Close() error {
	j.failed = true
	return j.segmentFile.Close()
}
