package main

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"mime/multipart"
	"net/http"
	"time"

	"github.com/pkg/errors"

	"gentiantide.example/gentiantide/bench/client"
	"gentiantide.example/gentiantide/bench/workload"
)

const (
	jobPollInterval    = 300 * time.Millisecond
	maxJobCallAttempts = 20
)

// batchObject holds the fields of a batch object that the demo reads.
type batchObject struct {
	ID            string `json:"id"`
	Status        string `json:"status"`
	OutputFileID  string `json:"output_file_id"`
	RequestCounts struct {
		Total, Completed, Failed int
	} `json:"request_counts"`
}

// job is a batch job and its caller's side of the batch API.
type job struct {
	demo *demo
	spec workload.JobSpec
	key  string
	org  string
	file string
	id   string
}

// call sends a request to any ready node and retries it after a connection error or
// a status of 429 or more. Retries are safe, since all requests of a job have an
// idempotency key or are idempotent.
func (j *job) call(method, path, contentType string, body []byte) ([]byte, error) {
	var last error
	for range maxJobCallAttempts {
		data, status, err := j.sendOnce(method, path, contentType, body)
		switch {
		case err == nil && status < 300:
			return data, nil
		case err == nil && status < 429:
			return nil, errors.Errorf("%s %s: status %d: %s", method, path, status, data)
		case err == nil:
			err = errors.Errorf("%s %s: status %d: %s", method, path, status, data)
		}
		last = err
		time.Sleep(retryDelay)
	}
	return nil, last
}

func (j *job) sendOnce(method, path, contentType string, body []byte) ([]byte, int, error) {
	ctx, cancel := context.WithTimeout(context.Background(), 20*time.Second)
	defer cancel()
	request, err := http.NewRequestWithContext(ctx, method, j.demo.balancer.pick()+path, bytes.NewReader(body))
	if err != nil {
		return nil, 0, err
	}
	request.Header.Set("Content-Type", contentType)
	request.Header.Set("OpenAI-Organization", j.org)
	request.Header.Set("Idempotency-Key", j.key)
	response, err := j.demo.client.HTTP.Do(request)
	if err != nil {
		return nil, 0, err
	}
	defer func() { _ = response.Body.Close() }()
	data, err := io.ReadAll(response.Body)
	return data, response.StatusCode, err
}

// upload uploads the input file of the job.
func (j *job) upload() error {
	content, err := j.spec.File()
	if err != nil {
		return err
	}
	var form bytes.Buffer
	writer := multipart.NewWriter(&form)
	_ = writer.WriteField("purpose", "batch")
	part, err := writer.CreateFormFile("file", j.key+".jsonl")
	if err != nil {
		return errors.Wrap(err, "build upload")
	}
	_, _ = part.Write(content) // writes to a buffer do not fail
	_ = writer.Close()
	data, err := j.call(http.MethodPost, "/v1/files", writer.FormDataContentType(), form.Bytes())
	if err != nil {
		return err
	}
	var file struct {
		ID string `json:"id"`
	}
	err = json.Unmarshal(data, &file)
	j.file = file.ID
	return errors.Wrap(err, "decode file object")
}

// create creates the batch and returns its id. It must return the same id when it
// is called again.
func (j *job) create() (string, error) {
	body, _ := json.Marshal(map[string]any{ // encoding a map of strings does not fail
		"input_file_id": j.file, "endpoint": workload.Path(j.spec.Kind), "completion_window": "1h",
	})
	data, err := j.call(http.MethodPost, "/v1/batches", "application/json", body)
	if err != nil {
		return "", err
	}
	var b batchObject
	err = json.Unmarshal(data, &b)
	return b.ID, errors.Wrap(err, "decode batch object")
}

// start uploads the input file and creates the batch.
func (j *job) start() error {
	if err := j.upload(); err != nil {
		return err
	}
	id, err := j.create()
	j.id = id
	return err
}

func (j *job) get() (batchObject, error) {
	var b batchObject
	data, err := j.call(http.MethodGet, "/v1/batches/"+j.id, "application/json", nil)
	if err != nil {
		return b, err
	}
	return b, errors.Wrap(json.Unmarshal(data, &b), "decode batch object")
}

func (j *job) cancel() error {
	_, err := j.call(http.MethodPost, "/v1/batches/"+j.id+"/cancel", "application/json", nil)
	return err
}

// await polls the job until it has one of the states or ctx ends.
func (j *job) await(ctx context.Context, states ...string) (batchObject, error) {
	var b batchObject
	for ctx.Err() == nil {
		var err error
		if b, err = j.get(); err != nil {
			return b, err
		}
		for _, s := range states {
			if b.Status == s {
				return b, nil
			}
		}
		time.Sleep(jobPollInterval)
	}
	return b, errors.Errorf("job %s is still %s (%d of %d items completed)", j.id, b.Status, b.RequestCounts.Completed, b.RequestCounts.Total)
}

// resultCounts counts the lines of a job's output file by their correctness.
type resultCounts struct {
	lines, correct, incorrect, duplicated, failed, unexpected int
	problem                                                   string
}

// countResults reads an output file and compares it with the expected answers.
func (j *job) countResults(outputFile string) (resultCounts, error) {
	data, err := j.call(http.MethodGet, "/v1/files/"+outputFile+"/content", "application/json", nil)
	if err != nil {
		return resultCounts{}, err
	}
	want, err := j.expected()
	if err != nil {
		return resultCounts{}, err
	}
	var o resultCounts
	seen := make(map[string]bool)
	for _, line := range bytes.Split(bytes.TrimSpace(data), []byte("\n")) {
		if len(line) > 0 {
			o.add(line, want, seen)
		}
	}
	return o, nil
}

// expected maps each custom id to its answer, or to "" for a poison item, which
// always fails.
func (j *job) expected() (map[string]string, error) {
	content, err := j.spec.File()
	if err != nil {
		return nil, err
	}
	want := make(map[string]string)
	for i, line := range bytes.Split(bytes.TrimSpace(content), []byte("\n")) {
		var item struct {
			CustomID string         `json:"custom_id"`
			Body     map[string]any `json:"body"`
		}
		if err := json.Unmarshal(line, &item); err != nil {
			return nil, errors.Wrap(err, "decode item")
		}
		want[item.CustomID] = client.Expected(item.Body)
		if j.spec.Poisoned(i) {
			want[item.CustomID] = ""
		}
	}
	return want, nil
}

// add counts one line of the output file.
func (o *resultCounts) add(line []byte, want map[string]string, seen map[string]bool) {
	var item struct {
		CustomID string `json:"custom_id"`
		Response *struct {
			Body struct {
				Choices []struct {
					Text    string `json:"text"`
					Message struct {
						Content string `json:"content"`
					} `json:"message"`
				} `json:"choices"`
			} `json:"body"`
		} `json:"response"`
		Error json.RawMessage `json:"error"`
	}
	o.lines++
	if err := json.Unmarshal(line, &item); err != nil {
		o.note("output line is not valid JSON: %s", line)
		o.incorrect++
		return
	}
	expected, known := want[item.CustomID]
	text := ""
	if item.Response != nil {
		for _, c := range item.Response.Body.Choices {
			text += c.Text + c.Message.Content
		}
	}
	failed := len(item.Error) > 0 && string(item.Error) != "null"
	switch {
	case seen[item.CustomID]:
		o.duplicated++
	case !known:
		o.unexpected++
	case failed && expected == "":
		o.failed++
	case !failed && text == expected && expected != "":
		o.correct++
	default:
		o.incorrect++
		o.note("%.300s", line)
	}
	seen[item.CustomID] = true
}

// note records the first problem.
func (o *resultCounts) note(format string, args ...any) {
	if o.problem == "" {
		o.problem = fmt.Sprintf(format, args...)
	}
}
