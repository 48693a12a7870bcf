// Package hingejournal stores a member's durable state in one folder: an
// append-only journal of records, a snapshot that replaces all earlier records, and
// the identity of the disk.
//
//  1. One Append writes one frame and syncs once, however many records it holds, so
//     proposals that are batched share one sync.
//  2. When Append returns without an error, its records are durable. After a failed
//     write or sync the journal rejects all further operations: the contents of the
//     disk are unknown, and a later successful sync wouldn't prove that earlier
//     bytes were written.
//  3. A frame carries its length, its sequence number and a checksum over both,
//     its content and the identity of the folder.
//  4. Only the last frame can be torn, since each is synced before the next is
//     written. An invalid frame in the last segment with no valid frame after it is
//     truncated. Any other invalid frame is an error that names the file and the offset;
//     nothing is skipped. Corruption of the last synced frame looks like a torn
//     write; the check-in of hingelog detects the lost entries.
//  5. A snapshot is written to a temporary file, synced and renamed, and the
//     folder is synced, before the segments that it replaces are removed.
//  6. The identity consists of host, group and disk incarnation. It is created once, in an
//     empty folder. Files of another identity and unknown files are rejected with an
//     error.
//  7. What Open returns is durable. The process before may have been killed between a
//     write and its sync: a frame is then readable, and a power failure would still take it.
//     So Open syncs the folder first, since the names that it finds may not be durable either,
//     then the last segment. Earlier segments were synced before the last one was created,
//     and a snapshot before it was renamed.
//  8. A failed sync may leave bytes readable that no later sync writes. Reopen
//     cuts off what a failed operation left behind, which was never acknowledged. Between processes this
//     isn't possible: a frame of the process before may have been acknowledged. If a sync
//     fails and the process is killed before Reopen, the next one trusts the frame.
//  9. RenewIdentity makes the disk a new one by replacing the identity, which is one atomic
//     step. The new identity names the one that it replaces, and Open removes
//     the files of that: a crash at any point leaves either the old disk or the new one.
package hingejournal
