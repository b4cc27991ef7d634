package orders

import (
	"gentiantide.example/gentiantide/internal/backend"
	"gentiantide.example/gentiantide/internal/settings"
)

// Desired is what the settings say of the engines of a deployment.
type Desired struct {
	Model string `json:"model"`
	// Version and Role want no order if they are empty.
	Version        string `json:"version"`
	Adapter        string `json:"adapter,omitempty"`
	Role           string `json:"role,omitempty"`
	HonoursFencing bool   `json:"honours_fencing"`
	// Number is the version of the settings and the fencing number of orders.
	Number uint64 `json:"number"`
}

// DesiredOf returns what a snapshot says of a deployment. Nothing is wanted of
// an unknown deployment or a plain service.
func DesiredOf(s *settings.Snapshot, service *settings.Deployment) Desired {
	if service == nil || service.Kind != settings.KindModel {
		return Desired{Number: s.Version()}
	}
	d := Desired{
		Model: service.Model, Version: service.ModelVersion, Adapter: service.Adapter, Role: service.Role,
		HonoursFencing: service.HonoursFencing, Number: s.Version(),
	}
	if d.Model == "" {
		d.Version = ""
	}
	return d
}

func (d Desired) wantsNothing() bool { return d.Version == "" && d.Role == "" }

func (d Desired) name() modelName {
	return modelName{model: d.Model, version: d.Version, adapter: d.Adapter}
}

func (d Desired) order(kind backend.OrderKind, m modelName) backend.Order {
	return backend.Order{Kind: kind, Model: m.model, Version: m.version, Adapter: m.adapter, FencingNumber: d.Number}
}

func (d Desired) roleOrder() backend.Order {
	return backend.Order{Kind: backend.OrderSetRole, Role: d.Role, FencingNumber: d.Number}
}
