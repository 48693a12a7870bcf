package hingejournal

import (
	"encoding/binary"
	"slices"
	"strings"
	"time"

	"github.com/cespare/xxhash/v2"
	"github.com/fxamacker/cbor/v2"
	"github.com/rotisserie/eris"

	"github.com/swifthinge/swifthinge/internal/core/hingeids"
)

// Identity says whose folder it is.
type Identity struct {
	Host  hingeids.HostID      `cbor:"1,keyasint"`
	Group string               `cbor:"2,keyasint"`
	Disk  hingeids.Incarnation `cbor:"3,keyasint"`
}

const (
	identityFile   = "identity.hinge"
	temporary      = ".new"
	segmentSuffix  = ".segment"
	snapshotSuffix = ".snapshot"
)

// claim reads the identity, or makes one in an empty folder.
func claim(f Files, host hingeids.HostID, group string, now time.Time) (Identity, bool, error) {
	names, err := f.List()
	if err != nil {
		return Identity{}, false, eris.Wrap(err, "list data folder")
	}
	if err := refuseForeign(names); err != nil {
		return Identity{}, false, err
	}
	if slices.Contains(names, identityFile) {
		id, err := readIdentity(f)
		if err != nil {
			return Identity{}, false, err
		}
		if id.Host != host || id.Group != group {
			return Identity{}, false, eris.Errorf("file %s belongs to host %s, group %s; this is host %s, group %s",
				identityFile, id.Host, id.Group, host, group)
		}
		return id, false, nil
	}
	for _, n := range names {
		if !strings.HasSuffix(n, temporary) {
			return Identity{}, false, eris.Errorf("file %s stands in a folder without %s", n, identityFile)
		}
	}
	id := Identity{
		Host:  host,
		Group: group,
		Disk:  hingeids.Incarnation(now.UnixNano()),
	}
	return id, true, writeWhole(f, identityFile, encodeIdentity(id))
}

// Renew gives a folder whose journal is empty an identity with a disk incarnation above another, for a host whose
// time of day was behind when its folder was claimed: to the others its disk would be older
// than one that it has lost, and they would never take it in.
func Renew(f Files, host hingeids.HostID, group string, above hingeids.Incarnation, now time.Time) error {
	names, err := f.List()
	if err != nil {
		return eris.Wrap(err, "list data folder")
	}
	// Segments bear the mark of the identity that they were made under. Removed first, they leave
	// an empty folder with its old identity, should the host die in between.
	for _, n := range names {
		if n == identityFile {
			continue
		}
		if err := f.Remove(n); err != nil {
			return eris.Wrapf(err, "remove %s", n)
		}
	}
	if err := f.Sync(); err != nil {
		return eris.Wrap(err, "sync data folder")
	}
	return writeWhole(f, identityFile, encodeIdentity(Identity{
		Host:  host,
		Group: group,
		Disk:  max(hingeids.Incarnation(now.UnixNano()), above+1),
	}))
}

// refuseForeign refuses files that aren't ours: a folder given by mistake must
// not be written to.
func refuseForeign(names []string) error {
	for _, n := range names {
		known := n == identityFile || strings.HasSuffix(n, temporary) ||
			strings.HasSuffix(n, segmentSuffix) || strings.HasSuffix(n, snapshotSuffix)
		if !known {
			return eris.Errorf("file %s in the data folder isn't swifthinge's", n)
		}
	}
	return nil
}

func encodeIdentity(id Identity) []byte {
	b, err := cbor.Marshal(id)
	if err != nil {
		panic(err)
	}
	return binary.BigEndian.AppendUint64(b, xxhash.Sum64(b))
}

func readIdentity(f Files) (Identity, error) {
	b, err := f.Read(identityFile)
	if err != nil {
		return Identity{}, eris.Wrapf(err, "read %s", identityFile)
	}
	n := len(b) - 8
	if n < 0 || xxhash.Sum64(b[:n]) != binary.BigEndian.Uint64(b[n:]) {
		return Identity{}, eris.Errorf("file %s is damaged at offset 0", identityFile)
	}
	var id Identity
	if err := cbor.Unmarshal(b[:n], &id); err != nil {
		return Identity{}, eris.Wrapf(err, "file %s", identityFile)
	}
	return id, nil
}

func (id Identity) mark() mark {
	return mark(xxhash.Sum64(encodeIdentity(id)))
}

// writeWhole writes a file so that after a crash either all of it is there or
// the one before (rule 5).
func writeWhole(f Files, name string, content []byte) error {
	if err := writeSynced(f, name+temporary, content); err != nil {
		return eris.Wrapf(err, "write %s", name)
	}
	if err := f.Rename(name+temporary, name); err != nil {
		return eris.Wrapf(err, "rename %s", name)
	}
	return eris.Wrapf(f.Sync(), "sync folder for %s", name)
}

func writeSynced(f Files, name string, content []byte) error {
	file, err := f.Create(name)
	if err != nil {
		return err
	}
	if _, err := file.Write(content); err != nil {
		_ = file.Close()
		return err
	}
	if err := file.Sync(); err != nil {
		_ = file.Close()
		return err
	}
	return file.Close()
}
