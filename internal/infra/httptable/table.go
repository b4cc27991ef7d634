package httptable

import (
	"context"
	"encoding/json"
	"fmt"
	"net/http"
	"net/url"
	"strconv"
	"strings"
	"time"

	"gentiantide.example/gentiantide/internal/httpsend"
	"gentiantide.example/gentiantide/internal/infra"
	"gentiantide.example/gentiantide/internal/infra/httpoutcome"
)

const (
	// DefaultTimeout is the timeout of one call. It is well below the lease
	// safety margin of 10 s, so that a slow lease renewal can be retried.
	DefaultTimeout = 2 * time.Second
	// maxResponseBytes limits the memory that one response can take.
	maxResponseBytes = 64 << 20
)

// Table is an HTTP client that implements infra.Table.
type Table struct {
	client  *httpsend.Client
	base    string // URL without a trailing slash
	timeout time.Duration
}

var _ infra.Table = (*Table)(nil)

// New returns a client whose calls time out after timeout (0: DefaultTimeout).
func New(baseURL string, timeout time.Duration) *Table {
	if timeout <= 0 {
		timeout = DefaultTimeout
	}
	return &Table{client: httpsend.New(), base: strings.TrimRight(baseURL, "/"), timeout: timeout}
}

// Close closes the idle connections.
func (t *Table) Close() { t.client.Close() }

// Get implements infra.Table.
func (t *Table) Get(ctx context.Context, key string) (infra.Row, error) {
	var row Row
	if err := t.read(ctx, "/v1/row?"+url.Values{"key": {key}}.Encode(), &row); err != nil {
		return infra.Row{}, fmt.Errorf("table get %q: %w", key, err)
	}
	if row.Key != key || row.Version == 0 {
		return infra.Row{}, fmt.Errorf("table get %q: %w: response holds another row", key, infra.ErrUnavailable)
	}
	return infra.Row(row), nil
}

// Scan implements infra.Table.
func (t *Table) Scan(ctx context.Context, prefix, after string, limit int) ([]infra.Row, error) {
	query := url.Values{"prefix": {prefix}, "after": {after}, "limit": {strconv.Itoa(limit)}}
	var response Rows
	if err := t.read(ctx, "/v1/rows?"+query.Encode(), &response); err != nil {
		return nil, fmt.Errorf("table scan %q: %w", prefix, err)
	}
	if response.Rows == nil { // must not pass for an empty table
		return nil, fmt.Errorf("table scan %q: %w: response lacks rows", prefix, infra.ErrUnavailable)
	}
	rows := make([]infra.Row, len(response.Rows))
	for i, row := range response.Rows {
		if !strings.HasPrefix(row.Key, prefix) || row.Key <= after || row.Version == 0 {
			return nil, fmt.Errorf("table scan %q: %w: response holds other rows", prefix, infra.ErrUnavailable)
		}
		rows[i] = infra.Row(row)
	}
	return rows, nil
}

// read sends a GET request and decodes the JSON response into target.
func (t *Table) read(ctx context.Context, path string, target any) error {
	ctx, cancel := context.WithTimeout(ctx, t.timeout)
	defer cancel()
	reply, err := t.client.Fetch(ctx, httpsend.Request{Method: http.MethodGet, URL: t.base + path, Replayable: true}, maxResponseBytes)
	if err := httpoutcome.ReadError(reply, err); err != nil {
		return err
	}
	if err := json.Unmarshal(reply.Body, target); err != nil {
		return fmt.Errorf("%w: malformed response: %w", infra.ErrUnavailable, err)
	}
	return nil
}

// Commit implements infra.Table.
func (t *Table) Commit(ctx context.Context, txn infra.Txn) ([]uint64, error) {
	body, err := json.Marshal(encodeTransaction(txn))
	if err != nil {
		return nil, fmt.Errorf("table commit: %w", err)
	}
	ctx, cancel := context.WithTimeout(ctx, t.timeout)
	defer cancel()
	reply, err := t.client.Fetch(ctx, httpsend.Request{Method: http.MethodPost, URL: t.base + "/v1/transactions", Body: body}, maxResponseBytes)
	if err := httpoutcome.WriteError(reply, err); err != nil {
		return nil, fmt.Errorf("table commit: %w", err)
	}
	var response Versions
	if err := json.Unmarshal(reply.Body, &response); err != nil || len(response.Versions) != len(txn.Writes) {
		return nil, fmt.Errorf("table commit: %w: response does not have one version per write", infra.ErrOutcomeUnknown)
	}
	return response.Versions, nil
}

func encodeTransaction(txn infra.Txn) Transaction {
	out := Transaction{
		Conditions: make([]Condition, len(txn.Conditions)),
		Writes:     make([]Write, len(txn.Writes)),
	}
	for i, c := range txn.Conditions {
		out.Conditions[i] = Condition(c)
	}
	for i, w := range txn.Writes {
		out.Writes[i] = Write(w)
	}
	return out
}
