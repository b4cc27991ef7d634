package harness

// Options describe a fleet on loopback.
type Options struct {
	// BinDir holds the programs gentiantided and standin.
	BinDir string
	// WorkDir is the directory for logs and settings files.
	WorkDir     string
	Region      string
	DataCentres []string
	NodesPerDC  int
	// EnginesPerDC and PlainServersPerDC are the numbers of engines and of plain
	// servers per data centre.
	EnginesPerDC      int
	PlainServersPerDC int
	// EngineDeployment and PlainDeployment are the names of the deployments to which
	// the engines and the plain servers belong.
	EngineDeployment string
	PlainDeployment  string
	// EngineArgs, PlainArgs, TableArgs and FleetArgs are additional flags of the
	// stand-ins.
	EngineArgs []string
	PlainArgs  []string
	TableArgs  []string
	FleetArgs  []string
	// StopGrace is the nodes' stop_grace timeout; empty means the default.
	StopGrace string
}
