package operators

// Fleet is the answer of GET /admin/v1/fleet as the command line reads it.
type Fleet struct {
	// SeenBy is the answering node.
	SeenBy   string         `json:"seen_by"`
	Nodes    []FleetNode    `json:"nodes"`
	Backends []FleetBackend `json:"backends"`
}

// FleetNode is one node as the answering node sees it.
type FleetNode struct {
	ID              string `json:"id"`
	DataCentre      string `json:"data_centre"`
	Address         string `json:"address,omitempty"`
	State           string `json:"state"`
	Reason          string `json:"reason,omitempty"`
	SettingsVersion uint64 `json:"settings_version"`
}

// FleetBackend is one backend server as the answering node sees it.
type FleetBackend struct {
	ID         string `json:"id"`
	Deployment string `json:"deployment"`
	DataCentre string `json:"data_centre"`
	Address    string `json:"address,omitempty"`
	// State is "live", "draining", "leaving", "ejected", "down" or "unknown".
	State  string `json:"state"`
	Reason string `json:"reason,omitempty"`
	// Drain is set while the settings take the backend server out of service.
	Drain bool `json:"drain"`
	// Owner is the node that hands out its slots.
	Owner    string `json:"owner,omitempty"`
	Slots    int    `json:"slots"`
	InFlight int    `json:"in_flight"`
	// Batch is the part of InFlight that gives way to online work.
	Batch  int `json:"batch"`
	Queued int `json:"queued"`
}
