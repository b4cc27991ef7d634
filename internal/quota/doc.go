// Package quota keeps the requests of each organisation within its limit over all nodes.
//
// The limit is divided among the data centres. In each, the highest ranked node of an
// organisation, its owner, holds a ledger with the share of the data centre and gives the
// nodes leases of some requests. Owners pass what they don't need to those of other data
// centres. No part of a limit is ever held by two owners, so that a cut between data
// centres needs no detection. See docs/design/organisation-limits.md.
package quota
