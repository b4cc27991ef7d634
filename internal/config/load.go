package config

import (
	"fmt"
	"os"
	"sort"

	"github.com/pkg/errors"

	"gentiantide.example/gentiantide/internal/config/strictjson"
)

// Load reads and validates the settings file of a node.
func Load(file string) (*Node, error) {
	data, err := os.ReadFile(file)
	if err != nil {
		return nil, errors.Wrap(err, "read node settings")
	}
	return Parse(file, data)
}

// Parse decodes and validates the content of a settings file, and reads the peer
// secret file if it names one. The error is a strictjson.Problems with all
// problems of the file. Name is the file name for the positions of problems.
func Parse(name string, data []byte) (*Node, error) {
	root, problems := strictjson.Parse(name, data)
	if root == nil {
		return nil, problems
	}
	node := &Node{Timeouts: DefaultTimeouts()}
	d := decoder{file: name, problems: problems}
	d.object("", root, node.fields())
	if len(d.problems) == 0 {
		d.checkListenAddresses(root, node.Listen)
		d.checkOperatorAccess(root, node)
	}
	sortByPosition(d.problems)
	if err := d.problems.Err(); err != nil {
		return nil, err
	}
	d.warnSuspicious(root, node)
	sortByPosition(d.warnings)
	node.Warnings = d.warnings
	return node, nil
}

func sortByPosition(problems strictjson.Problems) {
	sort.SliceStable(problems, func(i, j int) bool {
		a, b := problems[i].Position, problems[j].Position
		return a.Line < b.Line || a.Line == b.Line && a.Column < b.Column
	})
}

// checkListenAddresses rejects two listeners with the same address.
func (d *decoder) checkListenAddresses(root *strictjson.Node, l Listen) {
	listen := root.Get("listen")
	seen := make(map[string]string)
	for _, item := range []struct{ name, address string }{
		{"callers", l.Callers}, {"operators", l.Operators}, {"peers", l.Peers},
	} {
		if other, ok := seen[item.address]; ok {
			d.reject(listen.Get(item.name), "listen."+item.name, fmt.Sprintf("address %s is already that of listen.%s", item.address, other), "another address")
		}
		seen[item.address] = item.name
	}
}
