// Package hingeconfig implements the configuration as a state machine of the
// replicated log: a map from path to document that only accepted changes modify.
//
//  1. A change names the revision that it is based on. It is accepted, and creates
//     the next revision, if no operator's change was accepted after that revision.
//     Otherwise it is a conflict, and the answer names the change that was accepted.
//  2. A change carries an ID. A resend with the same content gets the first answer
//     again, accepted or conflict; the same ID with other content is an error. The
//     IDs of the newest 16384 answers are kept, in snapshots too. A resend whose ID
//     is no longer kept is a conflict by rule 1, so no change is applied twice.
//  3. A system change (Change.System) is made by the system and not by an operator.
//     It may write only paths under "lives/", each of which holds the highest ended
//     incarnation of a host. These numbers only grow, so a system change needs no
//     expected revision: it creates a new revision but never makes an operator's
//     change a conflict (rule 1).
//  4. The newest 1024 changes are kept to compute differences between revisions.
//     From older revisions, a reader gets all documents.
//  5. A View is immutable. The machine publishes a new one after each change, and any
//     goroutine reads it without blocking.
package hingeconfig
