package integration

import (
	"bytes"
	"encoding/json"
	"fmt"
	"io"
	"mime/multipart"
	"net/http"
	"strings"
	"sync"

	. "github.com/onsi/ginkgo/v2"
	"github.com/onsi/gomega"

	"gentiantide.example/gentiantide/bench/client"
	"gentiantide.example/gentiantide/bench/standin/engine"
	"gentiantide.example/gentiantide/bench/standin/table"
)

// batchObject holds the fields of a batch object that the tests read.
type batchObject struct {
	ID           string `json:"id"`
	Status       string `json:"status"`
	OutputFileID string `json:"output_file_id"`
	Counts       struct {
		Total, Completed, Failed int
	} `json:"request_counts"`
}

func itemPrompt(i int) string { return fmt.Sprint("item ", i) }

// request sends a request to the batch API, decodes a successful response and
// returns the status.
func (c *cluster) request(n *testNode, method, path, key, contentType string, body []byte, into any) int {
	request, err := http.NewRequestWithContext(c.t.Context(), method, n.url()+path, bytes.NewReader(body))
	c.g.Expect(err).NotTo(gomega.HaveOccurred())
	request.Header.Set("Content-Type", contentType)
	if key != "" {
		request.Header.Set("Idempotency-Key", key)
	}
	response, err := http.DefaultClient.Do(request)
	c.g.Expect(err).NotTo(gomega.HaveOccurred())
	defer func() { _ = response.Body.Close() }()
	data, err := io.ReadAll(response.Body)
	c.g.Expect(err).NotTo(gomega.HaveOccurred())
	if into != nil && response.StatusCode < 300 {
		c.g.Expect(json.Unmarshal(data, into)).To(gomega.Succeed(), string(data))
	}
	return response.StatusCode
}

// uploadItems uploads an input file with items and returns its id.
func (c *cluster) uploadItems(n *testNode, items, tokens int) string {
	var form bytes.Buffer
	writer := multipart.NewWriter(&form)
	_ = writer.WriteField("purpose", "batch")
	part, err := writer.CreateFormFile("file", "items.jsonl")
	c.g.Expect(err).NotTo(gomega.HaveOccurred())
	for i := range items {
		_, _ = fmt.Fprintf(part, `{"custom_id":"c%d","method":"POST","url":"/v1/completions","body":{"model":"m","prompt":%q,"max_tokens":%d}}`+"\n",
			i, itemPrompt(i), tokens)
	}
	_ = writer.Close()
	var file struct {
		ID string `json:"id"`
	}
	c.g.Expect(c.request(n, http.MethodPost, "/v1/files", "", writer.FormDataContentType(), form.Bytes(), &file)).To(gomega.BeNumerically("<", 300))
	return file.ID
}

// createBatch creates a batch with an idempotency key and returns it with the
// status.
func (c *cluster) createBatch(n *testNode, file, key string) (batchObject, int) {
	var b batchObject
	body := fmt.Sprintf(`{"input_file_id":%q,"endpoint":"/v1/completions","completion_window":"1h"}`, file)
	status := c.request(n, http.MethodPost, "/v1/batches", key, "application/json", []byte(body), &b)
	return b, status
}

func (c *cluster) getBatch(n *testNode, id string) batchObject {
	var b batchObject
	c.g.Expect(c.request(n, http.MethodGet, "/v1/batches/"+id, "", "application/json", nil, &b)).To(gomega.Equal(200))
	return b
}

// expectResults fails the test unless the output file has the correct answer of
// each item exactly once.
func (c *cluster) expectResults(n *testNode, file string, items, tokens int) {
	response, err := http.Get(n.url() + "/v1/files/" + file + "/content")
	c.g.Expect(err).NotTo(gomega.HaveOccurred())
	defer func() { _ = response.Body.Close() }()
	data, err := io.ReadAll(response.Body)
	c.g.Expect(err).NotTo(gomega.HaveOccurred())
	got := make(map[string]string)
	for line := range bytes.SplitSeq(bytes.TrimSpace(data), []byte("\n")) {
		var item struct {
			CustomID string `json:"custom_id"`
			Response struct {
				Body struct {
					Choices []struct{ Text string }
				}
			}
		}
		c.g.Expect(json.Unmarshal(line, &item)).To(gomega.Succeed(), string(line))
		c.g.Expect(got).NotTo(gomega.HaveKey(item.CustomID), "item has two results")
		c.g.Expect(item.Response.Body.Choices).To(gomega.HaveLen(1), string(line))
		got[item.CustomID] = item.Response.Body.Choices[0].Text
	}
	c.g.Expect(got).To(gomega.HaveLen(items))
	for i := range items {
		c.g.Expect(got[fmt.Sprint("c", i)]).To(gomega.Equal(engine.OutputText(itemPrompt(i), tokens)))
	}
}

// runningRequests returns the number of requests that run on all engines.
func (c *cluster) runningRequests() int {
	total := 0
	for _, e := range c.engines {
		total += e.Engine.Stats(false).Running
	}
	return total
}

// Guards against online requests that wait behind batch items, and against batch
// items that are lost, duplicated or corrupted when they are preempted and
// resumed.
var _ = It("preempts batch items for online requests and resumes them", func() {
	c := newCluster()
	const items, tokens, slots = 160, 600, 48
	b, code := c.createBatch(c.nodes[0], c.uploadItems(c.nodes[0], items, tokens), "yield")
	c.g.Expect(code).To(gomega.BeNumerically("<", 300))
	c.g.Eventually(c.runningRequests, waitTimeout).Should(gomega.Equal(slots))

	var wait sync.WaitGroup
	results := make([]client.Result, 36)
	for i := range results {
		wait.Go(func() { results[i] = c.generate(c.nodes[i%3], fmt.Sprint("counter ", i), 10) })
	}
	wait.Wait()
	for _, r := range results {
		c.g.Expect(r.OK()).To(gomega.BeTrue(), r.String())
	}
	c.g.Eventually(func() string { return c.getBatch(c.nodes[1], b.ID).Status }, waitTimeout).Should(gomega.Equal("completed"))
	c.expectResults(c.nodes[2], c.getBatch(c.nodes[2], b.ID).OutputFileID, items, tokens)
	resumes := 0
	for _, e := range c.engines {
		for _, s := range e.Engine.Stats(true).ByID {
			resumes += s.Resumes
		}
	}
	c.g.Expect(resumes).To(gomega.BeNumerically(">", 0), "no batch item was preempted, so the test did not cover preemption")
})

// Guards against a second job for one idempotency key when the creation is sent to
// several nodes at once while table responses are lost, and is repeated after the
// job has completed; and against a key that is accepted with another input file.
var _ = It("creates one job per idempotency key", func() {
	c := newCluster()
	file, other := c.uploadItems(c.nodes[0], 20, 5), c.uploadItems(c.nodes[0], 21, 5)
	c.table.Fault.Set(table.Fault{LoseResponses: 0.3})
	ids := make(chan string, 12)
	var wait sync.WaitGroup
	for i := range cap(ids) {
		wait.Go(func() {
			if b, code := c.createBatch(c.nodes[i%3], file, "same"); code < 300 {
				ids <- b.ID
			}
		})
	}
	wait.Wait()
	close(ids)
	c.table.Fault.Set(table.Fault{})
	first, code := c.createBatch(c.nodes[0], file, "same")
	c.g.Expect(code).To(gomega.BeNumerically("<", 300))
	for id := range ids {
		c.g.Expect(id).To(gomega.Equal(first.ID))
	}
	c.g.Eventually(func() string { return c.getBatch(c.nodes[0], first.ID).Status }, waitTimeout).Should(gomega.Equal("completed"))
	again, _ := c.createBatch(c.nodes[1], file, "same")
	c.g.Expect(again.ID).To(gomega.Equal(first.ID))
	_, code = c.createBatch(c.nodes[2], other, "same")
	c.g.Expect(code).To(gomega.Equal(http.StatusConflict))
	c.expectResults(c.nodes[1], c.getBatch(c.nodes[1], first.ID).OutputFileID, 20, 5)
})

// Guards against items that start, or results that appear, after a job was
// reported as cancelled.
var _ = It("starts no items of a cancelled job", func() {
	c := newCluster()
	b, _ := c.createBatch(c.nodes[0], c.uploadItems(c.nodes[0], 400, 60), "cancel")
	c.g.Eventually(func() int { return c.startedExecutions(b.ID) }, waitTimeout).Should(gomega.BeNumerically(">", 20))
	c.g.Expect(c.request(c.nodes[1], http.MethodPost, "/v1/batches/"+b.ID+"/cancel", "", "application/json", nil, nil)).To(gomega.BeNumerically("<", 300))
	var ended batchObject
	c.g.Eventually(func() string { ended = c.getBatch(c.nodes[2], b.ID); return ended.Status }, waitTimeout).Should(gomega.Equal("cancelled"))
	before := c.startedExecutions(b.ID)
	for i := range 30 {
		c.expectCompleteAnswer(c.nodes[i%3], fmt.Sprint("after the cancel ", i), 20)
	}
	c.g.Expect(c.startedExecutions(b.ID)).To(gomega.Equal(before))
	c.g.Expect(c.getBatch(c.nodes[0], b.ID).Counts).To(gomega.Equal(ended.Counts))
	c.g.Expect(before).To(gomega.BeNumerically("<", 400))
})

// startedExecutions returns how often engines have started an item of a job.
func (c *cluster) startedExecutions(job string) int {
	total := 0
	for _, e := range c.engines {
		for id, s := range e.Engine.Stats(true).ByID {
			if strings.Contains(id, job) {
				total += s.Starts
			}
		}
	}
	return total
}
