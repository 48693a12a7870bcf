// Package hingelog is the replicated log of the hosts with a disk: Raft with
// pre-votes, leases and learners. It does no input or output and reads no clock. The
// caller passes in messages, proposals and the current time, and processes the Output
// that DrainOutput returns.
//
//  1. A member is a host and the incarnation of its disk. A host that lost its disk
//     rejoins as a new member, so that its earlier votes and confirmations don't
//     count for the new disk. A message to another incarnation is dropped.
//  2. The output of DrainOutput is made durable before its messages are sent and
//     MarkSynced is called, so that no message states what a crash can undo. Only a
//     leader's entries may be sent earlier (Output.SplitMessages).
//  3. A voter that receives nothing from a leader for an election time plus a random
//     part of another requests pre-votes. While it is refused, it retries after about
//     a quarter of an election time. It increments its term only once a quorum would
//     vote for it, so a host that was partitioned doesn't disrupt the others when it
//     returns. A learner requests nothing, but knows no leader from then on. Neither does
//     a former voter for two election times more, as it doesn't know after a restart
//     whether the change that took its vote is committed.
//  4. A voter grants one vote per term, stored on disk, to a candidate whose log is
//     at least as up to date as its own.
//  5. A voter ignores candidates for an election time after it received a message
//     from a leader, and after its own start, since it may have received one just
//     before.
//  6. A leader holds a lease from the send time of the newest heartbeat that a quorum
//     has answered, for nine tenths of the election time by its own clock. Rule 5
//     prevents another leader for longer than that, as long as no two clocks' rates
//     differ by more than a tenth. The leader serves reads, accepts proposals and
//     acts as leader only within the lease.
//  7. A leader that has no answers of a quorum for an election time steps down. Under
//     a one-way partition it would otherwise keep sending heartbeats, and no other
//     member could be elected.
//  8. A leader commits what a quorum holds durably. It counts only entries of its own
//     term; earlier ones are committed along with them.
//  9. A follower whose next entry has been compacted receives one snapshot.
//  10. A membership change adds a learner, promotes one, removes a member or replaces a
//     voter by a learner. Changes are made one at a time: the next waits until the
//     previous one is committed and until the leader has committed an entry of its
//     term. Quorums before and after a change always overlap. A replacement takes two
//     entries: from the first on, a quorum needs a majority of the voters before and a
//     majority of those after the replacement (Raft's joint consensus); the second,
//     which any leader appends once the first is committed, leaves only the latter.
//     Members that run a version without replacements aren't sent the first entry;
//     while they are needed for a quorum, nothing is replaced.
//  11. A learner counts toward no quorum until it has durably confirmed all committed
//     entries and has answered the leader within an election time. Then the leader
//     replaces the lost incarnation of its host by the learner. Only the Promoted event
//     means that a repair is complete.
//  12. After a start a member asks the others which term and entries they know it
//     held. It neither votes nor confirms entries until a quorum (itself counted) has
//     answered. If a member knows of a later term or of a committed entry beyond the
//     member's own, the disk is an older copy: the member stops with StaleDisk. This
//     complements rule 1 for copies with the same incarnation. It detects only what
//     the answering members have received since their processes started.
//  13. If a number of voters is set, members join and leave without an operator. A
//     learner that holds all committed entries is promoted while there are fewer
//     voters than that. Otherwise it replaces a voter that hasn't answered the leader
//     for the silence timeout: a host that was replaced at another address never returns,
//     and while it remains a voter the next loss would leave no quorum. Leaders state
//     the silence in their messages, so that the next one continues to count. The replaced voter
//     becomes a learner, in case it returns. A learner that doesn't
//     answer for long is removed; if it was removed wrongly, it requests to join
//     again.
//  14. A member that is about to stop says so in its answers. If it is a voter, the leader
//     gives its vote to a learner that is ready and doesn't stop as well: the host may
//     never return, and the next loss may come before rule 13 has moved the vote.
//  15. Votes are spread over zones as evenly as the members that are ready allow.
//     Otherwise the loss of one zone could take the quorum, after votes have moved
//     between zones.
//  16. One large message at a time is on its way to a member. Entries after it wait until it has arrived or failed; the
//     heartbeats that overtake it have no entries, and their rejections have no effect but on the lease. A rejection of the
//     large message itself has: the member lacks what comes before it.
package hingelog
