package cli

import (
	"context"
	"crypto/sha256"
	"encoding/hex"
	"fmt"
	"io"
	"mime/multipart"
	"net/http"
	"os"
	"path/filepath"

	"github.com/google/subcommands"
	"github.com/pkg/errors"
)

const (
	metadataKey    = "idempotency_key"
	metadataDigest = "content_sha256"
	// maxSearchPages and searchPageSize bound the search for the job that an
	// earlier run of the same command created: 2,000 jobs.
	maxSearchPages = 20
	searchPageSize = 100
)

// createOutput is the output of "job create".
type createOutput struct {
	job
	Key string `json:"idempotency_key"`
}

type createFlags struct {
	key, endpoint, window string
}

func (a *App) createCommand() subcommands.Command {
	var c createFlags
	return &command{app: a, name: "create", synopsis: "create a job from a JSONL file", api: callersAPI, minArgs: 1, maxArgs: 1,
		usage: "job create [-key KEY] [-endpoint PATH] FILE: upload a JSONL file and create a job from it. " +
			"Unless given, the idempotency key is derived from the file's content, the endpoint and the window, so that a repeated command creates no second job.",
		flags: func(f *flagSet) {
			f.StringVar(&c.key, "key", "", "idempotency key; default: derived from the file's content, the endpoint and the window")
			f.StringVar(&c.endpoint, "endpoint", "/v1/chat/completions", "endpoint that the items are sent to")
			f.StringVar(&c.window, "window", "24h", "completion window")
		},
		run: func(ctx context.Context, in *invocation) error { return in.create(ctx, c) }}
}

func (in *invocation) create(ctx context.Context, c createFlags) error {
	digest, err := digestFile(in.args[0])
	if err != nil {
		return err
	}
	if c.key == "" {
		sum := sha256.Sum256([]byte(digest + "\n" + c.endpoint + "\n" + c.window))
		c.key = "file-" + hex.EncodeToString(sum[:16])
	}
	// The key is printed before the upload: the operator needs it to repeat the
	// command after a failure.
	_, _ = fmt.Fprintf(in.Stderr, "idempotency key: %s\n", c.key)
	fileID, err := in.upload(ctx, in.args[0], c.key)
	if err != nil {
		return err
	}
	out := createOutput{Key: c.key}
	body := map[string]any{
		"input_file_id": fileID, "endpoint": c.endpoint, "completion_window": c.window,
		"metadata": map[string]string{metadataKey: c.key, metadataDigest: digest},
	}
	err = in.client.post(ctx, "/v1/batches", body, &out.job, c.key, true)
	if exitCode(err) == exitConflict {
		err = in.findCreated(ctx, c, digest, &out.job, err)
	}
	if err != nil {
		return err
	}
	if in.json {
		return in.printJSON(out)
	}
	_, err = fmt.Fprintf(in.Stdout, "job %s\nidempotency key %s\n%s\n", out.ID, out.Key, out.progress())
	return err
}

// findCreated looks for the job that an earlier run of the same command created.
// The repeated upload has a new file ID, so the server may refuse the request as
// a reuse of the key for another job. If there is no such job, findCreated
// returns conflict.
func (in *invocation) findCreated(ctx context.Context, c createFlags, digest string, out *job, conflict error) error {
	after := ""
	for range maxSearchPages {
		page, err := in.listJobs(ctx, after, searchPageSize)
		if err != nil {
			return err
		}
		for _, j := range page.Data {
			if j.Metadata[metadataKey] == c.key && j.Metadata[metadataDigest] == digest && j.Endpoint == c.endpoint {
				*out = j
				return nil
			}
			after = j.ID
		}
		if !page.HasMore || len(page.Data) == 0 {
			break
		}
	}
	return conflict
}

func digestFile(name string) (string, error) {
	file, err := os.Open(name)
	if err != nil {
		return "", errors.Wrap(err, "input file")
	}
	defer file.Close()
	h := sha256.New()
	if _, err := io.Copy(h, file); err != nil {
		return "", errors.Wrap(err, "input file")
	}
	return hex.EncodeToString(h.Sum(nil)), nil
}

// upload streams the file to the server and returns its file ID. A retry after a
// lost response at worst leaves a file that no job uses.
func (in *invocation) upload(ctx context.Context, name, key string) (string, error) {
	var out struct {
		ID string `json:"id"`
	}
	boundary := multipart.NewWriter(io.Discard).Boundary()
	request := apiRequest{method: http.MethodPost, path: "/v1/files", key: key, idempotent: true,
		contentType: "multipart/form-data; boundary=" + boundary,
		body:        func() (io.ReadCloser, error) { return multipartBody(name, boundary) }}
	err := in.client.retry(ctx, request, func() error { return in.client.sendOnce(ctx, request, &out) })
	if err == nil && out.ID == "" {
		return "", errors.New("upload response has no file ID")
	}
	return out.ID, err
}

// multipartBody returns the multipart form that uploads a file, as a stream.
func multipartBody(name, boundary string) (io.ReadCloser, error) {
	file, err := os.Open(name)
	if err != nil {
		return nil, errors.Wrap(err, "input file")
	}
	reader, writer := io.Pipe()
	form := multipart.NewWriter(writer)
	if err := form.SetBoundary(boundary); err != nil {
		file.Close()
		return nil, err
	}
	go func() {
		defer file.Close()
		writer.CloseWithError(writeForm(form, file, filepath.Base(name)))
	}()
	return reader, nil
}

func writeForm(form *multipart.Writer, file io.Reader, name string) error {
	if err := form.WriteField("purpose", "batch"); err != nil {
		return err
	}
	part, err := form.CreateFormFile("file", name)
	if err != nil {
		return err
	}
	if _, err := io.Copy(part, file); err != nil {
		return err
	}
	return form.Close()
}
