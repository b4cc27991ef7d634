package main

import (
	"fmt"
	"syscall"
	"time"
)

const (
	movedNodes    = 3
	movedReplicas = 3
	// oldStoreFor is how long the store still serves at its former address.
	oldStoreFor = 5 * time.Second
	// configApply is config-apply-ms, and configMargin what the case waits beyond it.
	configApply  = 2 * time.Second
	configMargin = 4 * time.Second
	// movedRequests is the number of requests to a dropped route at each node.
	movedRequests = 5
)

// movedStore checks CONFIG: the settings files change, and say that the platform's store
// has another address. Then the operator drops a route.
func movedStore(w *world, trouble bool) (bool, error) {
	if _, err := w.addReplicas(w.plain, movedReplicas, 0, 0); err != nil {
		return false, err
	}
	dropped := route{"name": "permit-plan", "host": w.host, "path-prefix": "/plan/", "kind": "safe", "service": w.plain, "timeout-ms": 4000,
		"target-latency-ms": 300, "max-attempts": 1, "priority": 1}
	if err := w.configure(3, dropped); err != nil {
		return false, err
	}
	if err := w.startNodes(movedNodes); err != nil {
		return false, err
	}
	time.Sleep(w.contact)
	for _, nd := range w.nodes {
		got := w.call("POST", nd.front, "/plan/1", fmt.Sprintf("%016x", 0x1000), 3*time.Second, []byte("plan"))
		w.note("%s: a request to the route is answered %s", nd.name, got)
		if got.status != 200 {
			return false, fmt.Errorf("%s: %s before the disruption", nd.name, got)
		}
	}
	if trouble {
		old := w.storeServer
		if err := w.serveStore(); err != nil {
			return false, err
		}
		w.note("the store also serves at another address")
		for _, nd := range w.nodes {
			if err := w.writeSettings(nd, w.storeAddress, graceSeconds); err != nil {
				return false, err
			}
			if err := nd.cmd.Process.Signal(syscall.SIGHUP); err != nil {
				return false, err
			}
			w.note("%s: the settings file names the new address; SIGHUP", nd.name)
		}
		time.Sleep(oldStoreFor)
		_ = old.Close()
		w.note("the former address is closed")
	}
	time.Sleep(w.contact)
	if err := w.configure(8); err != nil {
		return false, err
	}
	w.note("the operator has dropped the route with version 8; the store has acknowledged it")
	time.Sleep(configApply + configMargin)
	older := 0
	for i := range movedRequests {
		for _, nd := range w.nodes {
			got := w.call("POST", nd.front, "/plan/1", fmt.Sprintf("%016x", 0x2000+i), 3*time.Second, []byte("plan"))
			w.note("%s: a request to the dropped route is answered %s", nd.name, got)
			if got.status == 200 {
				older++
			}
		}
	}
	w.note("%d of %d requests ran with the dropped route", older, movedRequests*movedNodes)
	return older == 0, nil
}
