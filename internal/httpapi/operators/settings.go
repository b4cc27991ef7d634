package operators

import (
	"net"
	"net/http"
	"net/url"
	"slices"
	"strconv"

	"github.com/pkg/errors"

	"gentiantide.example/gentiantide/internal/httpapi/httpserver"
	"gentiantide.example/gentiantide/internal/settings"
)

const (
	maxBodyBytes = 1 << 20
	// bodyName is the file name in the problems of a request body.
	bodyName            = "body"
	defaultHistoryLimit = 20
	maxHistoryLimit     = 1000
)

func (s *Server) getSettings(w http.ResponseWriter, r *http.Request) {
	query, err := parseQuery(r, "path", "explain")
	if err != nil {
		writeProblems(w, err)
		return
	}
	path := query.Get("path")
	if path == "" {
		path = settings.RootPath
	}
	explain, err := boolParameter(query, "explain")
	if err != nil {
		writeProblems(w, err)
		return
	}
	out, refusal := s.Editor.Explain(r.Context(), path)
	if refusal != nil {
		writeRefusal(w, refusal)
		return
	}
	if !explain {
		out.Effective = nil
	}
	writeJSON(w, http.StatusOK, out)
}

func (s *Server) changeSettings(w http.ResponseWriter, r *http.Request) {
	data, ok := readBody(w, r)
	if !ok {
		return
	}
	request, err := settings.ParseChange(bodyName, data)
	if err != nil {
		writeProblems(w, err)
		return
	}
	request.Author = authorOrAddress(request.Author, r)
	apply := s.Editor.Apply
	if request.DryRun {
		apply = s.Editor.DryRun
	}
	result, refusal := apply(r.Context(), request.Change)
	if refusal != nil {
		writeRefusal(w, refusal)
		return
	}
	if result.Effects == nil {
		result.Effects = []settings.Effect{}
	}
	writeJSON(w, http.StatusOK, result)
}

func (s *Server) history(w http.ResponseWriter, r *http.Request) {
	query, err := parseQuery(r, "path", "limit")
	if err != nil {
		writeProblems(w, err)
		return
	}
	limit := defaultHistoryLimit
	if text := query.Get("limit"); text != "" {
		limit, err = strconv.Atoi(text)
		if err != nil || limit < 1 || limit > maxHistoryLimit {
			writeProblems(w, errors.Errorf("query parameter limit=%q is invalid; expected an integer from 1 to %d", text, maxHistoryLimit))
			return
		}
	}
	entries, refusal := s.Editor.History(r.Context(), query.Get("path"), limit)
	if refusal != nil {
		writeRefusal(w, refusal)
		return
	}
	if entries == nil {
		entries = []settings.Entry{}
	}
	writeJSON(w, http.StatusOK, map[string]any{"entries": entries})
}

// readBody reads the body, up to maxBodyBytes. If it returns false, it has written
// the error response.
func readBody(w http.ResponseWriter, r *http.Request) ([]byte, bool) {
	data, refusal := httpserver.ReadBody(w, r, maxBodyBytes)
	if refusal != nil {
		writeRefusal(w, refusal)
		return nil, false
	}
	return data, true
}

// parseQuery parses the query and refuses unknown parameters.
func parseQuery(r *http.Request, known ...string) (url.Values, error) {
	query, err := url.ParseQuery(r.URL.RawQuery)
	if err != nil {
		return nil, errors.Wrap(err, "query")
	}
	for name := range query {
		if !slices.Contains(known, name) {
			return nil, errors.Errorf("unknown query parameter %q; expected one of %v", name, known)
		}
	}
	return query, nil
}

func boolParameter(query url.Values, name string) (bool, error) {
	if !query.Has(name) {
		return false, nil
	}
	v, err := strconv.ParseBool(query.Get(name))
	if err != nil {
		return false, errors.Errorf("query parameter %s=%q is invalid; expected true or false", name, query.Get(name))
	}
	return v, nil
}

// authorOrAddress returns the given author or, if empty, the address of the client.
func authorOrAddress(given string, r *http.Request) string {
	if given != "" {
		return given
	}
	host, _, err := net.SplitHostPort(r.RemoteAddr)
	if err != nil {
		return r.RemoteAddr
	}
	return host
}
