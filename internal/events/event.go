package events

import (
	"bytes"
	"strconv"
)

// Event is one complete event of a stream.
type Event struct {
	// Raw is the event with its closing empty line.
	Raw []byte
	// ID is the event's number; HasID is false for an event without one.
	ID    int64
	HasID bool
	// Data is the text of the data lines, joined by line feeds.
	Data []byte
}

// parse reads the fields of an event.
func parse(raw []byte) Event {
	e := Event{Raw: raw}
	hasData := false
	for line := range bytes.Lines(raw) {
		line = bytes.TrimRight(line, "\r\n")
		name, value, _ := bytes.Cut(line, []byte(":"))
		value = bytes.TrimPrefix(value, []byte(" "))
		switch string(name) {
		case "id":
			if id, err := strconv.ParseInt(string(value), 10, 64); err == nil {
				e.ID, e.HasID = id, true
			}
		case "data":
			if hasData {
				e.Data = append(e.Data, '\n')
			}
			e.Data = append(e.Data, value...)
			hasData = true
		}
	}
	return e
}
