// Package orders reconciles model engines with the settings: it sends the
// orders load, unload and set_role to an engine until its load report shows the
// desired state.
//
// # Ownership
//
// The current owner of a replica (rendezvous hash over the live nodes of its
// data centre) sends orders to the replica's engine. Ownership is soft: for a
// short time two nodes may send orders to one engine, with settings of
// different versions, and orders may be lost, delayed or repeated. The owner
// therefore compares the load report with the settings again in each pass and
// never relies on an order having taken effect.
//
// # Fencing numbers
//
// An order carries as its fencing number the version of the settings that it
// was derived from. The version only increases in the whole fleet and
// identifies one content. Two owners with the same version therefore have the
// same desired state: their orders do not contradict each other, and a delayed
// or repeated one does no harm. Of two owners with different versions, the one
// with the higher number is right. No other number is needed.
//
// An engine that honours fencing numbers refuses an order with a lower number
// than the highest that it has accepted. It still accepts one with an older
// number until the first order with the newer number arrives.
//
// An engine that ignores fencing numbers executes the older order too: for a
// short time it may load a version that is no longer desired, unload the
// desired one, or have the old role. The current owner sees this in the next
// report and orders the desired state again. It does so no later than the sum
// of Config.MaxReportLag, the poll interval and Config.ReconcileInterval after
// the older order (about 4 s), plus the backoff if it sent the same order
// shortly before. A load then also waits for a permit.
//
// A report with a higher number than ours means that our settings are stale.
// This is counted, and nothing is sent until ours have caught up. ErrFenced
// means the same; nothing is sent until our version is higher, or until
// Config.FencedDelay has passed and the report allows orders.
//
// # Permits
//
// A load needs one of Config.MaxLoads permits, the rows weights/permit/<i>,
// so that all nodes together respect the weight store's rate limit. A permit
// is acquired by a write on condition of its row's version and renewed every
// Config.RenewInterval while the load runs. Its row is deleted when the model
// is reported as loaded, or when the load is given up: the engine refused it or
// lost it, or did not report the model within Config.LoadTimeout. When
// ownership of the replica moves, the holder hands the permit over and the new
// owner adopts it, so that the running load is not counted twice; a restarted
// node adopts its own permits. Other nodes take over a row that they saw
// unchanged for Config.PermitTTL by their own monotonic clock, without a failed
// read in between, since the holder cannot renew while the table service is
// unavailable.
//
// At most MaxLoads permits are valid at once. A load may overlap with the next
// one if it continues after its holder was paused for longer than PermitTTL, or
// while the holder could not reach the table service but others could. While
// the table service is unavailable no load starts; running loads continue.
//
// # Cost at the table service
//
// A load costs 2 writes and 1 more per RenewInterval: 8 writes for a load of
// 60 s (a hand-over and its adoption add 2). A write that failed or whose
// response was lost is repeated at most every RenewInterval/5, after 1 read. A
// node tries to acquire one permit at a time with one scan per attempt; its
// delays start below Config.AcquireDelayMin and double up to (number of
// nodes)/Config.ScansPerSecond seconds. A roll-out over 1,800 replicas of 400
// nodes with 2 permits and loads of 60 s costs 2 * (2/60 + 1/10) = 0.27
// writes/s, at most 400 reads in its first second, about 3 more for each node
// in the next 15 s (72/s), and 20 reads/s after that (TestPermitScanRate).
// Loads of 2 s cost 2.2 writes/s. Nodes that wait for no permit read nothing.
package orders
