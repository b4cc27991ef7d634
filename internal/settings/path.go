package settings

import (
	"regexp"
	"strings"

	"github.com/pkg/errors"
)

// The paths of the fixed nodes, which always exist and cannot be deleted.
const (
	RootPath          = "/"
	ServicesPath      = "/services"
	OrganisationsPath = "/organisations"
	FleetPath         = "/fleet"
)

const (
	maxPathDepth   = 8
	maxSegmentSize = 128
)

var segmentPattern = regexp.MustCompile(`^[A-Za-z0-9][A-Za-z0-9._:-]*$`)

// NodeKind names the subtree that a node is in. It decides which keys the node
// may set.
type NodeKind string

// The kinds of nodes.
const (
	NodeRoot         NodeKind = "root"
	NodeService      NodeKind = "services"
	NodeOrganisation NodeKind = "organisations"
	NodeFleet        NodeKind = "fleet"
)

// PathKind validates a path and returns the kind of its node.
func PathKind(path string) (NodeKind, error) {
	if path == RootPath {
		return NodeRoot, nil
	}
	if !strings.HasPrefix(path, "/") {
		return "", errors.Errorf("path %q does not begin with /", path)
	}
	segments := strings.Split(path[1:], "/")
	for _, s := range segments {
		if len(s) > maxSegmentSize || !segmentPattern.MatchString(s) {
			return "", errors.Errorf("path %q has the invalid segment %q (at most %d letters, digits, '.', '_', ':' and '-', beginning with a letter or digit)", path, s, maxSegmentSize)
		}
	}
	return kindOf(path, segments)
}

// kindOf returns the kind of a path's node from its first segment and checks
// the depth of the path.
func kindOf(path string, segments []string) (NodeKind, error) {
	kind, depth := NodeKind(segments[0]), maxPathDepth
	switch kind {
	case NodeService:
	case NodeOrganisation, NodeFleet:
		depth = 2
	default:
		return "", errors.Errorf("path %q is outside the tree: expected /, /services/..., /organisations/<organisation> or /fleet/<backend server>", path)
	}
	if len(segments) > depth {
		return "", errors.Errorf("path %q is too deep: at most %d segments", path, depth)
	}
	return kind, nil
}

// isFixed reports whether the node at path always exists.
func isFixed(path string) bool {
	return path == RootPath || path == ServicesPath || path == OrganisationsPath || path == FleetPath
}

// parentOf returns the path of the parent; the root is its own parent.
func parentOf(path string) string {
	i := strings.LastIndexByte(path, '/')
	if i <= 0 {
		return RootPath
	}
	return path[:i]
}

// pathAndAncestors returns the path followed by its ancestors up to the root.
func pathAndAncestors(path string) []string {
	out := []string{path}
	for path != RootPath {
		path = parentOf(path)
		out = append(out, path)
	}
	return out
}
