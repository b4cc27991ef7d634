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
	errNoVersions  = errors.New("versions of the service are not known")
	errVersionLost = errors.New("replica may have changed its version before the first event")
	errNoStream    = errors.New("request does not name the attempt that began the stream")
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
	key, now := newStreamKey(service, request), time.Now()
	if r, ok := s.memory.get(key, now); ok && request != "" {
		if r.unknown {
			return Origin{}, errVersionLost
		}
		return Origin{Version: r.version, Source: SourceMemory, Age: now.Sub(r.at)}, nil
	}
	// A recent copy that lists several versions is good enough: a change of the base
	// version is settled before streams rely on it. One that lists a single version may
	// lack another that streams began at a moment ago, which only the store can tell.
	versions, _ := s.table.get(service)
	if !s.fresh(now) || versions == nil || len(versions.Others) == 0 {
		if err := s.readCurrent(ctx, service); err != nil {
			return Origin{}, err
		}
		versions, _ = s.table.get(service)
	}
	switch {
	case versions == nil:
		return Origin{}, errNoVersions
	case len(versions.Others) == 0:
		return Origin{Version: versions.Base, Source: SourceOnly}, nil
	case request == "":
		return Origin{}, errNoStream
	}
	return s.lookUp(ctx, key, versions.Base)
}

// lookUp reads the row of a stream. Without one, the stream began at the base version.
func (s *Service) lookUp(ctx context.Context, key streamKey, base core.SoftwareVersion) (Origin, error) {
	set, err := s.store.Range(ctx, singleRow(key.row()))
	if err != nil {
		return Origin{}, err
	}
	if len(set.Rows) == 0 {
		return Origin{Version: base, Source: SourceBase}, nil
	}
	var row streamRow
	if err := msgpack.Unmarshal(set.Rows[0].Value, &row); err != nil {
		return Origin{}, errors.Wrap(err, "decode the record of a stream")
	}
	if row.Unknown {
		return Origin{}, errVersionLost
	}
	return Origin{Version: row.Version, Source: SourceRecord, Age: set.Clock - row.Begun}, nil
}
