package node

import (
	"sync"
	"time"

	"gentiantide.example/gentiantide/internal/core"
	"gentiantide.example/gentiantide/internal/limit"
)

// budgets keeps one retry budget for each deployment.
type budgets struct {
	byDeployment sync.Map // core.DeploymentID to *limit.Budget
}

func (b *budgets) of(id core.DeploymentID) *limit.Budget {
	if v, ok := b.byDeployment.Load(id); ok {
		return v.(*limit.Budget)
	}
	v, _ := b.byDeployment.LoadOrStore(id, limit.NewBudget(time.Now()))
	return v.(*limit.Budget)
}

// Succeeded implements relay.Budget.
func (b *budgets) Succeeded(id core.DeploymentID, share float64) { b.of(id).Success(share) }

// Spend implements relay.Budget.
func (b *budgets) Spend(id core.DeploymentID) bool { return b.of(id).Take(time.Now()) }

func (b *budgets) dump() map[core.DeploymentID]float64 {
	out := make(map[core.DeploymentID]float64)
	b.byDeployment.Range(func(id, v any) bool {
		out[id.(core.DeploymentID)] = v.(*limit.Budget).Tokens()
		return true
	})
	return out
}
