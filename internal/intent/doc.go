// Package intent keeps the durable record that lets a non-idempotent call with
// a key run at most once, whichever node its resends reach.
//
// A row of the table service is written before the call is sent. Only the
// attempt that wrote the row may send, and only it may abandon the row; an
// abandoned row may be taken over, since its attempt never sends.
package intent
