// Package loadshare lets nodes tell each other how much work each has at each
// replica, several times a second. A request then needs no question to another
// node, and batch work of one node gives way to online work of another.
package loadshare
