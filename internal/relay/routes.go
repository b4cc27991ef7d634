package relay

import (
	"strings"

	"gentiantide.example/gentiantide/internal/settings"
)

// NonIdempotentRoute reports whether the deployment's settings mark calls with
// this method and path as non-idempotent. An entry whose path ends with "/" matches
// all paths below it; any other entry matches with or without a trailing slash.
func NonIdempotentRoute(deployment *settings.Deployment, method, path string) bool {
	path, _, _ = strings.Cut(path, "?")
	for _, entry := range deployment.NonIdempotentRoutes {
		entryMethod, entryPath, ok := strings.Cut(entry, " ")
		if !ok || entryMethod != method {
			continue
		}
		if path == entryPath || strings.TrimSuffix(path, "/") == entryPath ||
			strings.HasSuffix(entryPath, "/") && strings.HasPrefix(path, entryPath) {
			return true
		}
	}
	return false
}
