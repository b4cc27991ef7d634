// Package quarantine keeps requests that crash model engines from crashing one
// after the other. It finds the part of the prompts that the crashing requests have
// in common and refuses requests with it until the crashes have ended.
//
// Each node observes its runs at replicas. A run whose connection breaks before it
// has proved harmless is a suspect if the replica then refuses connections. So is one
// whose replica has gone dark with its machine: for longer than sound replicas pause, the
// run has got no answer and no connection was established, neither from this node nor
// from others, while other replicas of the data centre can be reached (silenceWatch). The
// hubs watch such a replica too, since its node may be killed first (suspicionState). The
// suspects of all nodes are reported to one node, the first hub of the service, which
// looks for a part that was in several crashes and asks all nodes whether a run with
// it has proved harmless since. If none has, the part is quarantined: the entry goes
// to all nodes and into the store, so that it outlives restarts. Nodes that do not
// reach each other report to the hub that they reach, and learn the entries of the
// others from the store.
//
// The crashes that are counted are in the store, too, with what is known as harmless: a
// hub, or any other node, may be lost between them. Type crashState shares them,
// attribution says which part they are held against.
//
// A quarantine ends with a trial: one request with the part is let through. If it
// proves harmless, the part is released on all nodes. If it crashes a replica, the
// part is quarantined for twice as long.
package quarantine
