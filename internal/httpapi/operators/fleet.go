package operators

// Fleet is the response of GET /admin/v1/fleet, as the command line decodes it.
type Fleet struct {
	// SeenBy is the responding node, whose view of the fleet this is.
	SeenBy   string         `json:"seen_by"`
	Nodes    []FleetNode    `json:"nodes"`
	Backends []FleetBackend `json:"backends"`
}

// FleetNode is a node as the responding node sees it.
type FleetNode struct {
	ID              string `json:"id"`
	DataCentre      string `json:"data_centre"`
	Address         string `json:"address,omitempty"`
	State           string `json:"state"`
	Reason          string `json:"reason,omitempty"`
	SettingsVersion uint64 `json:"settings_version"`
}

// FleetBackend is a backend server as the responding node sees it.
type FleetBackend struct {
	ID         string `json:"id"`
	Deployment string `json:"deployment"`
	DataCentre string `json:"data_centre"`
	Address    string `json:"address,omitempty"`
	// State is "live", "draining", "leaving", "ejected", "down" or "unknown".
	State  string `json:"state"`
	Reason string `json:"reason,omitempty"`
	// Drain is true while the settings take the backend server out of service.
	Drain bool `json:"drain"`
	// Owner is the node that assigns the backend server's slots.
	Owner    string `json:"owner,omitempty"`
	Slots    int    `json:"slots"`
	InFlight int    `json:"in_flight"`
	// Batch is the part of InFlight that online work may preempt.
	Batch  int `json:"batch"`
	Queued int `json:"queued"`
}
