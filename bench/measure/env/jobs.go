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
	jobPollInterval = 50 * time.Millisecond
	// cancelTimeout bounds the wait until a cancelled job has ended.
	cancelTimeout = 20 * time.Second
	batchOrg      = "print-run"
)

// jobInput identifies an input file.
type jobInput struct{ items, tokens int }

// Job is a batch job on one of the systems.
type Job struct {
	env       *Env
	system    System
	id        string
	nodeIndex int // index of the node that serves the calls about the job
}

// AvoidNode makes later calls about the job go to a node other than n.
func (j *Job) AvoidNode(n *harness.Node) {
	if j.env.Fleet.Nodes[j.nodeIndex] == n {
		j.nodeIndex++
	}
}

// BatchSpec describes a job of the shape's batch workload. With 0 tokens the items
// keep the lengths of the workload.
func (e *Env) BatchSpec(items, tokens int) workload.JobSpec {
	return workload.JobSpec{Kind: e.Shape.Batch, Model: e.Shape.Model, Items: items, MaxTokens: tokens}
}

// API returns the batch API of the i-th node.
func (e *Env) API(i int) client.BatchAPI {
	return client.BatchAPI{Client: e.Client, Base: e.Fleet.Nodes[i].URL(), Org: batchOrg}
}

// StartJob starts a batch job. Jobs with the same number of items and tokens share
// one uploaded file. On the naive proxy, the job has as many items in flight as the
// engines have slots.
func (e *Env) StartJob(ctx context.Context, system System, items, tokens int) (*Job, error) {
	j := &Job{env: e, system: system}
	if system == Naive {
		return j, e.startNaiveJob(ctx, e.BatchSpec(items, tokens))
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

// Upload uploads an input file, unless it is already uploaded, and returns its id.
func (e *Env) Upload(ctx context.Context, items, tokens int) (string, error) {
	input := jobInput{items, tokens}
	if id, ok := e.files[input]; ok {
		return id, nil
	}
	write := func(w io.Writer) error { return e.BatchSpec(items, tokens).Write(w) }
	id, err := e.API(0).Upload(ctx, fmt.Sprintf("file-%d-%d", items, tokens), write)
	if err == nil {
		e.files[input] = id
	}
	return id, err
}

func (e *Env) startNaiveJob(ctx context.Context, spec workload.JobSpec) error {
	content, err := spec.File()
	if err != nil {
		return err
	}
	url := fmt.Sprintf("%s/batch?concurrency=%d", e.naiveURL, e.Shape.Slots())
	request, err := http.NewRequestWithContext(ctx, http.MethodPost, url, bytes.NewReader(content))
	if err != nil {
		return errors.Wrap(err, "build request for the naive job")
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

// Stop cancels the job and waits until it has ended. It is no error if the job is
// already complete.
func (j *Job) Stop(ctx context.Context) error {
	if j.system == Naive {
		return j.env.stopNaiveJob(ctx)
	}
	ctx, cancel := context.WithTimeout(ctx, cancelTimeout)
	defer cancel()
	if _, err := j.env.API(j.nodeIndex).Cancel(ctx, j.id); err != nil {
		if b, err := j.env.API(j.nodeIndex).Get(ctx, j.id); err == nil && b.Status == "completed" {
			return nil
		}
		return err
	}
	_, err := j.Await(ctx, "cancelled", "completed")
	return err
}

// Await waits until the job is in one of the states or ctx ends.
func (j *Job) Await(ctx context.Context, states ...string) (client.Batch, error) {
	for {
		b, err := j.env.API(j.nodeIndex).Get(ctx, j.id)
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
			return b, errors.Errorf("job %s is still %s with %d of %d items completed", j.id, b.Status, b.RequestCounts.Completed, b.RequestCounts.Total)
		case <-time.After(jobPollInterval):
		}
	}
}

// ID returns the job's id, which is empty on the naive proxy.
func (j *Job) ID() string { return j.id }
