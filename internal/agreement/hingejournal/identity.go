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

// Claim is what a host writes into the identity of an empty folder.
type Claim struct {
	Host  hingeids.HostID
	Group string
	// Founders are the hosts that found the group, this one among them; empty unless it starts for the first time.
	Founders []hingeids.HostID
}

// FoundersDisk is the incarnation of all disks that are claimed with Founders. Each founder knows the others' disks by it
// without having heard of them. A disk that is claimed later has a time of day instead, which is far above.
const FoundersDisk hingeids.Incarnation = 1

// Identity identifies the owner of a folder. It is stored in the folder.
type Identity struct {
	Host  hingeids.HostID      `cbor:"1,keyasint"`
	Group string               `cbor:"2,keyasint"`
	Disk  hingeids.Incarnation `cbor:"3,keyasint"`
	// Replaces is the identity of the disk whose files this one replaces; zero for a folder that was empty.
	Replaces identityHash `cbor:"4,keyasint,omitempty"`
	// Founders are those of the claim.
	Founders []hingeids.HostID `cbor:"5,keyasint,omitempty"`
}

const (
	identityFile   = "identity.hinge"
	segmentSuffix  = ".segment"
	snapshotSuffix = ".snapshot"
)

// The result is true if the identity was created, in an empty folder.
func loadOrCreateIdentity(dir hingefolder.Directory, c Claim, now time.Time) (Identity, bool, error) {
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
		if id.Host != c.Host || id.Group != c.Group {
			return Identity{}, false, eris.Errorf("file %s belongs to host %s, group %s; this is host %s, group %s",
				identityFile, id.Host, id.Group, c.Host, c.Group)
		}
		return id, false, nil
	}
	for _, n := range names {
		if !strings.HasSuffix(n, hingefolder.TemporarySuffix) {
			return Identity{}, false, eris.Errorf("data folder contains file %s but no %s", n, identityFile)
		}
	}
	id := Identity{
		Host:     c.Host,
		Group:    c.Group,
		Disk:     hingeids.Incarnation(now.UnixNano()),
		Founders: c.Founders,
	}
	if len(c.Founders) > 0 {
		id.Disk = FoundersDisk
	}
	return id, true, hingefolder.WriteAtomically(dir, identityFile, encodeIdentity(id))
}

// RenewIdentity turns a folder into a new, empty disk of its host, with an incarnation above the given one. The next
// Open removes what the disk held (rule 9). It does nothing if the incarnation is above already.
func RenewIdentity(dir hingefolder.Directory, above hingeids.Incarnation, now time.Time) error {
	previous, err := readIdentity(dir)
	if err != nil {
		return err
	}
	if previous.Disk > above {
		return nil
	}
	return hingefolder.WriteAtomically(dir, identityFile, encodeIdentity(Identity{
		Host:     previous.Host,
		Group:    previous.Group,
		Disk:     max(hingeids.Incarnation(now.UnixNano()), above+1),
		Replaces: previous.identityHash(),
	}))
}

// removeReplaced removes the files of the disk that this one replaces. A file without a whole header holds nothing.
func removeReplaced(dir hingefolder.Directory, id Identity) error {
	names, err := dir.List()
	if err != nil || id.Replaces == 0 {
		return eris.Wrap(err, "list data folder")
	}
	for _, n := range names {
		if n == identityFile {
			continue
		}
		b, err := dir.Read(n)
		if err != nil {
			return eris.Wrapf(err, "read %s", n)
		}
		if isHeaderDamaged(b) && len(b) <= headerSize || headerIdentity(b) == id.Replaces {
			if err := dir.Remove(n); err != nil {
				return eris.Wrapf(err, "remove %s", n)
			}
		}
	}
	return nil
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

// identityHash leaves out the fields that earlier versions don't know.
func (id Identity) identityHash() identityHash {
	id.Replaces = 0
	id.Founders = nil
	return identityHash(xxhash.Sum64(encodeIdentity(id)))
}
