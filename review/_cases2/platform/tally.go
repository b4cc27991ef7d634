package main

import (
	"fmt"
	"os"
	"path/filepath"
	"strings"
	"sync"
	"time"

	"gentiantide.example/gentiantide/platform/platformtest"
)

const (
	tallyNodes    = 3
	tallyReplicas = 3
	// deadlyPause is the time between two attempts of the client whose request crashes
	// replicas.
	deadlyPause = 4 * time.Second
	deadlyTimes = 9
	// replicaBack is how long a crashed replica is away.
	replicaBack = 3 * time.Second
	// killLead is the time from an attempt of the client to a kill.
	killLead = 2 * time.Second
	// killsEach is the number of attempts between two kills, and kills the number of these.
	killsEach, kills = 2, 3
	// processBack is the delay after which a killed process is started again.
	processBack = 500 * time.Millisecond
	// soundPause is the time between two sound requests of a client.
	soundPause = 40 * time.Millisecond
	// soundWork is how long a replica works on one. They may run once only.
	soundWork = 150 * time.Millisecond
	// warmUp is the number of sound requests before the case begins, and warmUpPause the
	// pause after each. A node that is a hub for a moment stops being one after 3 s.
	warmUp      = 50
	warmUpPause = 100 * time.Millisecond
	// maxRetries is the number of retries that the rule allows.
	maxRetries = 3
)

// crashingService is a service whose replicas a deadly request crashes.
type crashingService struct {
	w       *world
	service string

	mu      sync.Mutex
	crashes []time.Time
	starts  int
}

// start starts a replica, as a new lifetime with a new ID.
func (c *crashingService) start(zone string) error {
	c.mu.Lock()
	c.starts++
	id := fmt.Sprintf("i-%04x", 0x7f30+c.starts)
	c.mu.Unlock()
	r, err := platformtest.NewReplica(id, 0)
	if err != nil {
		return err
	}
	r.Born = time.Now().UnixMilli()
	r.SetBehaviour(func(q platformtest.ReceivedRequest) platformtest.Behaviour {
		if !strings.Contains(q.Body, "deadly") {
			hold := make(chan struct{})
			time.AfterFunc(soundWork, func() { close(hold) })
			return platformtest.Behaviour{Hold: hold}
		}
		c.mu.Lock()
		c.crashes = append(c.crashes, time.Now())
		n := len(c.crashes)
		c.mu.Unlock()
		c.w.note("request %s reaches replica %s, which crashes (crash %d)", q.RequestID, id, n)
		time.AfterFunc(50*time.Millisecond, func() { // its entry is removed after some silence
			time.Sleep(replicaBack)
			_ = c.w.store.Remove("servers", id)
			_ = c.start(zone)
		})
		return platformtest.Behaviour{Crash: true}
	})
	return c.w.store.Register(r, c.service, zone, "ready")
}

// crashTimes returns when replicas crashed.
func (c *crashingService) crashTimes() []time.Time {
	c.mu.Lock()
	defer c.mu.Unlock()
	return append([]time.Time(nil), c.crashes...)
}

// lostTally checks BUDGET: a request that crashes replicas comes again and again, while
// single processes are killed.
func lostTally(w *world, trouble bool) (bool, error) {
	desk := &crashingService{w: w, service: w.plain}
	for i := range tallyReplicas {
		if err := desk.start(w.zones[i%len(w.zones)]); err != nil {
			return false, err
		}
	}
	if err := w.configure(3, route{"name": "permit-plan", "host": w.host, "path-prefix": "/plan/", "kind": "safe", "service": w.plain, "timeout-ms": 4000,
		"target-latency-ms": 300, "max-attempts": 1, "priority": 1},
		route{"name": "permit-issue", "host": w.host, "path-prefix": "/issue/", "kind": "unsafe", "service": w.plain, "timeout-ms": 4000,
			"target-latency-ms": 300, "max-attempts": 1, "priority": 1}); err != nil {
		return false, err
	}
	if err := w.startNodes(tallyNodes); err != nil {
		return false, err
	}
	time.Sleep(w.contact)

	stop := make(chan struct{})
	var sound sync.WaitGroup
	var mu sync.Mutex
	served, lost := 0, 0
	for i := range warmUp {
		w.call("POST", w.nodes[i%len(w.nodes)].front, w.safe+"sound", fmt.Sprintf("%016x", 0x4000+i), 3*time.Second, []byte("sound"))
		time.Sleep(warmUpPause)
	}
	hub := w.hubOf(w.plain)
	if hub == nil {
		return false, fmt.Errorf("no hub of %s found", w.plain)
	}
	calm := w.nodes[0] // it is never killed
	if calm == hub {
		calm = w.nodes[1]
	}
	w.note("%s is the hub of %s; the clients use %s", hub.name, w.plain, calm.name)
	sound.Go(func() {
		for i := 0; ; i++ {
			select {
			case <-stop:
				return
			case <-time.After(soundPause):
			}
			sound.Go(func() {
				id := fmt.Sprintf("%016x", 0x5000+i)
				got := w.call("POST", calm.front, "/issue/"+id, id, 3*time.Second, []byte("sound"))
				mu.Lock()
				defer mu.Unlock()
				if got.status == 200 {
					served++
					return
				}
				lost++
				w.note("sound request %s is lost: %s", id, got)
			})
		}
	})
	for i := range deadlyTimes {
		id := fmt.Sprintf("%016x", 0xdead0000+i)
		got := w.call("POST", calm.front, "/plan/17", id, 3*time.Second, []byte("deadly"))
		w.note("attempt %d of the client, %s at %s: %s", i+1, id, calm.name, got)
		time.Sleep(killLead)
		if trouble && i%killsEach == killsEach-1 && i/killsEach < kills {
			w.killAndRestart(hub)
		}
		time.Sleep(deadlyPause - killLead)
	}
	close(stop)
	sound.Wait()
	crashes, retries := desk.crashTimes(), 0
	for i, at := range crashes {
		if i >= maxRetries && at.Sub(crashes[2]) > w.contact {
			retries++
		}
	}
	w.note("%d sound requests served, %d lost; the deadly request crashed %d replicas, and reached replicas in %d retries later than contact-ms after the third crash; allowed are %d",
		served, lost, len(crashes), retries, maxRetries)
	return retries <= maxRetries, nil
}

// hubOf returns the node that decides for a service, by what the nodes have logged. Others
// may have done so for a moment after the start.
func (w *world) hubOf(service string) *node {
	for _, nd := range w.nodes {
		log, err := os.ReadFile(filepath.Join(w.dir, nd.name+".log"))
		if err != nil {
			continue
		}
		began := strings.LastIndex(string(log), `msg="became hub of a group" group=`+service)
		ended := strings.LastIndex(string(log), `msg="stopped being hub of an idle group" group=`+service)
		if began > ended {
			return nd
		}
	}
	return nil
}

// killAndRestart kills a process, which is started again after a short delay.
func (w *world) killAndRestart(nd *node) {
	w.note("%s is killed", nd.name)
	_ = nd.cmd.Process.Kill()
	<-nd.exited
	time.Sleep(processBack)
	if err := w.start(nd); err != nil {
		w.note("%s: %v", nd.name, err)
	}
}
