// Command demo starts stand-ins of the platform and of the backend servers and
// three nodes as processes on loopback, drives them from outside while things
// fail, and prints one line for each promise of the system.
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
	keep := flag.Bool("keep", false, "keep the logs also if every promise was kept")
	serve := flag.Bool("serve", false, "only start the fleet, print its addresses and wait for an interrupt")
	flag.Parse()
	os.Exit(run(*bin, *keep, *serve))
}

func run(bin string, keep, serve bool) int {
	dir, err := os.MkdirTemp("", "gentiantide-demo-")
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return 1
	}
	fleet, err := harness.Start(harness.Options{
		BinDir: bin, WorkDir: dir, Region: "luzon", DataCentres: []string{"luzon-a", "luzon-b", "luzon-c"},
		NodesPerDC: 1, Engines: 2, Plain: 1,
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
	if err := d.play(); err != nil {
		d.report.promise("the demo runs to its end", false, "%v", err)
	}
	ok := d.report.close()
	if ok && !keep {
		_ = os.RemoveAll(dir)
	} else {
		fmt.Println("logs:", dir)
	}
	if !ok {
		return 1
	}
	return 0
}
