package main

import (
	"encoding/json"
	"fmt"
	"net/http"
	"strconv"
	"syscall"
	"time"
)

const (
	movedNodes    = 3
	movedReplicas = 6
	movedItems    = 10
	movedEvents   = 172
	movedEventGap = 30 * time.Millisecond
	// oldStoreFor is how long the store also serves at its former address.
	oldStoreFor = 5 * time.Second
	// beforeEnd is how long before the end of that time the batch job is submitted.
	beforeEnd = time.Second
	// finishTime is finish-s.
	finishTime = 18 * time.Second
	// readFor is the time in which the batch job is read at the end, at the nodes in turn.
	readFor   = 10 * time.Second
	readPause = 500 * time.Millisecond
)

// movedStore checks LOST of batch jobs: the settings files change, and say that the
// platform's store has another address.
func movedStore(w *world, trouble bool) (bool, error) {
	models, err := w.addReplicas(w.models, movedReplicas, movedEvents, movedEventGap)
	if err != nil {
		return false, err
	}
	if _, err := w.addReplicas(w.plain, 3, 0, 0); err != nil {
		return false, err
	}
	if err := w.configure(3); err != nil {
		return false, err
	}
	if err := w.startNodes(movedNodes); err != nil {
		return false, err
	}
	time.Sleep(w.contact)
	old := w.storeServer
	if trouble {
		if err := w.moveStore(); err != nil {
			return false, err
		}
	}
	time.Sleep(oldStoreFor - beforeEnd)
	job := "7c41e09b52d6a3f8"
	got := w.call(http.MethodPost, w.nodes[0].front, w.batch+job, job, 4*time.Second, w.jobBody(job, movedItems, 350, 1850))
	w.note("job %s of %d items submitted at %s: %s", job, movedItems, w.nodes[0].name, got)
	if got.status != http.StatusAccepted {
		return false, fmt.Errorf("job not accepted: %s", got)
	}
	time.Sleep(beforeEnd)
	if trouble {
		_ = old.Close()
		w.note("the store serves at the new address only")
	}
	time.Sleep(finishTime)
	runs, whole := 0, 0
	for _, r := range models {
		for _, q := range r.ReceivedRequests() {
			runs++
			if q.Whole {
				whole++
			}
		}
	}
	w.note("replicas have run items %d times, %d of these to the end", runs, whole)
	for i, end := 0, time.Now().Add(readFor); time.Now().Before(end); i++ {
		if w.wholeJob(w.nodes[i%len(w.nodes)], job) {
			return true, nil
		}
		time.Sleep(readPause)
	}
	return false, nil
}

// moveStore serves the store at another address as well, and changes the settings of all
// nodes.
func (w *world) moveStore() error {
	if err := w.serveStore(); err != nil {
		return err
	}
	w.note("the store also serves at another address")
	for _, nd := range w.nodes {
		if err := w.writeSettings(nd, w.storeAddress, graceSeconds); err != nil {
			return err
		}
		if err := nd.cmd.Process.Signal(syscall.SIGHUP); err != nil {
			return err
		}
		w.note("%s: the settings file names the new address; SIGHUP", nd.name)
	}
	return nil
}

// wholeJob reports whether a node returns the results of all items of a job.
func (w *world) wholeJob(nd *node, job string) bool {
	for listed := 0; ; {
		got := w.call(http.MethodGet, nd.front, "/gentiantide/lots/"+job+"?after="+strconv.Itoa(listed), "", 4*time.Second, nil)
		var page struct{ Total, Next int }
		if got.status != http.StatusOK || json.Unmarshal(got.body, &page) != nil || page.Next == listed && listed < page.Total {
			w.note("%s: reading the job from position %d: %s, %d of %d", nd.name, listed, got, page.Next, page.Total)
			return false
		}
		if listed = page.Next; listed == page.Total {
			w.note("%s: all %d results are listed", nd.name, listed)
			return true
		}
	}
}
