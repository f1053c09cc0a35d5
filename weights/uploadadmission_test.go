package weights

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

// TestUploadAdmissionSpreadsLoad checks that two copies of a chunk are sent,
// more only when urgent, and not more chunks than the instance holds.
func TestUploadAdmissionSpreadsLoad(t *testing.T) {
	u := NewUploadAdmission(UploadLimits{Concurrency: 3, MaxSurplus: 1}, 4)
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

// TestUploadAdmissionServesFirstCopy checks that the first copy of a chunk that
// only this instance may hold is always sent, and that requests of other
// regions are always served.
func TestUploadAdmissionServesFirstCopy(t *testing.T) {
	u := NewUploadAdmission(UploadLimits{MaxSurplus: 1}, 4)
	assert.Equal(t, u.Admit(testStart, 0, 0, UploadNormal), UploadServe)
	assert.Equal(t, u.Admit(testStart, 1, 0, UploadNormal), UploadSpread)
	u.MarkImported(2)
	assert.Equal(t, u.Admit(testStart, 2, 0, UploadNormal), UploadServe)
	assert.Equal(t, u.Admit(testStart, 2, 0, UploadNormal), UploadSpread)
	assert.Equal(t, u.Admit(testStart, 2, 0, UploadRegion), UploadServe)
	assert.Equal(t, u.Admit(testStart, 3, 0, UploadUrgent), UploadServe)
	assert.Equal(t, u.Admit(testStart, 3, 0, UploadUrgent), UploadSpread)
}
