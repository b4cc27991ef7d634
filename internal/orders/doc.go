// Package orders makes model engines serve what the settings say: it sends the
// orders load, unload and set_role until the load report shows the desired
// state.
//
// # Who orders
//
// The present owner of a replica (rendezvous hash over the live nodes of its
// data centre) orders its engine. Ownership is soft: two nodes may order one
// engine for a moment, with settings of different versions, and orders may be
// lost, late or repeated. The owner therefore compares the load report with
// the settings again at each look and never counts on an order.
//
// # Fencing numbers
//
// An order carries the version of the settings that it follows from. The
// version only rises in the whole fleet and names one content, so two owners
// with the same version want the same state: their orders move the engine in
// one direction, and a late or repeated one does no harm. Owners with
// different versions are told apart by the number, and the newer one is right.
// No other number is needed.
//
// An engine that honours numbers refuses an order with a lower number than the
// highest that it has taken. It still takes one with an older number until the
// first order with the newer number arrives.
//
// An engine that ignores numbers executes the older order too: for a moment it
// may load a version that is no longer wanted, unload the wanted one, or take
// the old role. The present owner sees this in the next report and orders the
// desired state again, at the latest Config.LagBound, the poll interval and
// Config.Interval after the older order (about 4 s), plus the back-off if it
// sent the same order shortly before. A load then also waits for a permit.
//
// A report with a higher number than ours means that our settings are old.
// Nothing is sent until ours have risen, and it is counted. ErrFenced says the
// same; nothing is sent until our version is higher, or until the next report
// after Config.FencedHold says otherwise.
//
// # Permits
//
// A load needs one of Config.MaxLoads permits, the rows weights/permit/<i>,
// so that all nodes together respect the weight store's rate limit. A permit
// is taken on condition of its row's version, renewed every Config.RenewEvery
// while the load runs, and its row deleted when the model is reported loaded,
// or when the load is given up: the engine refused it or lost it, or did not
// report the model within Config.LoadTimeout. When ownership of the replica
// moves, the holder hands the permit over and the new owner adopts it, so that
// the load that runs is not counted twice; a restarted node adopts its own.
// Others take a row over that they saw unchanged for Config.PermitLength on
// their own monotonic clock, without a failed read in between, since the
// holder cannot renew while the table is away.
//
// At most MaxLoads permits are valid at once. A load that goes on after its
// holder was paused for longer than the length, or while the holder could not
// reach the table but others could, may overlap with the next one. While the
// table is away no load starts; loads that run go on.
//
// # Cost at the table service
//
// A load costs 2 writes and 1 more per RenewEvery: 8 writes for a load of 60 s
// (a hand-over and its adoption add 2). A write that failed or whose answer
// was lost is repeated at most every RenewEvery/5, after 1 read. A node asks
// for one permit at a time with one scan per attempt; its pauses begin below
// Config.WaitMin and double up to (number of nodes)/Config.ReadsPerSecond
// seconds. A roll-out over 1,800 replicas of 400 nodes with 2 permits
// and loads of 60 s costs 2 * (2/60 + 1/10) = 0.27 writes/s, at most 400 reads
// in its first second, about 3 more for each node in the next 15 s (72/s), and
// 20 reads/s after that (TestQueueReadRate). Loads of 2 s cost 2.2 writes/s.
// Nodes that wait for nothing read nothing.
package orders
