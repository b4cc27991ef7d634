package env

import (
	"time"

	"gentiantide.example/gentiantide/bench/workload"
)

// Shape is the fleet size and the workload of one user. Times are scaled down: an
// engine takes about 25 ms for a token and responses have few tokens, so that a
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
	// Stragglers is the number of replicas that are slowed at the same time.
	Stragglers int
	// LoseCoordinator prefers the job's coordinator as the node that is killed while
	// it holds ranges of the job.
	LoseCoordinator bool
	Seed            uint64
}

const (
	nodesPerDC        = 2
	plainServersPerDC = 1
	// slotsPerEngine and stepBase are chosen so that the 144 to 216 slots of a shape
	// make 5,800 to 8,700 tokens/s. Engines, nodes and callers handle this rate with
	// a few cores.
	slotsPerEngine = 12
	stepBase       = 20 * time.Millisecond
	// stepPerSequence is the default of the stand-in engine.
	stepPerSequence = 300 * time.Microsecond
	// stepPrefill is the typical time for prefill in a step of a busy engine.
	stepPrefill = 1500 * time.Microsecond
)

// Shapes returns the shapes of the two users.
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
func (s Shape) Slots() int { return len(s.DataCentres) * s.EnginesPerDC * slotsPerEngine }

// Rate returns the calls per second that keep the given share of all slots busy if
// each call has the given number of tokens.
func (s Shape) Rate(share, tokens float64) float64 {
	step := stepBase + slotsPerEngine*stepPerSequence + stepPrefill
	return share * float64(s.Slots()) / (tokens * step.Seconds())
}
