package operators

import (
	"crypto/sha256"
	"crypto/subtle"
	"net/http"

	"gentiantide.example/gentiantide/internal/core"
	"gentiantide.example/gentiantide/internal/httpapi"
)

// authorised serves requests that present one of the tokens and answers 401 to
// others. Without tokens it serves all requests; internal/config has checked
// that the listener may be open.
func (s *Server) authorised(next http.Handler) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if len(s.TokenDigests) > 0 && !s.knownToken(r) {
			w.Header().Set("WWW-Authenticate", "Bearer")
			httpapi.WriteRefusal(w, core.Refuse(core.CodeUnauthorized, "an operator's token is required: Authorization: Bearer <token>"))
			return
		}
		next.ServeHTTP(w, r)
	})
}

// knownToken compares digests in constant time and always with all of them, so
// that the time of an answer tells nothing about a token.
func (s *Server) knownToken(r *http.Request) bool {
	token, ok := httpapi.Bearer(r)
	if !ok {
		return false
	}
	digest := sha256.Sum256([]byte(token))
	known := 0
	for _, accepted := range s.TokenDigests {
		known |= subtle.ConstantTimeCompare(digest[:], accepted[:])
	}
	return known == 1
}
