package streamversion

import (
	"context"
	"time"

	"github.com/pkg/errors"
	"github.com/vmihailenco/msgpack/v5"

	"gentiantide.example/gentiantide/internal/core"
	"gentiantide.example/gentiantide/internal/infra"
)

const (
	// lookupTimeout bounds the time in which the version of a stream must be found. The
	// caller waits for its first event meanwhile.
	lookupTimeout = 800 * time.Millisecond
	// lookupRetryDelay is the delay after a call that failed.
	lookupRetryDelay = 50 * time.Millisecond
)

var (
	errNoVersions = errors.New("versions of the service are not known")
	errNoStream   = errors.New("request does not name the attempt that began the stream")
)

// Resolve returns the origin of a stream of a service, for a caller that takes it up.
// request is the ID of the attempt that brought its first event, or empty
// if the caller does not name it. An error means that the version cannot be found now;
// the stream must then not go on.
func (s *Service) Resolve(ctx context.Context, service core.DeploymentID, request string) (Origin, error) {
	ctx, cancel := context.WithTimeout(ctx, lookupTimeout)
	defer cancel()
	for {
		origin, err := s.resolve(ctx, service, request)
		if err == nil {
			s.counters.resolved(origin.Source)
			return origin, nil
		}
		if !errors.Is(err, infra.ErrUnavailable) || !time.Now().Add(lookupRetryDelay).Before(deadlineOf(ctx)) {
			s.counters.unresolved.Inc(1)
			return Origin{}, err
		}
		sleep(ctx, lookupRetryDelay)
	}
}

func deadlineOf(ctx context.Context) time.Time {
	deadline, _ := ctx.Deadline()
	return deadline
}

func (s *Service) resolve(ctx context.Context, service core.DeploymentID, request string) (Origin, error) {
	key := newStreamKey(service, request)
	if version, age, ok := s.memory.get(key, time.Now()); ok && request != "" {
		return Origin{Version: version, Source: SourceMemory, Age: age}, nil
	}
	if !s.fresh(time.Now()) {
		if err := s.readVersions(ctx, service); err != nil {
			return Origin{}, err
		}
	}
	versions, _ := s.table.get(service)
	switch {
	case versions == nil:
		return Origin{}, errNoVersions
	case len(versions.Others) == 0:
		return Origin{Version: versions.Base, Source: SourceOnly}, nil
	case request == "":
		return Origin{}, errNoStream
	}
	set, err := s.store.Range(ctx, singleRow(key.row()))
	if err != nil {
		return Origin{}, err
	}
	if len(set.Rows) == 0 {
		return Origin{Version: versions.Base, Source: SourceBase}, nil
	}
	var row streamRow
	if err := msgpack.Unmarshal(set.Rows[0].Value, &row); err != nil {
		return Origin{}, errors.Wrap(err, "decode the record of a stream")
	}
	return Origin{Version: row.Version, Source: SourceRecord, Age: set.Clock - row.Begun}, nil
}
