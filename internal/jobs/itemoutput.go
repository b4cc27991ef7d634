package jobs

import (
	"bytes"
	"errors"
)

// maxTextBytes limits the text of an item, with the line feeds between the data of its
// events. The longest is a few KiB; callers read at most 1 MB at once.
const maxTextBytes = 1 << 20

var errTextTooLong = errors.New("text of the item exceeds 1 MiB")

// itemOutput is the output of an item so far. The zero value has no events. It is one
// piece of memory, so that an event costs no more than its data and one byte: a faulty
// replica may send events without data for ever.
type itemOutput struct {
	text   []byte
	events int
}

// add appends the data of one event, or returns errTextTooLong.
func (o *itemOutput) add(data []byte) error {
	if len(o.text)+len(data)+1 > maxTextBytes {
		return errTextTooLong
	}
	if o.events > 0 {
		o.text = append(o.text, '\n')
	}
	o.text = append(o.text, data...)
	o.events++
	return nil
}

// newItemOutput returns the output of which a former owner has passed on the pieces.
func newItemOutput(pieces [][]byte) itemOutput {
	return itemOutput{text: bytes.Join(pieces, []byte("\n")), events: len(pieces)}
}

// pieces returns the output for another owner.
func (o *itemOutput) pieces() [][]byte {
	if o.events == 0 {
		return nil
	}
	return [][]byte{o.text}
}
