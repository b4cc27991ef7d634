// Package httptable is the adapter to the platform's table service over HTTP
// with JSON bodies:
//
//	GET  /v1/row?key=K                        -> Row, or 404 if absent
//	GET  /v1/rows?prefix=P&after=A&limit=N    -> Rows
//	POST /v1/transactions  Transaction        -> Versions, or 409 on a conflict
package httptable
