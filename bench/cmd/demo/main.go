// Command demo starts stand-in servers for the platform and the backend servers
// and three nodes as processes on loopback, sends them load while it injects
// faults, and prints one line for each guarantee of the system.
package main

import (
	"flag"
	"fmt"
	"os"

	"gentiantide.example/gentiantide/bench/client"
	"gentiantide.example/gentiantide/bench/harness"
)

const (
	engineDeployment = "verse-models"
	plainDeployment  = "permit-desk"
	modelName        = "verse-1"
	poisonMarker     = "POISON"
)

func main() {
	bin := flag.String("bin", "bin", "directory of the programs gentiantided and standin")
	keepLogs := flag.Bool("keep", false, "keep the logs even if every check passed")
	serve := flag.Bool("serve", false, "only start the fleet, print the addresses of a node and wait for an interrupt")
	flag.Parse()
	os.Exit(run(*bin, *keepLogs, *serve))
}

func run(bin string, keepLogs, serve bool) int {
	dir, err := os.MkdirTemp("", "gentiantide-demo-")
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return 1
	}
	fleet, err := harness.Start(harness.Options{
		BinDir: bin, WorkDir: dir, Region: "luzon", DataCentres: []string{"luzon-a", "luzon-b", "luzon-c"},
		NodesPerDC: 1, EnginesPerDC: 2, PlainServersPerDC: 1,
		EngineDeployment: engineDeployment, PlainDeployment: plainDeployment,
		EngineArgs: []string{"-slots", "24", "-step-base", "6ms", "-step-per-sequence", "200us"}, StopGrace: "1s",
	})
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return 1
	}
	defer fleet.Close()
	d := &demo{bin: bin, dir: dir, fleet: fleet, client: client.New(), report: &report{out: os.Stdout}}
	if serve {
		return d.serve()
	}
	if err := d.runScenario(); err != nil {
		d.report.check("the demo runs to its end", false, "%v", err)
	}
	ok := d.report.close()
	if ok && !keepLogs {
		_ = os.RemoveAll(dir)
	} else {
		fmt.Println("logs:", dir)
	}
	if !ok {
		return 1
	}
	return 0
}
