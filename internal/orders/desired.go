package orders

import (
	"gentiantide.example/gentiantide/internal/backend"
	"gentiantide.example/gentiantide/internal/settings"
)

// Desired is the state that the settings require of the engines of a
// deployment.
type Desired struct {
	Model string `json:"model"`
	// An empty Version or Role requires no order.
	Version        string `json:"version"`
	Adapter        string `json:"adapter,omitempty"`
	Role           string `json:"role,omitempty"`
	HonoursFencing bool   `json:"honours_fencing"`
	// Number is the version of the settings; orders carry it as their fencing
	// number.
	Number uint64 `json:"number"`
}

// DesiredOf returns the state that a settings snapshot requires of a
// deployment. It is empty but for the number if the deployment is unknown or
// does not serve a model.
func DesiredOf(s *settings.Snapshot, deployment *settings.Deployment) Desired {
	if deployment == nil || deployment.Kind != settings.KindModel {
		return Desired{Number: s.Version()}
	}
	d := Desired{
		Model: deployment.Model, Version: deployment.ModelVersion, Adapter: deployment.Adapter, Role: deployment.Role,
		HonoursFencing: deployment.HonoursFencing, Number: s.Version(),
	}
	if d.Model == "" {
		d.Version = ""
	}
	return d
}

func (d Desired) empty() bool { return d.Version == "" && d.Role == "" }

func (d Desired) target() modelName {
	return modelName{model: d.Model, version: d.Version, adapter: d.Adapter}
}

func (d Desired) newOrder(kind backend.OrderKind, m modelName) backend.Order {
	return backend.Order{Kind: kind, Model: m.model, Version: m.version, Adapter: m.adapter, FencingNumber: d.Number}
}

func (d Desired) newRoleOrder() backend.Order {
	return backend.Order{Kind: backend.OrderSetRole, Role: d.Role, FencingNumber: d.Number}
}
