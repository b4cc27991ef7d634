package cli

import (
	"context"
	"fmt"
	"net/url"
	"time"

	"github.com/google/subcommands"
)

// job is a batch object of the OpenAI API.
type job struct {
	ID           string `json:"id"`
	Status       string `json:"status"`
	Endpoint     string `json:"endpoint"`
	InputFileID  string `json:"input_file_id"`
	OutputFileID string `json:"output_file_id,omitempty"`
	CreatedAt    int64  `json:"created_at"`
	Counts       struct {
		Total     int `json:"total"`
		Completed int `json:"completed"`
		Failed    int `json:"failed"`
	} `json:"request_counts"`
	Metadata map[string]string `json:"metadata,omitempty"`
}

// isFinal reports whether the job has ended, so that its status is final.
func (j *job) isFinal() bool {
	return j.Status == "completed" || j.Status == "failed" || j.Status == "cancelled" || j.Status == "expired"
}

// progress returns a line with the job's status and progress.
func (j *job) progress() string {
	text := fmt.Sprintf("%s: %s, %d of %d items completed", j.ID, j.Status, j.Counts.Completed, j.Counts.Total)
	if j.Counts.Failed > 0 {
		text += fmt.Sprintf(", %d failed", j.Counts.Failed)
	}
	return text
}

func jobPath(id string) string { return "/v1/batches/" + url.PathEscape(id) }

func (a *App) jobCommands() []subcommands.Command {
	return []subcommands.Command{a.createCommand(), a.statusCommand(), a.cancelCommand(), a.resultsCommand(), a.listCommand()}
}

func (in *invocation) job(ctx context.Context, id string) (*job, error) {
	out := &job{}
	return out, in.client.get(ctx, jobPath(id), out)
}

func (in *invocation) printJob(j *job) error {
	if in.json {
		return in.printJSON(j)
	}
	_, err := fmt.Fprintln(in.Stdout, j.progress())
	return err
}

func (a *App) statusCommand() subcommands.Command {
	watch := false
	return &command{app: a, name: "status", synopsis: "show a job's state and progress", api: callersAPI, minArgs: 1, maxArgs: 1,
		usage: "job status [-watch] JOB: show a job; -watch follows it until it ends and fails unless it completed.",
		flags: func(f *flagSet) { f.BoolVar(&watch, "watch", false, "show the progress until the job ends") },
		run: func(ctx context.Context, in *invocation) error {
			if watch {
				return in.watch(ctx, in.args[0])
			}
			j, err := in.job(ctx, in.args[0])
			if err != nil {
				return err
			}
			return in.printJob(j)
		}}
}

// watch prints each change of a job's status or progress until the job ends. It
// returns an error unless the job completed.
func (in *invocation) watch(ctx context.Context, id string) error {
	last := ""
	var final *job
	err := in.poll(ctx, func() (bool, error) {
		j, err := in.job(ctx, id)
		if err != nil {
			return false, err
		}
		if line := j.progress(); line != last {
			last = line
			if err := in.printJob(j); err != nil {
				return false, err
			}
		}
		final = j
		return j.isFinal(), nil
	})
	if err != nil {
		return err
	}
	if final.Status != "completed" {
		return fmt.Errorf("job %s ended with status %s", id, final.Status)
	}
	return nil
}

func (a *App) cancelCommand() subcommands.Command {
	return &command{app: a, name: "cancel", synopsis: "cancel a job and wait until it has stopped", api: callersAPI, minArgs: 1, maxArgs: 1,
		usage: "job cancel JOB: cancel a job and wait until it is cancelled, which is when none of its items is running.",
		run: func(ctx context.Context, in *invocation) error {
			j := &job{}
			if err := in.client.post(ctx, jobPath(in.args[0])+"/cancel", struct{}{}, j, "", true); err != nil {
				return err
			}
			err := in.poll(ctx, func() (bool, error) {
				next, err := in.job(ctx, in.args[0])
				if err == nil {
					j = next
				}
				return err == nil && j.isFinal(), err
			})
			if err != nil {
				return err
			}
			if err := in.printJob(j); err != nil {
				return err
			}
			if j.Status != "cancelled" {
				return refusedf("job %s had already ended with status %s", j.ID, j.Status)
			}
			return nil
		}}
}

// jobPage is one page of the job list.
type jobPage struct {
	Data    []job `json:"data"`
	HasMore bool  `json:"has_more"`
}

func (in *invocation) listJobs(ctx context.Context, after string, limit int) (jobPage, error) {
	query := url.Values{"limit": {fmt.Sprint(limit)}}
	if after != "" {
		query.Set("after", after)
	}
	var page jobPage
	err := in.client.get(ctx, "/v1/batches?"+query.Encode(), &page)
	return page, err
}

func (a *App) listCommand() subcommands.Command {
	limit, after := 20, ""
	return &command{app: a, name: "list", synopsis: "list jobs", api: callersAPI,
		usage: "job list [-limit N] [-after JOB]: list the organisation's jobs.",
		flags: func(f *flagSet) {
			f.IntVar(&limit, "limit", 20, "number of jobs")
			f.StringVar(&after, "after", "", "list the jobs that follow this one")
		},
		run: func(ctx context.Context, in *invocation) error {
			page, err := in.listJobs(ctx, after, limit)
			if err != nil {
				return err
			}
			if in.json {
				return in.printJSON(append([]job{}, page.Data...))
			}
			var rows [][]any
			for _, j := range page.Data {
				created := "-"
				if j.CreatedAt > 0 {
					created = time.Unix(j.CreatedAt, 0).UTC().Format(time.RFC3339)
				}
				rows = append(rows, []any{j.ID, j.Status, j.Counts.Completed, j.Counts.Failed, j.Counts.Total, created})
			}
			return in.printTable([]any{"JOB", "STATUS", "COMPLETED", "FAILED", "TOTAL", "CREATED"}, rows)
		}}
}
