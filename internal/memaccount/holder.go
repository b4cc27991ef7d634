package memaccount

import "time"

// Holder is one of those for whom an account holds bytes, such as a request.
type Holder struct {
	account *Account
	end     func()
	bulk    bool

	// The account's mutex guards the fields below.
	bytes int64
	pace  pace
	ended bool
}

// Reserve charges n more bytes before they are allocated. It reports whether there is
// room.
func (h *Holder) Reserve(n int64) bool {
	a := h.account
	if a == nil {
		return true
	}
	a.mu.Lock()
	defer a.mu.Unlock()
	if !a.fits(h, n) {
		a.stats.Refused++
		return false
	}
	h.bytes += n
	a.used += n
	if h.ended {
		a.freeing += n
	}
	return true
}

// WillFit reports whether n more bytes fit once the holders that were ended have given
// theirs back.
func (h *Holder) WillFit(n int64) bool {
	a := h.account
	if a == nil {
		return true
	}
	a.mu.Lock()
	defer a.mu.Unlock()
	return a.used-a.freeing+n <= a.room(h, h.bytes+n)
}

// Release gives n bytes back that are no longer referenced.
func (h *Holder) Release(n int64) {
	a := h.account
	if a == nil || n == 0 {
		return
	}
	a.mu.Lock()
	defer a.mu.Unlock()
	h.release(n)
}

func (h *Holder) release(n int64) {
	a := h.account
	h.bytes -= n
	a.used -= n
	if h.ended {
		a.freeing -= n
	}
	a.notify()
}

// Received records that n bytes have arrived.
func (h *Holder) Received(n int64, now time.Time) {
	a := h.account
	if a == nil {
		return
	}
	a.mu.Lock()
	defer a.mu.Unlock()
	h.pace.received(n, now)
}

// Complete records that nothing more is to arrive: the holder no longer ends in favour
// of others. It reports false if it has been ended before.
func (h *Holder) Complete() bool {
	a := h.account
	if a == nil {
		return true
	}
	a.mu.Lock()
	defer a.mu.Unlock()
	delete(a.holders, h)
	return !h.ended
}

// Ended reports whether the holder was ended in favour of others.
func (h *Holder) Ended() bool {
	a := h.account
	if a == nil {
		return false
	}
	a.mu.Lock()
	defer a.mu.Unlock()
	return h.ended
}

// Close gives all bytes back. A nil holder has none.
func (h *Holder) Close() {
	if h == nil || h.account == nil {
		return
	}
	a := h.account
	a.mu.Lock()
	defer a.mu.Unlock()
	delete(a.holders, h)
	if h.bytes > 0 {
		h.release(h.bytes)
	}
}
