package engine

import (
	"context"
	"fmt"
	"io"
	"net/http"
	"net/url"
	"strings"
)

// download reads the weights of a model from the weight store and discards them.
func download(ctx context.Context, base string, name modelName) error {
	query := url.Values{"model": {name.model}, "version": {name.version}}.Encode()
	req, err := http.NewRequestWithContext(ctx, http.MethodGet, strings.TrimRight(base, "/")+"/weights?"+query, nil)
	if err != nil {
		return err
	}
	resp, err := http.DefaultClient.Do(req)
	if err != nil {
		return err
	}
	defer resp.Body.Close()
	if resp.StatusCode != http.StatusOK {
		return fmt.Errorf("download weights of %v: status %d", name, resp.StatusCode)
	}
	_, err = io.Copy(io.Discard, resp.Body)
	return err
}
