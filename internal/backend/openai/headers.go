package openai

const (
	headerRequestID = "X-Request-Id"
	headerNotRun    = "X-Not-Run"
	headerEngineRun = "X-Engine-Run"
)
