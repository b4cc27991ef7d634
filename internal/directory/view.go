package directory

import (
	"sort"

	"gentiantide.example/gentiantide/internal/core"
)

// View is an immutable list of replicas, so that readers need no lock.
type View struct {
	replicas     []Replica                   // sorted by ID
	byID         map[core.ReplicaID]int      // indexes into replicas
	byDeployment map[core.DeploymentID][]int // indexes into replicas
}

// NewView returns a view of a copy of the replicas.
func NewView(replicas []Replica) *View {
	v := &View{
		replicas:     append([]Replica(nil), replicas...),
		byID:         make(map[core.ReplicaID]int),
		byDeployment: make(map[core.DeploymentID][]int),
	}
	sort.Slice(v.replicas, func(i, j int) bool { return v.replicas[i].ID < v.replicas[j].ID })
	for i, r := range v.replicas {
		v.byID[r.ID] = i
		v.byDeployment[r.Deployment] = append(v.byDeployment[r.Deployment], i)
	}
	return v
}

// All returns all replicas, sorted by ID. The caller must not modify the slice.
func (v *View) All() []Replica { return v.replicas }

// Replica returns the replica with an ID, or nil if there is none.
func (v *View) Replica(id core.ReplicaID) *Replica {
	if i, ok := v.byID[id]; ok {
		return &v.replicas[i]
	}
	return nil
}

// Indexes returns the indexes of a deployment's replicas in All. The caller must not
// modify the slice.
func (v *View) Indexes(id core.DeploymentID) []int { return v.byDeployment[id] }
