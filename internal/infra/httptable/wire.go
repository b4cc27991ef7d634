package httptable

// Row is the wire form of infra.Row.
type Row struct {
	Key     string `json:"key"`
	Version uint64 `json:"version"`
	Value   []byte `json:"value,omitempty"`
}

// Rows is the answer to a scan.
type Rows struct {
	Rows []Row `json:"rows"`
}

// Condition is the wire form of infra.Condition.
type Condition struct {
	Key     string `json:"key"`
	Version uint64 `json:"version"`
}

// Write is the wire form of infra.Write.
type Write struct {
	Key    string `json:"key"`
	Value  []byte `json:"value,omitempty"`
	Delete bool   `json:"delete,omitempty"`
}

// Transaction is the wire form of infra.Txn.
type Transaction struct {
	Conditions []Condition `json:"conditions,omitempty"`
	Writes     []Write     `json:"writes,omitempty"`
}

// Versions is the answer to a transaction that was applied.
type Versions struct {
	Versions []uint64 `json:"versions"`
}
