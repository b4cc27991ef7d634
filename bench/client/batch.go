package client

import (
	"bytes"
	"context"
	"encoding/json"
	"io"
	"mime/multipart"
	"net/http"

	"github.com/pkg/errors"
)

// Batch holds the fields of a batch object that the demo and the measurements
// use.
type Batch struct {
	ID            string `json:"id"`
	Status        string `json:"status"`
	RequestCounts struct {
		Total     int `json:"total"`
		Completed int `json:"completed"`
		Failed    int `json:"failed"`
	} `json:"request_counts"`
}

// BatchAPI calls the batch API of one node as one organisation. It does not retry
// calls.
type BatchAPI struct {
	Client *Client
	Base   string // base URL of a node
	Org    string
}

// Upload uploads the input file that write produces, without holding it in memory,
// and returns the file's id. key is the idempotency key.
func (a BatchAPI) Upload(ctx context.Context, key string, write func(io.Writer) error) (string, error) {
	reader, pipe := io.Pipe()
	form := multipart.NewWriter(pipe)
	go func() { pipe.CloseWithError(writeForm(form, key, write)) }()
	data, err := a.call(ctx, http.MethodPost, "/v1/files", key, form.FormDataContentType(), reader)
	_ = reader.Close() // stops write if the node did not read the whole file
	if err != nil {
		return "", err
	}
	var file struct {
		ID string `json:"id"`
	}
	return file.ID, errors.Wrap(json.Unmarshal(data, &file), "decode file object")
}

// writeForm writes the multipart form of an upload.
func writeForm(form *multipart.Writer, name string, write func(io.Writer) error) error {
	if err := form.WriteField("purpose", "batch"); err != nil {
		return err
	}
	part, err := form.CreateFormFile("file", name+".jsonl")
	if err != nil {
		return err
	}
	if err := write(part); err != nil {
		return err
	}
	return form.Close()
}

// Create creates a job from an uploaded file. key is the idempotency key.
func (a BatchAPI) Create(ctx context.Context, key, file, endpoint string) (Batch, error) {
	body, _ := json.Marshal(map[string]any{ // cannot fail for a map of strings
		"input_file_id": file, "endpoint": endpoint, "completion_window": "1h",
	})
	return a.batch(ctx, http.MethodPost, "/v1/batches", key, body)
}

// Get returns the current state of a job.
func (a BatchAPI) Get(ctx context.Context, id string) (Batch, error) {
	return a.batch(ctx, http.MethodGet, "/v1/batches/"+id, "", nil)
}

// Cancel requests the cancellation of a job.
func (a BatchAPI) Cancel(ctx context.Context, id string) (Batch, error) {
	return a.batch(ctx, http.MethodPost, "/v1/batches/"+id+"/cancel", "", nil)
}

func (a BatchAPI) batch(ctx context.Context, method, path, key string, body []byte) (Batch, error) {
	var b Batch
	data, err := a.call(ctx, method, path, key, "application/json", bytes.NewReader(body))
	if err != nil {
		return b, err
	}
	return b, errors.Wrap(json.Unmarshal(data, &b), "decode batch object")
}

func (a BatchAPI) call(ctx context.Context, method, path, key, contentType string, body io.Reader) ([]byte, error) {
	request, err := http.NewRequestWithContext(ctx, method, a.Base+path, body)
	if err != nil {
		return nil, errors.Wrap(err, "build request")
	}
	request.Header.Set("Content-Type", contentType)
	request.Header.Set("OpenAI-Organization", a.Org)
	if key != "" {
		request.Header.Set("Idempotency-Key", key)
	}
	response, err := a.Client.HTTP.Do(request)
	if err != nil {
		return nil, errors.Wrapf(err, "%s %s", method, path)
	}
	defer func() { _ = response.Body.Close() }()
	data, err := io.ReadAll(response.Body)
	if err != nil {
		return nil, errors.Wrapf(err, "%s %s", method, path)
	}
	if response.StatusCode != http.StatusOK {
		return nil, errors.Errorf("%s %s: status %d: %s", method, path, response.StatusCode, data)
	}
	return data, nil
}
