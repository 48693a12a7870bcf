// Package hingelog is the replicated log that the hosts with a disk agree on:
// Raft's published algorithm with pre-votes, leases and learners. It does no
// input or output and reads no clock. Its user hands in messages, proposals and
// the present time, and carries out what Take gives.
//
//  1. A member is a host and the incarnation of its disk. A host whose disk was
//     lost comes back as another member, so what it has forgotten is never
//     counted. A message that names another incarnation is dropped.
//  2. What Take gives is made durable first; only then are its messages sent,
//     and Synced is called. Only a leader's entries may go out before (Output.Early). An answer therefore never speaks of what a
//     crash can undo.
//  3. A voter that hears no leader for an election time plus a random part of
//     another asks for pre-votes, again after a quarter of it while refused,
//     and raises its term only once a quorum would vote for it. A host that was cut off doesn't disturb the others when it returns.
//  4. A voter grants one vote a term, on disk, to a candidate whose log is at least as
//     new as its own.
//  5. A voter ignores candidates for an election time after it heard from a
//     leader, and after its own start, since it may have heard one just before.
//  6. A leader holds a lease from the send time of the newest heartbeat that a
//     quorum has answered, for nine tenths of the election time by its own
//     clock. Rule 5 keeps any other leader away for longer than that as long
//     as no two clocks' rates differ by more than a tenth. It answers
//     reads, takes proposals and acts as leader inside the lease only.
//  7. A leader that heard no quorum for an election time steps down. With a one-way
//     cut it would otherwise go on sending heartbeats, and nobody could be elected.
//  8. A leader commits what a quorum holds durably, and only counts entries of
//     its own term; older ones are committed along with them.
//  9. A follower whose next entry is compacted away gets one snapshot.
//  10. A change of members adds a learner, promotes one or removes a member, one at a
//     time: the next waits until the last is committed, and until the leader has
//     committed an entry of its term. Quorums before and after always overlap.
//  11. A learner counts for nothing until it has confirmed everything that is
//     committed, durably, and heard the leader within an election time; then
//     the leader removes the lost incarnation of its host and promotes it.
//     Only the Promoted event says that a repair is done.
//  12. After a start a member asks the others what they know that it held, and
//     neither votes nor confirms entries until a quorum (itself counted) has answered.
//     If one of them knows of a later term or of a committed entry beyond its
//     own, its disk is an older copy: it stops with ForgetfulDisk. This is a guard beside
//     rule 1 for copies that carry the same incarnation. It sees
//     what those who answer have heard in this life of their process, no more.
//  13. Where a number of voters is set, members come and go without an operator. A
//     learner that holds everything is promoted while votes are free, and else takes the vote of a
//     voter that the leader hasn't heard for a while: a host that was replaced at
//     another address never returns, and until its vote is taken away the
//     next loss would leave no quorum. Votes are taken away only for a
//     learner that stands ready. A learner that isn't heard for long is dropped;
//     whoever was dropped wrongly asks to join again.
package hingelog
