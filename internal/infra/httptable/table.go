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
	// DefaultTimeout bounds one call. It is well below the lease safety margin
	// of 10 s, so that a slow renewal can be repeated.
	DefaultTimeout = 2 * time.Second
	// maxAnswer bounds the memory that one answer can take.
	maxAnswer = 64 << 20
)

// Table is a infra.Table behind HTTP.
type Table struct {
	client  *httpsend.Client
	base    string
	timeout time.Duration
}

var _ infra.Table = (*Table)(nil)

// New returns a table whose calls end after timeout (0: DefaultTimeout).
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
	return infra.Row(row), nil
}

// Scan implements infra.Table.
func (t *Table) Scan(ctx context.Context, prefix, after string, limit int) ([]infra.Row, error) {
	query := url.Values{"prefix": {prefix}, "after": {after}, "limit": {strconv.Itoa(limit)}}
	var answer Rows
	if err := t.read(ctx, "/v1/rows?"+query.Encode(), &answer); err != nil {
		return nil, fmt.Errorf("table scan %q: %w", prefix, err)
	}
	rows := make([]infra.Row, len(answer.Rows))
	for i, row := range answer.Rows {
		rows[i] = infra.Row(row)
	}
	return rows, nil
}

func (t *Table) read(ctx context.Context, path string, into any) error {
	ctx, cancel := context.WithTimeout(ctx, t.timeout)
	defer cancel()
	reply, err := t.client.Fetch(ctx, httpsend.Request{Method: http.MethodGet, URL: t.base + path, Replayable: true}, maxAnswer)
	if err := httpoutcome.ReadError(reply, err); err != nil {
		return err
	}
	if err := json.Unmarshal(reply.Body, into); err != nil {
		return fmt.Errorf("%w: malformed answer: %w", infra.ErrUnavailable, err)
	}
	return nil
}

// Commit implements infra.Table.
func (t *Table) Commit(ctx context.Context, txn infra.Txn) ([]uint64, error) {
	body, err := json.Marshal(wireTransaction(txn))
	if err != nil {
		return nil, fmt.Errorf("table commit: %w", err)
	}
	ctx, cancel := context.WithTimeout(ctx, t.timeout)
	defer cancel()
	reply, err := t.client.Fetch(ctx, httpsend.Request{Method: http.MethodPost, URL: t.base + "/v1/transactions", Body: body}, maxAnswer)
	if err := httpoutcome.WriteError(reply, err); err != nil {
		return nil, fmt.Errorf("table commit: %w", err)
	}
	var answer Versions
	if err := json.Unmarshal(reply.Body, &answer); err != nil || len(answer.Versions) != len(txn.Writes) {
		return nil, fmt.Errorf("table commit: %w: malformed answer", infra.ErrOutcomeUnknown)
	}
	return answer.Versions, nil
}

func wireTransaction(txn infra.Txn) Transaction {
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
