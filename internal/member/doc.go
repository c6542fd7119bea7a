// Package member implements cluster membership and failure detection by gossip. It
// maintains each node's view of the fleet: which instances exist, what they serve,
// and which of them are suspect, draining, dead or have left.
//
// Every member publishes its own data under an incarnation, which increases with
// each start, and a revision. Liveness is tracked separately: other nodes may
// accuse a member (suspect, then dead), and only the member itself can refute
// an accusation, by increasing its refutation count. Records form a
// semilattice, so they merge to the same result in any order, and a record
// made before an accusation can never undo it.
//
// Nodes exchange records by gossip: changes are pushed to a few nodes as soon as
// they are learnt, and each round compares hashes of the whole table with one
// other node and repairs the differences.
//
// To find each other at the start and after a network partition, nodes also append
// join records, which hold their control address, to the member stream of the log.
// A join record is no evidence that the node is alive.
package member
