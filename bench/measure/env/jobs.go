package env

import (
	"bytes"
	"context"
	"fmt"
	"io"
	"net/http"
	"time"

	"github.com/pkg/errors"

	"gentiantide.example/gentiantide/bench/client"
	"gentiantide.example/gentiantide/bench/harness"
	"gentiantide.example/gentiantide/bench/workload"
)

const (
	jobPoll = 50 * time.Millisecond
	// cancelWait bounds the wait for the acknowledgement of a cancellation.
	cancelWait = 20 * time.Second
	batchOrg   = "print-run"
)

// jobInput identifies an input file.
type jobInput struct{ items, tokens int }

// Job is a batch job that runs on one of the systems.
type Job struct {
	env    *Env
	system System
	id     string
	via    int // index of the node through which it is watched
}

// WatchBeside makes the job be watched through a node other than n.
func (j *Job) WatchBeside(n *harness.Node) {
	if j.env.Fleet.Nodes[j.via] == n {
		j.via++
	}
}

// Spec returns the description of a job of the shape's batch work.
func (e *Env) Spec(items, tokens int) workload.JobSpec {
	return workload.JobSpec{Kind: e.Shape.Batch, Model: e.Shape.Model, Items: items, MaxTokens: tokens}
}

// API returns the batch API of the i-th node.
func (e *Env) API(i int) client.BatchAPI {
	return client.BatchAPI{Client: e.Client, Base: e.Fleet.Nodes[i].URL(), Org: batchOrg}
}

// StartJob starts a job of short items. Files are uploaded once and serve
// several jobs. The naive proxy's job has as many items in flight as the
// engines have slots.
func (e *Env) StartJob(ctx context.Context, system System, items, tokens int) (*Job, error) {
	j := &Job{env: e, system: system}
	if system == Naive {
		return j, e.startNaive(ctx, e.Spec(items, tokens))
	}
	file, err := e.Upload(ctx, items, tokens)
	if err != nil {
		return nil, err
	}
	e.jobs++
	b, err := e.API(0).Create(ctx, fmt.Sprintf("job-%d", e.jobs), file, workload.Path(e.Shape.Batch))
	j.id = b.ID
	return j, err
}

// Upload uploads an input file unless it was before, and returns its id.
func (e *Env) Upload(ctx context.Context, items, tokens int) (string, error) {
	input := jobInput{items, tokens}
	if id, ok := e.files[input]; ok {
		return id, nil
	}
	write := func(w io.Writer) error { return e.Spec(items, tokens).Write(w) }
	id, err := e.API(0).Upload(ctx, fmt.Sprintf("file-%d-%d", items, tokens), write)
	if err == nil {
		e.files[input] = id
	}
	return id, err
}

func (e *Env) startNaive(ctx context.Context, spec workload.JobSpec) error {
	content, err := spec.File()
	if err != nil {
		return err
	}
	url := fmt.Sprintf("%s/batch?concurrency=%d", e.naiveURL, e.Shape.Slots())
	request, err := http.NewRequestWithContext(ctx, http.MethodPost, url, bytes.NewReader(content))
	if err != nil {
		return errors.Wrap(err, "build call")
	}
	response, err := e.Client.HTTP.Do(request)
	if err != nil {
		return errors.Wrap(err, "start the naive job")
	}
	_ = response.Body.Close()
	if response.StatusCode != http.StatusAccepted {
		return errors.Errorf("start the naive job: status %d", response.StatusCode)
	}
	return nil
}

// Stop cancels the job and waits until the cancellation is acknowledged. A job
// that has ended is no error.
func (j *Job) Stop(ctx context.Context) error {
	if j.system == Naive {
		return j.env.stopNaive(ctx)
	}
	ctx, cancel := context.WithTimeout(ctx, cancelWait)
	defer cancel()
	if _, err := j.env.API(j.via).Cancel(ctx, j.id); err != nil {
		if b, err := j.env.API(j.via).Get(ctx, j.id); err == nil && b.Status == "completed" {
			return nil
		}
		return err
	}
	_, err := j.Await(ctx, "cancelled", "completed")
	return err
}

// Await waits until the job has one of the states.
func (j *Job) Await(ctx context.Context, states ...string) (client.Batch, error) {
	for {
		b, err := j.env.API(j.via).Get(ctx, j.id)
		if err != nil {
			return b, err
		}
		for _, s := range states {
			if b.Status == s {
				return b, nil
			}
		}
		select {
		case <-ctx.Done():
			return b, errors.Errorf("job %s is %s with %d of %d items", j.id, b.Status, b.RequestCounts.Completed, b.RequestCounts.Total)
		case <-time.After(jobPoll):
		}
	}
}

// ID returns the job's id; "" on the naive proxy.
func (j *Job) ID() string { return j.id }
