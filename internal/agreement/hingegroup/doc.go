// Package hingegroup runs one host's part of a replicated group. It joins the
// replicated log (hingelog), its journal on disk (hingejournal) and the links to the
// other hosts, and applies committed entries to a state machine. Several groups run in
// one process, each with its own method prefix.
//
//  1. One goroutine, the loop, owns log, journal and state machine. Each round it
//     processes all waiting messages and proposals, and persists the log's output with
//     one sync, so proposals that arrive during a sync share the next one.
//  2. Messages that fit into a datagram are sent as one, larger ones as calls through a
//     bounded queue for each peer. A message that finds the queue full is dropped;
//     the log sends it again.
//  3. A closed group is bootstrapped once, by the host whose name sorts first among the configured ones,
//     and only if all of them report an empty disk. The bootstrap snapshot names
//     their disks as voters. Every host that has it sends it to the others until a
//     leader is known. A host that lost its disk can't bootstrap a second group while
//     any other disk still holds the first.
//  4. A host with an empty disk requests to join until it is a member. The leader adds
//     the new disk of a host that is a member, and hosts that an operator admitted. The
//     incarnation of a disk is the time of day at which it was claimed. If a clock was
//     behind, an empty disk is claimed again, above the newest incarnation of its
//     host that the leader knows.
//  5. A proposal is forwarded to the leader. Its error is NotRun only if the log
//     refused it, if it was never sent, or if another entry was committed at its index.
//     If no leader is found (rule 9), it is refused with a retry time.
//  6. Read requests the committed index from the leader, which answers under its lease,
//     and waits until the local state machine has applied that index.
//  7. In an open group hosts join without an operator, and the leader keeps the number
//     of voters (hingelog rule 13). It is bootstrapped by the founders: the configured hosts that start
//     for the first time. Each claims its empty disk with the incarnation that all founders' disks have, writes
//     the founders down with it, and stores the bootstrap snapshot, which is the same at all of them, without
//     asking the others. A founder that is killed meanwhile goes on from its disk at its next start.
//     There is one group, since each quorum has a majority of the founders' disks, and a
//     founder that lost its disk claims the next one with another incarnation, so that it can't vote twice.
//     Hosts that start later only join.
//  8. A failed write doesn't end the process. What it left on the disk is unknown, so the
//     member discards its state in memory and restarts from what the journal has acknowledged
//     once writes succeed again. Until then it neither votes nor leads.
//  9. A host whose log knows no leader asks all hosts that it knows for it: those of its
//     settings, the members, and hosts from which messages of the group have arrived, also
//     those for a lost disk. ReadState takes the state from the leader, under its lease,
//     unless the local copy holds everything that the leader had committed. Reads of one
//     moment share one query, which starts after each of them has arrived.
//  10. A member whose disk holds less than it has confirmed (hingelog rule 12) neither votes nor confirms
//     anything, and keeps its folder: if no quorum is left without it, an operator may need what it holds. Once
//     a leader answers under a lease that began after this process, the others have a quorum, which
//     holds all that is committed. The disk is then renewed, and joins as an empty one (rule 4).
//  11. Founders may be killed before they have claimed their disks; if a majority is, no founder's group can start. An open
//     group is then bootstrapped late: in two rounds in a row each configured host must answer with the same disk and the
//     same list of configured hosts, know of no group, and hold no first state but the founders'. Those founders that
//     haven't lost their disk must be too few to start their group, and so must those that are silent. The first host by name
//     proposes their disks as voters. The others store that before it does, each only for the last round that it has
//     answered. A host that has stored it sends it to the others until there is a leader. A second proposal needs an answer of
//     each host of a list too; a host in both lists stores one of the two at most. A majority of the configured hosts
//     isn't enough: two that have lost their disks, cut off from the third, would found a group beside its own. That two lists
//     without a common host are in use before any group has started is excluded by the settings alone.
//  12. What may be larger than one call is sent in parts: messages of the log, proposals to the leader and the state of
//     the leader. A proposal counts once its last part has arrived; parts of two states are never joined.
package hingegroup
