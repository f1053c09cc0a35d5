package sidecar

import (
	"time"

	"github.com/snipestep/snipestep/directory"
)

const (
	// switchDuration is the usual time from a complete download until an idle engine
	// serves the version: 0.2 s to stage a few megabytes and 0.35 s to load them.
	switchDuration = 600 * time.Millisecond
	// minSupersededUse is the least time for which requests must still be able to start on
	// a superseded version once it is loaded: a second load costs the engine switchDuration,
	// and its chunks take their part of the origin.
	minSupersededUse = time.Second
)

// usableUntil returns when the entries stop to start requests on a version that a newer one
// has superseded.
func (r *Reconciler) usableUntil(declared directory.DeclaredVersion, version uint64) time.Time {
	bound := r.config.VersionBound - directory.VersionSafetyMargin
	return declared.FirstAfter(version).CountsFrom().Add(bound)
}

// isWorthLoading reports whether a version is of use if its download completes at a time:
// the declared version always is, a superseded one if it can serve for minSupersededUse.
func (r *Reconciler) isWorthLoading(declared directory.DeclaredVersion, version uint64, completeAt time.Time) bool {
	if version == declared.Version {
		return true
	}
	servesFrom := completeAt.Add(switchDuration)
	return !servesFrom.Add(minSupersededUse).After(r.usableUntil(declared, version))
}

// earliestCompletion returns when a download is complete if it goes on now at the mean rate
// so far. Without a rate that is now.
func (d *download) earliestCompletion(now time.Time) time.Time {
	received := d.haveChunks - d.firstHaveChunks
	if received <= 0 {
		return now
	}
	perChunk := d.progressedAt.Sub(d.beganAt) / time.Duration(received)
	return now.Add(perChunk * time.Duration(d.totalChunks-d.haveChunks))
}
