package config

import (
	"fmt"
	"os"
	"sort"

	"github.com/pkg/errors"

	"gentiantide.example/gentiantide/internal/config/strictjson"
)

// Load reads a node's settings file.
func Load(file string) (*Node, error) {
	data, err := os.ReadFile(file)
	if err != nil {
		return nil, errors.Wrap(err, "node settings")
	}
	return Parse(file, data)
}

// Parse checks the content of a node's settings file and reads the file with
// the peer secret, if it names one. The error is strictjson.Problems with all
// problems of the file.
func Parse(name string, data []byte) (*Node, error) {
	root, problems := strictjson.Parse(name, data)
	if root == nil {
		return nil, problems
	}
	node := &Node{Timeouts: DefaultTimeouts()}
	d := decoder{file: name, problems: problems}
	d.object("", root, node.fields())
	if len(d.problems) == 0 {
		d.distinct(root, node.Listen)
		d.guarded(root, node)
	}
	sortByPosition(d.problems)
	if err := d.problems.Err(); err != nil {
		return nil, err
	}
	d.suspicious(root, node)
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

// distinct checks that no two listeners have the same address.
func (d *decoder) distinct(root *strictjson.Node, l Listen) {
	listen := root.Get("listen")
	seen := make(map[string]string)
	for _, item := range []struct{ name, address string }{
		{"callers", l.Callers}, {"operators", l.Operators}, {"peers", l.Peers},
	} {
		if other, ok := seen[item.address]; ok {
			d.refuse(listen.Get(item.name), "listen."+item.name, fmt.Sprintf("address %s is already that of listen.%s", item.address, other), "another address")
		}
		seen[item.address] = item.name
	}
}
