package node

import (
	"sync"
	"time"

	"gentiantide.example/gentiantide/internal/core"
	"gentiantide.example/gentiantide/internal/limit"
)

// retryBudgets holds the retry budget of each deployment. A budget is created when
// it is first used.
type retryBudgets struct {
	byDeployment sync.Map // core.DeploymentID to *limit.RetryBudget
}

func (b *retryBudgets) forDeployment(id core.DeploymentID) *limit.RetryBudget {
	if v, ok := b.byDeployment.Load(id); ok {
		return v.(*limit.RetryBudget)
	}
	v, _ := b.byDeployment.LoadOrStore(id, limit.NewRetryBudget(time.Now()))
	return v.(*limit.RetryBudget)
}

// RecordSuccess implements relay.Budget.
func (b *retryBudgets) RecordSuccess(id core.DeploymentID, share float64) {
	b.forDeployment(id).RecordSuccess(share)
}

// Spend implements relay.Budget.
func (b *retryBudgets) Spend(id core.DeploymentID) bool { return b.forDeployment(id).Take(time.Now()) }

func (b *retryBudgets) dump() map[core.DeploymentID]float64 {
	out := make(map[core.DeploymentID]float64)
	b.byDeployment.Range(func(id, v any) bool {
		out[id.(core.DeploymentID)] = v.(*limit.RetryBudget).Tokens()
		return true
	})
	return out
}
