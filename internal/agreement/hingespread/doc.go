// Package hingespread replicates each accepted configuration to every entry host, and
// keeps a host from returning to an older one.
//
//  1. Every host polls one disk host at a time, its source. The request contains the
//     revision in force. The source responds as soon as it has a newer one, at the
//     latest after the poll time. A host replaces a source that doesn't respond in
//     time by the next one.
//  2. The response contains the difference from the follower's revision, or all
//     documents if the follower is more than 64 revisions behind.
//  3. A source that hears no leader reports that, and the follower tries the next
//     one. It follows such a source only while there is no better one.
//  4. A follower never applies a revision that is older than the one in force.
//  5. A host is ready once it knows that its revision isn't older than any that it
//     applied in an earlier incarnation. If it reaches a quorum, it knows this from a
//     source that confirmed the revision with the leader. If it is cut off, it knows
//     it from peers of its zone (rule 6).
//  6. Before a host applies a revision, it sends it to up to three peers of its zone,
//     its record peers, and waits until a majority confirms, but at most 300 ms. It
//     resends the revision every five seconds. A host that starts and reaches no
//     quorum queries its record peers, and other peers of its zone in turn, for the
//     revision that they recorded for it. It applies the newest configuration that
//     they offer. It is ready if a majority of its record peers has a record of it,
//     whatever the revision, and no peer has a record that is newer than that
//     configuration. Any two majorities have a record peer in common.
//  7. A ready host that is cut off keeps its configuration without a time limit and
//     reports since when it is cut off. Operations that need a quorum (changes,
//     orders to engines, free idempotency keys) are refused by the components that
//     run them, not here.
//
// Limits: a host that can't reach a majority of its record peers within 300 ms
// applies the revision anyway. If it crashes within the next seconds, starts cut off,
// and exactly the record peers that stored the revision are lost, it applies the
// older one. Three kinds of hosts aren't ready before they reach a quorum: those of a
// zone that is cut off and restarts as a whole, a host that is alone in its zone, and
// one with two peers of which one is lost.
package hingespread
