package httptable

// Row is the JSON form of infra.Row.
type Row struct {
	Key     string `json:"key"`
	Version uint64 `json:"version"`
	Value   []byte `json:"value,omitempty"`
}

// Rows is the response to a scan.
type Rows struct {
	Rows []Row `json:"rows"`
}

// Condition is the JSON form of infra.Condition.
type Condition struct {
	Key     string `json:"key"`
	Version uint64 `json:"version"`
}

// Write is the JSON form of infra.Write.
type Write struct {
	Key    string `json:"key"`
	Value  []byte `json:"value,omitempty"`
	Delete bool   `json:"delete,omitempty"`
}

// Transaction is the JSON form of infra.Txn.
type Transaction struct {
	Conditions []Condition `json:"conditions,omitempty"`
	Writes     []Write     `json:"writes,omitempty"`
}

// Versions is the response to a committed transaction: the new version of each
// written row, in the order of the writes.
type Versions struct {
	Versions []uint64 `json:"versions"`
}
