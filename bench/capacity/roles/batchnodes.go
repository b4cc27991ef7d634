package roles

import (
	"context"
	"fmt"
	"io"
	"log/slog"
	"net"
	"strings"
	"time"

	"github.com/uber-go/tally/v4"

	"gentiantide.example/gentiantide/bench/capacity/cluster"
	"gentiantide.example/gentiantide/bench/capacity/meter"
	"gentiantide.example/gentiantide/internal/batch"
	"gentiantide.example/gentiantide/internal/batch/intake"
	"gentiantide.example/gentiantide/internal/batch/records"
	"gentiantide.example/gentiantide/internal/batch/service"
	"gentiantide.example/gentiantide/internal/core"
	"gentiantide.example/gentiantide/internal/infra/infratest"
	"gentiantide.example/gentiantide/internal/membership"
	"gentiantide.example/gentiantide/internal/peer"
)

const itemURL = "/v1/chat/completions"

// batchNodes runs the batch roles of several nodes on one table and one object
// store in memory.
type batchNodes struct {
	table    *meter.Table
	objects  *meter.Objects
	services []*service.Service
	transports
}

// newBatchNodes starts the batch roles of n nodes in each region with the production
// intervals. Nodes of different regions do not know each other.
func newBatchNodes(regions, n int, cfg batch.Config, run batch.RunnerFunc) (*batchNodes, error) {
	b := &batchNodes{table: meter.NewTable(infratest.NewTable()), objects: &meter.Objects{Objects: infratest.NewObjects()}}
	for region := range regions {
		if err := b.addRegion(region, n, cfg, run); err != nil {
			b.close()
			return nil, err
		}
	}
	return b, nil
}

func (b *batchNodes) addRegion(region, n int, cfg batch.Config, run batch.RunnerFunc) error {
	var members []membership.Member
	var transports []*peer.Transport
	addresses := make([]string, n)
	log := slog.New(slog.DiscardHandler)
	var view *membership.View
	for i := range n {
		id := cluster.NodeID(region, i)
		t := peer.New(id, log)
		b.services = append(b.services, service.New(service.Params{Config: cfg, Table: b.table, Objects: b.objects, Messenger: t,
			Members: func() *membership.View { return view }, Incarnation: int64(1 + i), Runner: run, Log: log, Scope: tally.NoopScope}))
		l, err := net.Listen("tcp", "127.0.0.1:0")
		if err != nil {
			return err
		}
		t.Start(l)
		addresses[i], transports = l.Addr().String(), append(transports, t)
		members = append(members, membership.Member{ID: id, State: membership.StateLive, Incarnation: 1})
	}
	b.transports = append(b.transports, transports...)
	view = membership.NewView(cluster.NodeID(region, 0), members)
	for _, t := range transports {
		for j, address := range addresses {
			t.SetAddress(cluster.NodeID(region, j), address)
		}
	}
	for _, s := range b.services[len(b.services)-n:] {
		s.Start()
	}
	return nil
}

// submit uploads a file of items with prompts of the given number of bytes and
// creates a job from it.
func (b *batchNodes) submit(key string, items, bytes int) (core.JobID, error) {
	ctx := context.Background()
	in := b.services[0].Intake()
	org := core.Org("org-" + key[len(key)-1:])
	upload, refusal := in.Receive(ctx, org, "", key, newInputFile(items, bytes))
	if refusal != nil {
		return "", refusal
	}
	m, refusal := upload.Accept(ctx, "batch")
	if refusal != nil {
		return "", refusal
	}
	job, refusal := in.Create(ctx, intake.Request{Org: org, IdempotencyKey: key, File: m.ID, Endpoint: itemURL, Window: "6h"})
	if refusal != nil {
		return "", refusal
	}
	return job.ID, nil
}

// await waits until a job is complete.
func (b *batchNodes) await(id core.JobID, limit time.Duration) error {
	for deadline := time.Now().Add(limit); time.Now().Before(deadline); time.Sleep(20 * time.Millisecond) {
		row, err := b.table.Table.Get(context.Background(), records.JobKey(id))
		if err != nil {
			return err
		}
		job, err := records.Decode[records.Job](row.Value)
		if err != nil || job.State == records.JobCompleted {
			return err
		}
	}
	return fmt.Errorf("job %s did not complete within %s", id, limit)
}

func (b *batchNodes) close() {
	for _, s := range b.services {
		s.Kill()
	}
	b.transports.close()
}

// inputFile generates the lines of an input file as they are read, so that the file
// is never in memory as a whole.
type inputFile struct {
	remaining, total int
	prompt           string
	buffered         []byte
}

func newInputFile(items, bytes int) io.Reader {
	return &inputFile{remaining: items, total: items, prompt: strings.Repeat("lantern ", max(1, bytes/8))}
}

// Read implements io.Reader.
func (f *inputFile) Read(p []byte) (int, error) {
	if len(f.buffered) == 0 {
		if f.remaining == 0 {
			return 0, io.EOF
		}
		f.buffered = fmt.Appendf(f.buffered[:0], `{"custom_id":"item-%07d","method":"POST","url":%q,"body":{"model":"model-0","messages":[{"role":"user","content":%q}]}}`+"\n",
			f.total-f.remaining, itemURL, f.prompt)
		f.remaining--
	}
	n := copy(p, f.buffered)
	f.buffered = f.buffered[n:]
	return n, nil
}

// responseBody is the response to every item.
var responseBody = []byte(fmt.Sprintf(`{"id":"x","choices":[{"message":{"content":%q}}]}`, strings.Repeat("word ", 40)))

// run1ms is a runner whose items take 1 ms.
func run1ms(ctx context.Context, item batch.Item) batch.Outcome {
	time.Sleep(time.Millisecond)
	return batch.Outcome{Kind: batch.Done, StatusCode: 200, RequestID: item.ID, Body: responseBody}
}

// run10ms is a runner whose items take 10 ms.
func run10ms(ctx context.Context, item batch.Item) batch.Outcome {
	time.Sleep(9 * time.Millisecond)
	return run1ms(ctx, item)
}

// runUntilCancelled is a runner whose items do not end before they are cancelled.
func runUntilCancelled(ctx context.Context, _ batch.Item) batch.Outcome {
	<-ctx.Done()
	return batch.Outcome{Kind: batch.NotRun}
}
