package core

// Class is the priority class of a piece of work.
type Class uint8

const (
	// ClassOnline is work a caller is waiting for.
	ClassOnline Class = iota
	// ClassBatch is an item of a job. It gives way to online work.
	ClassBatch
)

// String returns "online" or "batch".
func (c Class) String() string {
	if c == ClassBatch {
		return "batch"
	}
	return "online"
}
