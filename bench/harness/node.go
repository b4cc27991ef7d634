package harness

import (
	"encoding/json"
	"os"
	"path/filepath"

	"github.com/pkg/errors"
)

// Node is a node daemon (gentiantided) and its addresses.
type Node struct {
	ID         string
	DataCentre string
	// Callers, Operators and Peers are the addresses of the node's listeners.
	Callers   string
	Operators string
	Peers     string
	// Config is the path of the settings file.
	Config  string
	Process *Process
}

// URL returns the base URL of the listener for callers.
func (n *Node) URL() string { return "http://" + n.Callers }

// OperatorsURL returns the base URL of the listener for operators.
func (n *Node) OperatorsURL() string { return "http://" + n.Operators }

// writeConfig writes the settings file of the node.
func (n *Node) writeConfig(f *Fleet, seeds []string) error {
	file := map[string]any{
		"id": n.ID, "data_centre": n.DataCentre, "region": f.options.Region,
		"listen": map[string]string{"callers": n.Callers, "operators": n.Operators, "peers": n.Peers},
		"platform": map[string]string{
			"table": "http://" + f.Table, "objects": "http://" + f.Objects,
			"weights": "http://" + f.Weights, "fleet": "http://" + f.FleetList,
		},
		"seeds": seeds,
	}
	if f.options.StopGrace != "" {
		file["timeouts"] = map[string]string{"stop_grace": f.options.StopGrace}
	}
	data, err := json.MarshalIndent(file, "", "  ")
	if err != nil {
		return errors.Wrap(err, "encode node settings")
	}
	n.Config = filepath.Join(f.options.WorkDir, n.ID+".json")
	return errors.Wrap(os.WriteFile(n.Config, data, 0o644), "write node settings")
}
