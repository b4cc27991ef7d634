package httpapi

import (
	"crypto/sha256"
	"encoding/hex"
	"net/http"
	"strings"

	"gentiantide.example/gentiantide/internal/core"
	"gentiantide.example/gentiantide/internal/settings"
)

// OrganisationHeader names the caller while authentication is not required.
const OrganisationHeader = "OpenAI-Organization"

// DefaultOrg is the organisation of callers that name none.
const DefaultOrg core.Org = "default"

// maxOrgLength bounds the name in OrganisationHeader, which becomes part of
// row keys.
const maxOrgLength = 128

// Authenticate returns the caller's organisation: that of its API key, or,
// while authentication is not required, the one that it names.
func Authenticate(r *http.Request, snapshot *settings.Snapshot) (core.Org, *core.Refusal) {
	if key, ok := Bearer(r); ok {
		digest := sha256.Sum256([]byte(key))
		if org, ok := snapshot.OrgByKey(hex.EncodeToString(digest[:])); ok {
			return org, nil
		}
	}
	if snapshot.AuthRequired() {
		return "", core.Refuse(core.CodeUnauthorized, "a valid API key is required: Authorization: Bearer <key>")
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

// Bearer returns the token of the header Authorization: Bearer <token>.
func Bearer(r *http.Request) (string, bool) {
	scheme, key, ok := strings.Cut(r.Header.Get("Authorization"), " ")
	return strings.TrimSpace(key), ok && strings.EqualFold(scheme, "Bearer")
}
