// Package hingegroup joins the replicated log (hingelog), the journal
// (hingejournal) and the links between our processes, and applies what is
// committed to a state machine. Several groups run in one process, each under
// its own method prefix.
//
//  1. One goroutine, the loop, owns log, journal and state machine. It takes
//     all that waits, hands it to the log, and carries out the output with one
//     sync: proposals that came during the last sync share the next one.
//  2. Small messages go as datagrams, others as calls through a bounded queue
//     for each peer. What doesn't fit is dropped; the log repeats it.
//  3. A group is founded once. The host whose name sorts first among those with a disk founds
//     it, if every one of them answers that its disk is empty. The founding
//     snapshot names all their disks; whoever has it passes it on until a
//     leader is known. A lost disk can't found a second group as long as one
//     of the others still holds the first.
//  4. A host with an empty disk asks to join until it is a member. The leader takes in
//     a new disk of a host that is a member, and hosts that an operator admitted. A disk's incarnation
//     is the time of day at which it was claimed; one that was claimed with a clock that was
//     behind, and holds nothing yet, is claimed anew above the newest that the leader knows.
//  5. A proposal from any host goes to the leader. Its error says NotRun only if
//     the log refused it, if it never left, or if another entry was committed in its place.
//     Without a leader it is refused at once, with a time to come back.
//  6. Read asks the leader for the index that is committed, under its lease, and waits
//     until the own state machine has applied it.
//  7. In an open group hosts join by themselves, and the leader keeps the number of
//     voters (hingelog rule 13). A host that was founded with others before only ever joins:
//     with an empty disk it would else found a second group as soon as all others are empty too.
//  8. A disk that refuses a write doesn't end the process. The member forgets all that it
//     had in memory, since nobody knows what the write left, and begins anew from
//     the disk once that takes writes again. Meanwhile it neither votes nor leads.
package hingegroup
