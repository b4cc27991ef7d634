package operators

import (
	"crypto/sha256"
	"crypto/subtle"
	"net/http"

	"gentiantide.example/gentiantide/internal/core"
	"gentiantide.example/gentiantide/internal/httpapi"
)

// requireToken passes requests with one of the tokens to next and responds to
// others with status 401. If no tokens are configured, it passes all requests;
// internal/config has checked that the listener may be unauthenticated.
func (s *Server) requireToken(next http.Handler) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if len(s.TokenDigests) > 0 && !s.validToken(r) {
			w.Header().Set("WWW-Authenticate", "Bearer")
			httpapi.WriteRefusal(w, core.Refuse(core.CodeUnauthorized, "missing or invalid operator's token; expected the header Authorization: Bearer <token>"))
			return
		}
		next.ServeHTTP(w, r)
	})
}

// validToken reports whether the request carries one of the tokens. It compares
// digests in constant time and always with all of them, so that the response time
// reveals nothing about a token.
func (s *Server) validToken(r *http.Request) bool {
	token, ok := httpapi.BearerToken(r)
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
