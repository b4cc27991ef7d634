package harness

// Options describe a fleet on loopback.
type Options struct {
	// BinDir holds the programs gentiantided and standin.
	BinDir string
	// WorkDir takes logs and settings files.
	WorkDir     string
	Region      string
	DataCentres []string
	NodesPerDC  int
	// Engines and Plain are numbers per data centre.
	Engines int
	Plain   int
	// EngineDeployment and PlainDeployment name the deployments.
	EngineDeployment string
	PlainDeployment  string
	// EngineArgs, TableArgs and FleetArgs are flags of the stand-ins.
	EngineArgs []string
	PlainArgs  []string
	TableArgs  []string
	FleetArgs  []string
	StopGrace  string
}
