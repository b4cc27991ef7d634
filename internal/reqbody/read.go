package reqbody

import (
	"errors"
	"io"
	"net/http"
	"os"
	"time"

	"gentiantide.example/gentiantide/internal/memaccount"
)

const (
	// firstBuffer is the size of the first buffer of a body. Most bodies are smaller.
	firstBuffer = 4 << 10
	// fastGrowth is the size up to which a buffer grows by 4 instead of by 2.
	fastGrowth = 64 << 10
	// stallWindow is the time in which at least minProgress bytes must arrive. The
	// keep-alive probes find a dead caller within two seconds.
	stallWindow = 10 * time.Second
	// leastWindow is the least time between two windows, which saves timers.
	leastWindow = time.Second
	// minProgress is far below what any link carries in stallWindow.
	minProgress = 1 << 10
	// roomWait is how long a body waits for the memory of another that was ended for it.
	// The other gives it back within milliseconds.
	roomWait = 250 * time.Millisecond
)

var (
	// ErrNoRoom means that the process has no memory for the body.
	ErrNoRoom = errors.New("no memory for the request body")
	// ErrEnded means that the body ended because others progress more.
	ErrEnded = errors.New("request body ended in favour of others")
	// ErrTooSlow means that the body did not progress.
	ErrTooSlow = errors.New("request body progresses too slowly")
)

// Body is a request body that was read.
type Body struct {
	Bytes []byte
	// Holder is charged for Bytes until it is closed. It is nil if there are none.
	Holder *memaccount.Holder
}

// Read reads the whole body of a request, of at most limit bytes, until a deadline. The
// caller closes the holder when the bytes are no longer used. After an error, what is
// left of the body is not read.
func Read(w http.ResponseWriter, in *http.Request, account *memaccount.Account, limit int64, deadline time.Time) (Body, error) {
	if in.ContentLength == 0 {
		return Body{}, nil
	}
	control := http.NewResponseController(w)
	if in.ContentLength > limit {
		stopReading(control)
		return Body{}, &http.MaxBytesError{Limit: limit}
	}
	r := &reader{
		source: http.MaxBytesReader(w, in.Body, limit), control: control, account: account,
		announced: in.ContentLength, limit: limit, deadline: deadline,
	}
	r.holder = account.Open(time.Now(), func() { stopReading(control) })
	err := r.readAll()
	if !r.holder.Complete() {
		err = ErrEnded
	}
	if err == nil {
		err = control.SetReadDeadline(time.Time{})
	}
	if err != nil {
		r.buf = nil
		r.holder.Close()
		stopReading(control)
		return Body{}, err
	}
	return Body{Bytes: r.buf, Holder: r.holder}, nil
}

// stopReading makes reads fail at once, also those of net/http, which would read on after
// the response.
func stopReading(control *http.ResponseController) {
	_ = control.SetReadDeadline(time.Unix(1, 0)) // fails only if the connection is closed
}

// reader reads one body.
type reader struct {
	source    io.Reader
	control   *http.ResponseController
	account   *memaccount.Account
	holder    *memaccount.Holder
	announced int64 // or -1
	limit     int64
	deadline  time.Time

	buf []byte
	// past takes a byte after the end of a full buffer that may be the last one.
	past [1]byte
	// windowBegan is when the present window began, and inWindow what it has brought.
	windowBegan time.Time
	inWindow    int64
}

func (r *reader) readAll() error {
	if err := r.beginWindow(time.Now()); err != nil {
		return err
	}
	for {
		n, err := r.readOnce()
		if err == io.EOF {
			return nil
		}
		now := time.Now()
		if errors.Is(err, os.ErrDeadlineExceeded) && now.Before(r.deadline) {
			return ErrTooSlow
		}
		if err != nil {
			return err
		}
		r.holder.Received(n, now)
		r.inWindow += n
		if r.inWindow >= minProgress && now.Sub(r.windowBegan) >= leastWindow {
			if err := r.beginWindow(now); err != nil {
				return err
			}
		}
	}
}

// beginWindow begins a window and sets its read deadline. The body may be ended by
// another goroutine at any time, which sets the deadline as well.
func (r *reader) beginWindow(now time.Time) error {
	r.windowBegan, r.inWindow = now, 0
	at := now.Add(stallWindow)
	if r.deadline.Before(at) {
		at = r.deadline
	}
	if err := r.control.SetReadDeadline(at); err != nil {
		return err
	}
	if r.holder.Ended() {
		return ErrEnded
	}
	return nil
}

// readOnce reads what has arrived into the buffer, which it enlarges if it is full.
func (r *reader) readOnce() (int64, error) {
	if len(r.buf) == cap(r.buf) {
		if size := nextSize(int64(cap(r.buf)), r.announced, r.limit); size > int64(cap(r.buf)) {
			if err := r.grow(size); err != nil {
				return 0, err
			}
		} else {
			n, err := r.source.Read(r.past[:])
			if n > 0 {
				return 0, &http.MaxBytesError{Limit: r.limit}
			}
			return 0, err
		}
	}
	n, err := r.source.Read(r.buf[len(r.buf):cap(r.buf)])
	r.buf = r.buf[:len(r.buf)+n]
	return int64(n), err
}

// grow replaces the buffer by a larger one. Both are charged until the bytes are copied.
func (r *reader) grow(size int64) error {
	if err := Reserve(r.account, r.holder, size); err != nil {
		return err
	}
	before := int64(cap(r.buf))
	r.buf = append(make([]byte, 0, size), r.buf...)
	r.holder.Release(before)
	return nil
}

// nextSize returns the size of the buffer after one of a size: that of the whole body, if
// it is announced, or the limit, at most.
func nextSize(size, announced, limit int64) int64 {
	most := limit
	if announced >= 0 {
		most = announced
	}
	switch {
	case size == 0:
		size = firstBuffer
	case size < fastGrowth:
		size *= 4
	default:
		size *= 2
	}
	return min(size, most)
}

// Reserve charges a holder for n more bytes. If there is no room, it ends incomplete
// bodies that progress less and waits for their memory.
func Reserve(account *memaccount.Account, holder *memaccount.Holder, n int64) error {
	if holder.Reserve(n) {
		return nil
	}
	timeout := time.NewTimer(roomWait)
	defer timeout.Stop()
	for {
		freed := account.Freed()
		if holder.Reserve(n) {
			return nil
		}
		if holder.Ended() {
			return ErrEnded
		}
		if !holder.WillFit(n) && !account.EndFor(time.Now(), holder) {
			return ErrNoRoom
		}
		select {
		case <-freed:
		case <-timeout.C:
			return ErrNoRoom
		}
	}
}
