package jobs

import "net/http"

// Item is one request of a job.
type Item struct {
	ID     string            `msgpack:"i"`
	Path   string            `msgpack:"p"`
	Header map[string]string `msgpack:"h"`
	Body   []byte            `msgpack:"b"`
	// Tokens is the number of prompt tokens plus the maximum of output tokens.
	Tokens int64 `msgpack:"t"`
}

// header returns the headers of the item's request.
func (i *Item) header() http.Header {
	header := make(http.Header, len(i.Header))
	for name, value := range i.Header {
		header.Set(name, value)
	}
	return header
}

// Submission is a job as submitted by a caller.
type Submission struct {
	ID    string
	Host  string
	Path  string
	Items []Item
	// Access is what the caller may see. The job belongs to its organisation.
	Access Access
}

// DropHeaders removes headers from all items.
func (s *Submission) DropHeaders(names ...string) {
	for i := range s.Items {
		for _, name := range names {
			delete(s.Items[i].Header, name)
		}
	}
}

// Tokens returns the total tokens of all items.
func (s *Submission) Tokens() int64 {
	var sum int64
	for i := range s.Items {
		sum += s.Items[i].Tokens
	}
	return sum
}
