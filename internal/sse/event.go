package sse

import (
	"bytes"
	"strconv"
)

// Event is one complete server-sent event.
type Event struct {
	// Raw holds the bytes as received, including the terminating empty line.
	Raw []byte
	// ID is the numeric value of the id field. HasID is false for an event whose
	// id field is missing or not an integer.
	ID    int64
	HasID bool
	// Data holds the values of the data fields, joined by line feeds. HasData is
	// false for an event without a data field.
	Data    []byte
	HasData bool
	// Foreign is set if a line cannot be a field of an event: bytes of something else,
	// such as the head of another response, are mixed with the stream.
	Foreign bool
}

// IsComment reports whether the event carries neither an ID nor data. Servers send
// such events to keep a connection open; they are no progress of a stream.
func (e *Event) IsComment() bool { return !e.HasID && !e.HasData }

// parseEvent reads the id and data fields of an event. Other fields are ignored. Lines
// whose field name is none are foreign, and so are lines with a carriage return, at which
// some readers end them.
func parseEvent(raw []byte) Event {
	e := Event{Raw: raw}
	for line := range bytes.Lines(raw) {
		line = bytes.TrimRight(line, "\r\n")
		name, value, hasColon := bytes.Cut(line, []byte(":"))
		value = bytes.TrimPrefix(value, []byte(" "))
		switch string(name) {
		case "id":
			if id, err := strconv.ParseInt(string(value), 10, 64); err == nil {
				e.ID, e.HasID = id, true
			}
		case "data":
			if e.HasData {
				e.Data = append(e.Data, '\n')
			}
			e.Data = append(e.Data, value...)
			e.HasData = true
		default:
			e.Foreign = e.Foreign || !isFieldName(name, hasColon)
		}
		e.Foreign = e.Foreign || bytes.IndexByte(line, '\r') >= 0
	}
	return e
}

// isFieldName reports whether the text before the colon of a line can name a field other
// than id and data. It is empty in comments and in the line that ends an event. Fields
// without a value need no colon, but only those of the specification are used without.
func isFieldName(name []byte, hasColon bool) bool {
	if !hasColon {
		return len(name) == 0 || string(name) == "event" || string(name) == "retry"
	}
	for _, c := range name {
		if c <= ' ' || c == '/' || c == 0x7f {
			return false
		}
	}
	return true
}
