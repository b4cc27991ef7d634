package openai

const (
	headerRequestID = "X-Request-Id"
	headerNotRun    = "X-Not-Run"
	headerRun       = "X-Engine-Run"
)
