package soak

import (
	"fmt"
	"net"
	"net/http"
	"os"
	"path/filepath"
	"syscall"
	"time"

	"gentiantide.example/gentiantide/bench/harness"
	"gentiantide.example/gentiantide/platform/platformtest"
)

const (
	// streamEvents is the length of the engines' streams, eventGap the pause
	// before each event: a stream takes about 0.2 s.
	streamEvents = 20
	eventGap     = 10 * time.Millisecond
	// nodeGrace is the time between the stop signal and the kill, in seconds.
	nodeGrace = 8
)

// vm is a node's process with the proxies in front of the store.
type vm struct {
	name                  string
	front, ready, control string
	file                  string
	store                 *proxy
	process               *harness.Process
	paused                bool
	started               time.Time
}

// backend is a replica behind its proxy.
type backend struct {
	*platformtest.Replica
	proxy   *proxy
	service string
	leaving bool
}

// world is everything that a run starts.
type world struct {
	options  Options
	store    *platformtest.Store
	server   *http.Server
	vms      []*vm
	backends []*backend
	version  int
	// routes counts the configurations with an extra route.
	routes int
}

func newWorld(o Options) (*world, error) {
	w := &world{options: o, store: platformtest.NewStore()}
	w.store.Rows.Seed(o.Seed)
	w.store.Objects.Seed(o.Seed)
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, err
	}
	w.server = &http.Server{Handler: w.store, ReadHeaderTimeout: time.Minute}
	go func() { _ = w.server.Serve(listener) }()
	if err := w.addBackends(); err != nil {
		return w, err
	}
	if err := w.configure(); err != nil {
		return w, err
	}
	return w, w.addVMs(listener.Addr().String())
}

func (w *world) addBackends() error {
	for i := range w.options.Engines + w.options.Plains {
		id, service, events := fmt.Sprintf("engine-%d", i), "models", streamEvents
		if i >= w.options.Engines {
			id, service, events = fmt.Sprintf("plain-%d", i), "desk", 0
		}
		r, err := platformtest.NewReplica(id, events)
		if err != nil {
			return err
		}
		p, err := newProxy("127.0.0.1:0", r.Address())
		if err != nil {
			return err
		}
		b := &backend{Replica: r, proxy: p, service: service}
		w.backends = append(w.backends, b)
		if err := w.register(b, "ready"); err != nil {
			return err
		}
	}
	return nil
}

func (w *world) register(b *backend, state string) error {
	b.leaving = state != "ready"
	return w.store.RegisterAt(b.Replica, b.proxy.address(), b.service, "dc-a", state)
}

// configure writes the next configuration. All of them have the usual routes.
func (w *world) configure() error {
	w.version += 2
	w.routes++
	return w.store.Configure(w.version, platformtest.DefaultRoutes+","+platformtest.SafeRoute(fmt.Sprintf("extra%d", w.routes)))
}

func (w *world) addVMs(store string) error {
	addresses, err := harness.FreeAddresses(3 * w.options.Nodes)
	if err != nil {
		return err
	}
	for i := range w.options.Nodes {
		v := &vm{name: fmt.Sprintf("node-%d", i), front: addresses[3*i], ready: addresses[3*i+1], control: addresses[3*i+2]}
		if v.store, err = newProxy("127.0.0.1:0", store); err != nil {
			return err
		}
		v.file = filepath.Join(w.options.Dir, v.name+".yaml")
		file := platformtest.NodeFile{
			Name: v.name, Zone: "dc-a", Front: v.front, Ready: v.ready, Control: v.control,
			Seeds: []string{addresses[2], addresses[5]}, Store: v.store.address(), StopGraceSeconds: nodeGrace, JobRetentionSeconds: 120,
		}
		if err := os.WriteFile(v.file, []byte(file.String()), 0o600); err != nil {
			return err
		}
		w.vms = append(w.vms, v)
		if err := w.startVM(v); err != nil {
			return err
		}
	}
	return nil
}

func (w *world) startVM(v *vm) error {
	var err error
	v.process, err = harness.StartProcessWith(w.options.Dir, v.name, []string{platformtest.SettingsVariable + "=" + v.file}, w.options.Binary, "platform")
	v.paused, v.started = false, time.Now()
	return err
}

// close ends what the run started.
func (w *world) close() {
	for _, v := range w.vms {
		if v.process != nil {
			v.process.Signal(syscall.SIGCONT)
			v.process.Kill()
		}
		if v.store != nil {
			v.store.close()
		}
	}
	for _, b := range w.backends {
		b.proxy.close()
		b.Close()
	}
	_ = w.server.Close()
}
