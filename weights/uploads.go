package weights

import "time"

// urgentPart is the part of a set, as a divisor, that urgent requests may get
// beyond UploadLimits.Lead.
const urgentPart = 8

// UploadLimits bounds what an instance sends. Zero fields take defaults.
type UploadLimits struct {
	// Running is the number of uploads at once; urgent requests and
	// those of other regions may use twice as many.
	Running int
	// PerChunk is the number of copies of a chunk sent within Window.
	PerChunk int
	// Window is how long sent copies of a chunk count.
	Window time.Duration
	// Lead is how many chunks more than it holds an instance may have sent
	// without a pause of Window.
	Lead int
}

func (l *UploadLimits) setDefaults() {
	setDefault(&l.Running, 8)
	setDefault(&l.PerChunk, 2)
	setDefault(&l.Window, 2*time.Second)
	setDefault(&l.Lead, 2)
}

// Uploads decides which requests for the chunks of one set are served, so
// that an instance sends about as much as it receives. It is not safe for
// concurrent use.
type Uploads struct {
	limits UploadLimits
	copies []uint8
	first  []bool
	last   []time.Time
	served int
	// firsts counts first, region the copies sent to other regions. Room is
	// kept for the difference.
	firsts, region int
	// settled is served as of the last pause of Window.
	settled  int
	lastSent time.Time
	running  int
}

// NewUploads returns the state for a set of n chunks.
func NewUploads(limits UploadLimits, n int) *Uploads {
	limits.setDefaults()
	return &Uploads{limits: limits, copies: make([]uint8, n), first: make([]bool, n), last: make([]time.Time, n)}
}

// Admit decides on a request for chunk i by an instance that holds held
// chunks. UploadServe counts as a running upload until Done.
func (u *Uploads) Admit(now time.Time, i, held int, priority UploadPriority) UploadVerdict {
	limit := u.limits.Running
	if priority != UploadNormal {
		limit *= 2
	}
	if u.running >= limit {
		return UploadBusy
	}
	if now.Sub(u.last[i]) > u.limits.Window {
		u.copies[i] = 0
	}
	if now.Sub(u.lastSent) > u.limits.Window {
		u.settled = u.served
	}
	if u.spread(i, held, priority) {
		return UploadSpread
	}
	u.copies[i] = min(u.copies[i], 254) + 1
	u.last[i] = now
	if priority == UploadRegion {
		u.region++
	}
	u.lastSent = now
	u.served++
	u.running++
	return UploadServe
}

// First records that the instance brought chunk i into its region, so that
// perhaps no neighbour holds it.
func (u *Uploads) First(i int) {
	if !u.first[i] {
		u.first[i] = true
		u.firsts++
	}
}

// spread reports whether another holder should serve the request. The first
// copy of a chunk that others may lack is always sent.
func (u *Uploads) spread(i, held int, priority UploadPriority) bool {
	if priority == UploadRegion || (u.copies[i] == 0 && (u.first[i] || priority == UploadUrgent)) {
		return false
	}
	limit := held + u.limits.Lead - max(0, u.firsts-u.region)
	if priority == UploadUrgent {
		return u.served-u.settled >= limit+len(u.copies)/urgentPart
	}
	return int(u.copies[i]) >= u.limits.PerChunk || u.served-u.settled >= limit
}

// Done records that n running uploads ended.
func (u *Uploads) Done(n int) {
	u.running -= n
}

// Served returns the number of chunks sent so far.
func (u *Uploads) Served() int {
	return u.served
}
