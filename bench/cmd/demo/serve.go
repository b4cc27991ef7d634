package main

import (
	"context"
	"fmt"
	"os"
	"os/signal"
	"syscall"
)

// serve creates the deployments and waits for an interrupt, so that the API and the
// command line can be tried by hand.
func (d *demo) serve() int {
	ctx, stop := signal.NotifyContext(context.Background(), syscall.SIGTERM, syscall.SIGINT)
	defer stop()
	if err := d.prepare(ctx); err != nil {
		fmt.Fprintln(os.Stderr, err)
		return 1
	}
	n := d.fleet.Nodes[0]
	fmt.Printf("export GENTIANTIDE_CALLERS=%s\nexport GENTIANTIDE_OPERATORS=%s\n", n.URL(), n.OperatorsURL())
	fmt.Println("the fleet runs until interrupted; logs:", d.dir)
	<-ctx.Done()
	return 0
}
