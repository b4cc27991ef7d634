package httpapi

import (
	"crypto/sha256"
	"encoding/hex"
	"net/http"
	"strings"

	"gentiantide.example/gentiantide/internal/core"
	"gentiantide.example/gentiantide/internal/settings"
)

// OrganisationHeader is the request header that names the caller's organisation
// while authentication is not required.
const OrganisationHeader = "OpenAI-Organization"

// DefaultOrg is the organisation of unauthenticated callers that name none.
const DefaultOrg core.Org = "default"

// maxOrgLength bounds the name in OrganisationHeader because the name becomes
// part of row keys.
const maxOrgLength = 128

// Authenticate returns the caller's organisation: the one that its API key
// belongs to or, while authentication is not required, the one that
// OrganisationHeader names.
func Authenticate(r *http.Request, snapshot *settings.Snapshot) (core.Org, *core.Refusal) {
	if key, ok := BearerToken(r); ok {
		digest := sha256.Sum256([]byte(key))
		if org, ok := snapshot.OrgByKey(hex.EncodeToString(digest[:])); ok {
			return org, nil
		}
	}
	if snapshot.AuthRequired() {
		return "", core.Refuse(core.CodeUnauthorized, "missing or invalid API key; expected the header Authorization: Bearer <key>")
	}
	name := r.Header.Get(OrganisationHeader)
	switch {
	case name == "":
		return DefaultOrg, nil
	case len(name) > maxOrgLength:
		return "", core.Refuse(core.CodeInvalidRequest, OrganisationHeader+" is longer than 128 bytes")
	default:
		return core.Org(name), nil
	}
}

// BearerToken returns the token in the header Authorization: Bearer <token>.
func BearerToken(r *http.Request) (string, bool) {
	scheme, token, ok := strings.Cut(r.Header.Get("Authorization"), " ")
	return strings.TrimSpace(token), ok && strings.EqualFold(scheme, "Bearer")
}
