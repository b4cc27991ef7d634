package platformnode

import (
	"gentiantide.example/gentiantide/internal/configcheck"
	"gentiantide.example/gentiantide/internal/httpapi/operators"
	"gentiantide.example/gentiantide/platform"
)

// configurationView returns the configuration that the node last read, or nil.
func (n *Node) configurationView() *operators.Configuration {
	data := platform.ConfigInRows(n.configWatcher.Copy())
	if data == nil {
		return nil
	}
	doc, err := platform.ParseConfig(data)
	if err != nil {
		n.log.Warn("configuration cannot be shown", "error", err)
		return nil
	}
	return &operators.Configuration{Version: doc.Version, Entries: configcheck.Describe(doc)}
}
