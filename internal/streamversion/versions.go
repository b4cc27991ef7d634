package streamversion

import (
	"slices"
	"time"

	"gentiantide.example/gentiantide/internal/core"
)

// settleTime is the time after a change of the base version in which streams that begin
// at the new one are still recorded. It is longer than the age up to which nodes rely on
// their copies, so that no node takes an unrecorded stream for one of the former base
// version.
const settleTime = 10 * time.Second

// Versions is the row of one service.
type Versions struct {
	// Base is the version at which streams without a row began.
	Base core.SoftwareVersion `msgpack:"base"`
	// BaseSince is the time of the store's clock at which Base replaced another
	// version, or 0.
	BaseSince time.Duration `msgpack:"base_since,omitempty"`
	// Others are the other versions at which streams may have begun. A version is listed
	// before the first event of a stream that began at it reaches a caller.
	Others []core.SoftwareVersion `msgpack:"others,omitempty"`
}

// lists reports whether streams of the version can be told from others.
func (v *Versions) lists(version core.SoftwareVersion) bool {
	return v.Base == version || slices.Contains(v.Others, version)
}

// unrecorded reports whether a stream that begins at the version needs no row. clock is
// the time of the store's clock, if it is known.
func (v *Versions) unrecorded(version core.SoftwareVersion, clock time.Duration, known bool) bool {
	return v.Base == version && (v.BaseSince == 0 || known && clock >= v.BaseSince+settleTime)
}

// with returns the versions with another one.
func (v *Versions) with(version core.SoftwareVersion) *Versions {
	out := *v
	out.Others = append(slices.Clone(v.Others), version)
	slices.Sort(out.Others)
	return &out
}

// without returns the versions without one of the others.
func (v *Versions) without(version core.SoftwareVersion) *Versions {
	out := *v
	out.Others = slices.DeleteFunc(slices.Clone(v.Others), func(o core.SoftwareVersion) bool { return o == version })
	return &out
}

// moved returns the versions with another base version. The former one is no longer
// listed.
func (v *Versions) moved(base core.SoftwareVersion, clock time.Duration) *Versions {
	out := v.without(base)
	out.Base, out.BaseSince = base, clock
	return out
}
