package routes

import "gentiantide.example/gentiantide/internal/core"

// Service is a set of replicas as the operator configures it.
type Service struct {
	ID         core.DeploymentID
	HealthPath string
	// MaxConns bounds the connections that one replica accepts from all nodes.
	MaxConns int
	// Engine is set for model engines and nil for plain services.
	Engine *Engine
}

// Engine describes the model engines of a service.
type Engine struct {
	Slots int
	// MemoryTokens is the KV cache size in tokens.
	MemoryTokens int64
	Models       []string
}
