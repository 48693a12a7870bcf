package hingejournal

import (
	"encoding/binary"
	"slices"
	"strings"
	"time"

	"github.com/cespare/xxhash/v2"
	"github.com/fxamacker/cbor/v2"
	"github.com/rotisserie/eris"

	"github.com/swifthinge/swifthinge/internal/core/hingefolder"
	"github.com/swifthinge/swifthinge/internal/core/hingeids"
)

// Identity identifies the owner of a folder. It is stored in the folder.
type Identity struct {
	Host  hingeids.HostID      `cbor:"1,keyasint"`
	Group string               `cbor:"2,keyasint"`
	Disk  hingeids.Incarnation `cbor:"3,keyasint"`
}

const (
	identityFile   = "identity.hinge"
	segmentSuffix  = ".segment"
	snapshotSuffix = ".snapshot"
)

// The result is true if the identity was created, in an empty folder.
func loadOrCreateIdentity(dir hingefolder.Directory, host hingeids.HostID, group string, now time.Time) (Identity, bool, error) {
	names, err := dir.List()
	if err != nil {
		return Identity{}, false, eris.Wrap(err, "list data folder")
	}
	if err := checkFileNames(names); err != nil {
		return Identity{}, false, err
	}
	if slices.Contains(names, identityFile) {
		id, err := readIdentity(dir)
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
		if !strings.HasSuffix(n, hingefolder.TemporarySuffix) {
			return Identity{}, false, eris.Errorf("data folder contains file %s but no %s", n, identityFile)
		}
	}
	id := Identity{
		Host:  host,
		Group: group,
		Disk:  hingeids.Incarnation(now.UnixNano()),
	}
	return id, true, hingefolder.WriteAtomically(dir, identityFile, encodeIdentity(id))
}

// RenewIdentity replaces the identity of a folder whose journal is empty by one with
// a disk incarnation above the given one. Without it, a host whose clock was behind
// would never be admitted, since its disk would seem older than one that it has lost.
func RenewIdentity(dir hingefolder.Directory, host hingeids.HostID, group string, above hingeids.Incarnation, now time.Time) error {
	names, err := dir.List()
	if err != nil {
		return eris.Wrap(err, "list data folder")
	}
	// Segments contain the hash of the old identity. They are removed first, so that
	// a crash in between leaves an empty folder with its old identity.
	for _, n := range names {
		if n == identityFile {
			continue
		}
		if err := dir.Remove(n); err != nil {
			return eris.Wrapf(err, "remove %s", n)
		}
	}
	if err := dir.Sync(); err != nil {
		return eris.Wrap(err, "sync data folder")
	}
	return hingefolder.WriteAtomically(dir, identityFile, encodeIdentity(Identity{
		Host:  host,
		Group: group,
		Disk:  max(hingeids.Incarnation(now.UnixNano()), above+1),
	}))
}

// checkFileNames rejects files that swifthinge didn't create, so that a wrongly configured
// folder isn't written to.
func checkFileNames(names []string) error {
	for _, n := range names {
		known := n == identityFile || strings.HasSuffix(n, hingefolder.TemporarySuffix) ||
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

func readIdentity(dir hingefolder.Directory) (Identity, error) {
	b, err := dir.Read(identityFile)
	if err != nil {
		return Identity{}, eris.Wrapf(err, "read %s", identityFile)
	}
	n := len(b) - 8
	if n < 0 || xxhash.Sum64(b[:n]) != binary.BigEndian.Uint64(b[n:]) {
		return Identity{}, eris.Errorf("file %s is damaged at offset 0", identityFile)
	}
	var id Identity
	if err := cbor.Unmarshal(b[:n], &id); err != nil {
		return Identity{}, eris.Wrapf(err, "decode %s", identityFile)
	}
	return id, nil
}

func (id Identity) identityHash() identityHash {
	return identityHash(xxhash.Sum64(encodeIdentity(id)))
}
