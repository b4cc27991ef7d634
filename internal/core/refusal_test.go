package core

import (
	"net/http"
	"testing"

	"github.com/onsi/gomega"
)

// Guards against a refusal that claims "not run" by default: only Refuse may
// say so.
func TestRefusalExecution(t *testing.T) {
	g := gomega.NewWithT(t)
	g.Expect(Refuse(CodeOverloaded, "full").Execution).To(gomega.Equal(NotRun))
	g.Expect(Fail(CodeBackendFailed, "reset").Execution).To(gomega.Equal(ExecutionUnknown))
	g.Expect((&Refusal{}).Execution).To(gomega.Equal(ExecutionUnknown))
	g.Expect(Refuse(CodeOverloaded, "full").HTTPStatus()).To(gomega.Equal(http.StatusTooManyRequests))
}
