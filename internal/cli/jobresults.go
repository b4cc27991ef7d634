package cli

import (
	"context"
	"io"
	"net/http"
	"net/url"
	"os"
	"path/filepath"

	"github.com/google/subcommands"
	"github.com/pkg/errors"
)

func (a *App) resultsCommand() subcommands.Command {
	out := ""
	return &command{app: a, name: "results", synopsis: "read a job's results", api: callersAPI, minArgs: 1, maxArgs: 1,
		usage: "job results [-out FILE] JOB: write the results, one JSON line per item, to a file or to the standard output.",
		flags: func(f *flagSet) { f.StringVar(&out, "out", "", "file to write; default: standard output") },
		run: func(ctx context.Context, in *invocation) error {
			j, err := in.job(ctx, in.args[0])
			if err != nil {
				return err
			}
			if j.OutputFileID == "" {
				return refusedf("job %s is %s and has no results to read yet", j.ID, j.Status)
			}
			return in.writeResults(ctx, j.OutputFileID, out)
		}}
}

// writeResults writes the content of the results file to out, or to the standard
// output if out is empty.
func (in *invocation) writeResults(ctx context.Context, fileID, out string) error {
	request := apiRequest{method: http.MethodGet, path: "/v1/files/" + url.PathEscape(fileID) + "/content", idempotent: true}
	if out == "" {
		var response *http.Response
		err := in.client.retry(ctx, request, func() (err error) {
			response, err = in.client.send(ctx, request)
			return err
		})
		if err != nil {
			return err
		}
		defer response.Body.Close()
		_, err = io.Copy(in.Stdout, response.Body)
		return errors.Wrap(err, "results were cut off")
	}
	return in.client.retry(ctx, request, func() error { return in.download(ctx, request, out) })
}

// download writes to a temporary file and renames it at the end, so that a file
// with the output's name is always complete.
func (in *invocation) download(ctx context.Context, request apiRequest, out string) error {
	response, err := in.client.send(ctx, request)
	if err != nil {
		return err
	}
	defer response.Body.Close()
	file, err := os.CreateTemp(filepath.Dir(out), filepath.Base(out)+".part-*")
	if err != nil {
		return errors.Wrap(err, "results file")
	}
	defer os.Remove(file.Name())
	_, err = io.Copy(file, response.Body)
	if closeErr := file.Close(); err == nil {
		err = closeErr
	}
	if err != nil {
		return &transportError{errors.Wrap(err, "results were cut off"), true}
	}
	return errors.Wrap(os.Rename(file.Name(), out), "results file")
}
