package weights

import "time"

// UploadLimits bounds what an instance sends. Zero fields take defaults.
type UploadLimits struct {
	// Running is the number of uploads at once; urgent requests may use
	// twice as many.
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
	last   []time.Time
	served int
	// settled is served as of the last pause of Window.
	settled  int
	lastSent time.Time
	running  int
}

// NewUploads returns the state for a set of n chunks.
func NewUploads(limits UploadLimits, n int) *Uploads {
	limits.setDefaults()
	return &Uploads{limits: limits, copies: make([]uint8, n), last: make([]time.Time, n)}
}

// Admit decides on a request for chunk i by an instance that holds held
// chunks. UploadServe counts as a running upload until Done.
func (u *Uploads) Admit(now time.Time, i, held int, urgent bool) UploadVerdict {
	limit := u.limits.Running
	if urgent {
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
	if !urgent && u.spread(i, held) {
		return UploadSpread
	}
	u.copies[i] = min(u.copies[i], 254) + 1
	u.last[i] = now
	u.lastSent = now
	u.served++
	u.running++
	return UploadServe
}

func (u *Uploads) spread(i, held int) bool {
	if int(u.copies[i]) >= u.limits.PerChunk {
		return true
	}
	return u.served-u.settled >= held+u.limits.Lead
}

// Done records that n running uploads ended.
func (u *Uploads) Done(n int) {
	u.running -= n
}

// Served returns the number of chunks sent so far.
func (u *Uploads) Served() int {
	return u.served
}
