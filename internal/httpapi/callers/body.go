package callers

import (
	"errors"
	"io"
	"net/http"

	"gentiantide.example/gentiantide/internal/core"
)

const maxBodyBytes = 1 << 20

// readBody reads the body, up to maxBodyBytes. Package httpserver bounds the time
// that this takes.
func readBody(w http.ResponseWriter, r *http.Request) ([]byte, *core.Refusal) {
	body, err := io.ReadAll(http.MaxBytesReader(w, r.Body, maxBodyBytes))
	var tooLarge *http.MaxBytesError
	switch {
	case errors.As(err, &tooLarge):
		return nil, core.Refuse(core.CodeInvalidRequest, "the request body is larger than 1 MiB")
	case err != nil:
		return nil, core.Refuse(core.CodeInvalidRequest, "the request body could not be read: "+err.Error())
	}
	return body, nil
}
