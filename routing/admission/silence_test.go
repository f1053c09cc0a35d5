package admission

import (
	"testing"

	"gotest.tools/v3/assert"
)

// Guards against requests that are sent to an endpoint whose instance stands still, and against an
// endpoint that is left out because its agent alone has died.
func TestEndpointThatIsSilentWithItsAgentGetsNoRequests(t *testing.T) {
	for name, test := range map[string]struct {
		reportedAt, progressAt int // In milliseconds; no progress if 0.
		starts                 bool
	}{
		"both are silent":           {reportedAt: 0, starts: false},
		"silent after its progress": {reportedAt: 0, progressAt: 80, starts: false},
		"only the agent is silent":  {reportedAt: 0, progressAt: 580, starts: true},
		"only the engine is silent": {reportedAt: 580, progressAt: 80, starts: true},
	} {
		t.Run(name, func(t *testing.T) {
			p := enginePool(1, "a")
			running := newRequest(at(1), 0)
			assert.Equal(t, p.Submit(at(1), running).Verdict, Start)
			if test.progressAt > 0 {
				p.RecordProgress(at(test.progressAt), "a", running.ID)
			}
			p.Report("a", Report{ReceivedAt: at(test.reportedAt), LoadedVersion: 1, Running: 1})
			_, started := p.TryStart(at(600), newRequest(at(600), 0))
			assert.Equal(t, started, test.starts)
		})
	}
}
