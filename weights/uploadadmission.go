package weights

import "time"

// urgentSurplusDivisor determines how many chunks beyond UploadLimits.MaxSurplus
// are sent on urgent requests: the number of chunks of the set divided by it.
const urgentSurplusDivisor = 8

// UploadLimits are the limits of uploads from an instance. Zero fields take
// defaults.
type UploadLimits struct {
	// Concurrency is the number of concurrent uploads; urgent requests and
	// those of other regions may use twice as many.
	Concurrency int
	// CopiesPerChunk is the number of copies of a chunk sent within Window.
	CopiesPerChunk int
	// Window is how long sent copies of a chunk count.
	Window time.Duration
	// MaxSurplus is how many more chunks than it holds an instance may send
	// without a pause of Window.
	MaxSurplus int
}

func (l *UploadLimits) setDefaults() {
	setDefault(&l.Concurrency, 8)
	setDefault(&l.CopiesPerChunk, 2)
	setDefault(&l.Window, 2*time.Second)
	setDefault(&l.MaxSurplus, 2)
}

// UploadAdmission decides which requests for the chunks of one set are served,
// so that an instance sends about as much as it receives. It is not safe for
// concurrent use.
type UploadAdmission struct {
	limits       UploadLimits
	recentCopies []uint8     // Copies of each chunk sent within Window.
	imported     []bool      // Chunks that the instance fetched into its region.
	lastCopyAt   []time.Time // When each chunk was last sent.
	served       int         // Chunks sent.
	// importCount is the number of imported chunks, regionCopies that of copies
	// sent to other regions. Capacity is reserved for the difference.
	importCount, regionCopies int
	// servedBeforePause is the value of served at the last pause of Window.
	servedBeforePause int
	lastSentAt        time.Time
	running           int // Uploads in progress.
}

// NewUploadAdmission returns the admission state for a set with the given
// number of chunks.
func NewUploadAdmission(limits UploadLimits, chunks int) *UploadAdmission {
	limits.setDefaults()
	return &UploadAdmission{limits: limits, recentCopies: make([]uint8, chunks), imported: make([]bool, chunks), lastCopyAt: make([]time.Time, chunks)}
}

// Admit decides on a request for chunk i while the instance holds heldChunks
// chunks. UploadServe counts as a running upload until Done.
func (u *UploadAdmission) Admit(now time.Time, i, heldChunks int, priority UploadPriority) UploadDecision {
	limit := u.limits.Concurrency
	if priority != UploadNormal {
		limit *= 2
	}
	if u.running >= limit {
		return UploadBusy
	}
	if now.Sub(u.lastCopyAt[i]) > u.limits.Window {
		u.recentCopies[i] = 0
	}
	if now.Sub(u.lastSentAt) > u.limits.Window {
		u.servedBeforePause = u.served
	}
	if u.shouldSpread(i, heldChunks, priority) {
		return UploadSpread
	}
	u.recentCopies[i] = min(u.recentCopies[i], 254) + 1
	u.lastCopyAt[i] = now
	if priority == UploadRegion {
		u.regionCopies++
	}
	u.lastSentAt = now
	u.served++
	u.running++
	return UploadServe
}

// MarkImported records that the instance fetched chunk i into its region, so that
// it may be the only holder there.
func (u *UploadAdmission) MarkImported(i int) {
	if !u.imported[i] {
		u.imported[i] = true
		u.importCount++
	}
}

// shouldSpread reports whether another holder should serve the request. The
// first copy of a chunk that others may lack is always sent.
func (u *UploadAdmission) shouldSpread(i, heldChunks int, priority UploadPriority) bool {
	if priority == UploadRegion || (u.recentCopies[i] == 0 && (u.imported[i] || priority == UploadUrgent)) {
		return false
	}
	limit := heldChunks + u.limits.MaxSurplus - max(0, u.importCount-u.regionCopies)
	if priority == UploadUrgent {
		return u.served-u.servedBeforePause >= limit+len(u.recentCopies)/urgentSurplusDivisor
	}
	return int(u.recentCopies[i]) >= u.limits.CopiesPerChunk || u.served-u.servedBeforePause >= limit
}

// Done records that n running uploads ended.
func (u *UploadAdmission) Done(n int) {
	u.running -= n
}

// Served returns the number of chunks sent so far.
func (u *UploadAdmission) Served() int {
	return u.served
}
