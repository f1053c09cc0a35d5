package weights

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

// TestPacer falls at once with calls, never to zero, and rises slowly.
func TestPacer(t *testing.T) {
	p := Pacer{FullRate: 1000, MinShare: 0.25, RiseTime: 2 * time.Second}
	assert.Equal(t, p.Rate(testStart, 0, 8), 1000.0)
	assert.Equal(t, p.Rate(testStart, 4, 8), 625.0)
	assert.Equal(t, p.Rate(testStart, 8, 8), 250.0)
	assert.Equal(t, p.Rate(testStart, 80, 8), 250.0)
	assert.Equal(t, p.Rate(testStart.Add(time.Second), 0, 8), 750.0)
	assert.Equal(t, p.Rate(testStart.Add(2*time.Second), 0, 8), 1000.0)
}

// TestUploadsSpread sends two copies of a chunk, more only when urgent, and
// not more than the instance holds.
func TestUploadsSpread(t *testing.T) {
	u := NewUploads(UploadLimits{Running: 3, Lead: 1}, 4)
	assert.Equal(t, u.Admit(testStart, 0, 3, UploadNormal), UploadServe)
	assert.Equal(t, u.Admit(testStart, 0, 3, UploadNormal), UploadServe)
	assert.Equal(t, u.Admit(testStart, 0, 3, UploadNormal), UploadSpread)
	assert.Equal(t, u.Admit(testStart, 1, 1, UploadNormal), UploadSpread)
	assert.Equal(t, u.Admit(testStart, 0, 3, UploadUrgent), UploadServe)
	assert.Equal(t, u.Admit(testStart, 1, 3, UploadNormal), UploadBusy)
	u.Done(3)
	assert.Equal(t, u.Admit(testStart.Add(time.Minute), 0, 1, UploadNormal), UploadServe)
	assert.Equal(t, u.Served(), 4)
}

// TestUploadsFirstCopy always sends the first copy of a chunk that only this
// instance may hold, and requests of other regions.
func TestUploadsFirstCopy(t *testing.T) {
	u := NewUploads(UploadLimits{Lead: 1}, 4)
	assert.Equal(t, u.Admit(testStart, 0, 0, UploadNormal), UploadServe)
	assert.Equal(t, u.Admit(testStart, 1, 0, UploadNormal), UploadSpread)
	u.First(2)
	assert.Equal(t, u.Admit(testStart, 2, 0, UploadNormal), UploadServe)
	assert.Equal(t, u.Admit(testStart, 2, 0, UploadNormal), UploadSpread)
	assert.Equal(t, u.Admit(testStart, 2, 0, UploadRegion), UploadServe)
	assert.Equal(t, u.Admit(testStart, 3, 0, UploadUrgent), UploadServe)
	assert.Equal(t, u.Admit(testStart, 3, 0, UploadUrgent), UploadSpread)
}
