package core

// Class is the priority class of a request or a batch item.
type Class uint8

const (
	// ClassOnline is for requests whose caller waits for the response.
	ClassOnline Class = iota
	// ClassBatch is for items of batch jobs. They have a lower priority and
	// yield capacity to online requests.
	ClassBatch
)

// String returns "online" or "batch".
func (c Class) String() string {
	if c == ClassBatch {
		return "batch"
	}
	return "online"
}
