package core

import (
	"net/http"
	"testing"

	"github.com/onsi/gomega"
)

// Guards against a refusal that reports "not run" by default. Only Refuse may
// report it, because callers repeat work that did not run.
func TestRefusalExecution(t *testing.T) {
	g := gomega.NewWithT(t)
	g.Expect(Refuse(CodeOverloaded, "full").Execution).To(gomega.Equal(NotRun))
	g.Expect(Fail(CodeBackendFailed, "reset").Execution).To(gomega.Equal(ExecutionUnknown))
	g.Expect((&Refusal{}).Execution).To(gomega.Equal(ExecutionUnknown))
	g.Expect(Refuse(CodeOverloaded, "full").HTTPStatus()).To(gomega.Equal(http.StatusTooManyRequests))
}
