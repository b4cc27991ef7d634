package callers

import (
	"errors"
	"io"
	"net/http"
	"time"

	"gentiantide.example/gentiantide/internal/core"
)

const (
	maxBodyBytes = 1 << 20
	// bodyTimeout bounds the time that a caller takes to send its body.
	bodyTimeout = 30 * time.Second
)

func readBody(w http.ResponseWriter, r *http.Request) ([]byte, *core.Refusal) {
	control := http.NewResponseController(w)
	_ = control.SetReadDeadline(time.Now().Add(bodyTimeout))
	body, err := io.ReadAll(http.MaxBytesReader(w, r.Body, maxBodyBytes))
	_ = control.SetReadDeadline(time.Time{})
	var tooLarge *http.MaxBytesError
	switch {
	case errors.As(err, &tooLarge):
		return nil, core.Refuse(core.CodeInvalidRequest, "the request body is larger than 1 MiB")
	case err != nil:
		return nil, core.Refuse(core.CodeInvalidRequest, "the request body could not be read: "+err.Error())
	}
	return body, nil
}
