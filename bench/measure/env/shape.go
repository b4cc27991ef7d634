package env

import (
	"time"

	"gentiantide.example/gentiantide/bench/workload"
)

// Shape is the size and the work of one user. A scaled time is used: an engine
// makes a token in about 25 ms and answers have a few tokens, so that a
// condition of a few seconds has more than 1,000 calls.
type Shape struct {
	Name        string
	Region      string
	DataCentres []string

	EngineDeployment string
	Model            string
	EnginesPerDC     int

	PlainDeployment string
	PlainRoute      string

	Online workload.Kind
	Batch  workload.Kind
	// Stragglers is the number of replicas that are slowed at once.
	Stragglers int
	// LoseCoordinator makes the node that is lost with ranges of a job also the
	// job's coordinator.
	LoseCoordinator bool
	Seed            uint64
}

const (
	nodesPerDC = 2
	plainPerDC = 1
	// slots per engine; with stepBase, 144 to 216 slots make 5,800 to 8,700
	// tokens/s, which engines, nodes and callers handle with a few cores.
	slots    = 12
	stepBase = 20 * time.Millisecond
	// stepPerSequence is the default of the stand-in.
	stepPerSequence = 300 * time.Microsecond
	// stepPrefill is the usual time for prompts in a step of a busy engine.
	stepPrefill = 1500 * time.Microsecond
)

// Shapes returns the two users' shapes.
func Shapes() []Shape {
	return []Shape{
		{
			Name: "tulaan", Region: "luzon", DataCentres: []string{"luzon-a", "luzon-b", "luzon-c"},
			EngineDeployment: "verse-models", Model: "verse-1", EnginesPerDC: 4,
			PlainDeployment: "shop-api", PlainRoute: "/shop-api/",
			Online: workload.Couplets, Batch: workload.CardLines, Stragglers: 2, Seed: 1,
		},
		{
			Name: "board", Region: "bengal-east", DataCentres: []string{"howrah-a", "kolkata-b", "serampore-c"},
			EngineDeployment: "diya-models", Model: "diya-1", EnginesPerDC: 6,
			PlainDeployment: "permit-desk", PlainRoute: "/permit-desk/",
			Online: workload.RuleQuestions, Batch: workload.PermitLetters, Stragglers: 3, LoseCoordinator: true, Seed: 2,
		},
	}
}

// Slots returns the number of slots of all engines.
func (s Shape) Slots() int { return len(s.DataCentres) * s.EnginesPerDC * slots }

// Rate returns the calls per second that keep a share of all slots busy with
// calls of a number of tokens.
func (s Shape) Rate(share, tokens float64) float64 {
	step := stepBase + slots*stepPerSequence + stepPrefill
	return share * float64(s.Slots()) / (tokens * step.Seconds())
}
