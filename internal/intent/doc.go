// Package intent gives non-idempotent calls with an idempotency key at-most-once
// execution, whichever nodes receive the call and its resends.
//
// Before a call is sent, an intent record is written to a row of the table service.
// Only the attempt that wrote the record may send the call or mark the record as
// abandoned. An attempt that abandons its record never sends, so another attempt may
// then replace the record and send.
package intent
