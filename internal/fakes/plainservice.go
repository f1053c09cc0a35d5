package fakes

import (
	"bytes"
	"context"
	"io"
	"net/http"
	"slices"
	"sync"
	"time"

	"github.com/snipestep/snipestep/endpoint"
	"github.com/snipestep/snipestep/internal/httpcall"
)

const (
	maxPlainRequestBytes = 8 << 20
	codeUnknownOperation = "unknown_operation"
)

// PlainService is a fake of one replica of a plain service. It is safe for
// concurrent use.
type PlainService struct {
	mux    *http.ServeMux
	config PlainServiceConfig
	clock  Clock
	sleep  Sleep
	rand   *seededRand
	slots  *slotQueue
	runs   *RunCounter

	mu              sync.Mutex
	counts          PlainServiceCounts
	leaveTime       time.Time
	downUntil       time.Time
	processCtx      context.Context // Ends at a crash.
	endProcess      context.CancelFunc
	recentResponses []plainResponse
}

// plainResponse is a response with the attempt that it belongs to.
type plainResponse struct {
	attempt string
	body    []byte
}

const maxRecentResponses = 32

// NewPlainService returns a service that counts its runs in runs.
func NewPlainService(config PlainServiceConfig, runs *RunCounter) *PlainService {
	p := &PlainService{
		mux:    http.NewServeMux(),
		config: config,
		clock:  config.Clock.orSystem(),
		sleep:  config.Sleep.orSystem(),
		rand:   newSeededRand(config.Seed),
		runs:   runs,
	}
	p.slots = &slotQueue{free: config.Slots, onChange: func(int, int) {}}
	p.processCtx, p.endProcess = context.WithCancel(context.Background())
	p.mux.HandleFunc("POST /v1/operations/{operation}", p.call)
	return p
}

// ServeHTTP implements http.Handler.
func (p *PlainService) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	repeatAttempt(w, r)
	if _, available := p.currentProcess(); !available {
		p.reject(w, http.StatusServiceUnavailable, codeRestarting)
		return
	}
	p.mux.ServeHTTP(w, r)
}

// Counts returns the counts so far.
func (p *PlainService) Counts() PlainServiceCounts {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.counts
}

// MarkLeaving makes runs that start after the given time count as work after
// leave. The zero time ends this.
func (p *PlainService) MarkLeaving(at time.Time) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.leaveTime = at
}

// Crash ends all calls and drops their connections.
func (p *PlainService) Crash() {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.counts.Crashes++
	p.downUntil = p.clock().Add(p.config.RestartDuration)
	p.endProcess()
	p.processCtx, p.endProcess = context.WithCancel(context.Background())
}

func (p *PlainService) call(w http.ResponseWriter, r *http.Request) {
	operation := r.PathValue("operation")
	body, err := io.ReadAll(http.MaxBytesReader(w, r.Body, maxPlainRequestBytes))
	if err != nil {
		p.reject(w, http.StatusBadRequest, codeBadRequest)
		return
	}
	if !slices.Contains(p.config.Operations, operation) {
		p.reject(w, http.StatusNotFound, codeUnknownOperation)
		return
	}
	processCtx, available := p.currentProcess()
	if !available {
		p.reject(w, http.StatusServiceUnavailable, codeRestarting)
		return
	}
	ctx, cancel := context.WithCancel(r.Context())
	defer cancel()
	stop := context.AfterFunc(processCtx, cancel)
	defer stop()
	if p.slots.acquire(ctx, 0) != nil {
		abortConnection()
	}
	defer p.slots.release()
	p.run(w, r, processCtx, body)
}

// currentProcess returns the context that ends at the next crash and whether the
// service is up.
func (p *PlainService) currentProcess() (context.Context, bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.processCtx, !p.clock().Before(p.downUntil)
}

func (p *PlainService) reject(w http.ResponseWriter, status int, code string) {
	p.updateCounts(func(c *PlainServiceCounts) { c.Refused++ })
	w.Header().Set(endpoint.RunHeader, endpoint.RunNotRun)
	httpcall.WriteError(w, status, httpcall.ErrorDocument{Code: code, Detail: http.StatusText(status)})
}

// run takes effect at once and continues if the caller disconnects.
func (p *PlainService) run(w http.ResponseWriter, r *http.Request, processCtx context.Context, body []byte) {
	operation := r.PathValue("operation")
	if !p.recordRun(processCtx, operation, r.Header.Get(endpoint.IdempotencyKeyHeader), body) {
		abortConnection()
	}
	if bytes.Contains(body, []byte(CrashMarker)) {
		p.Crash()
	}
	if p.sleep(processCtx, p.config.ServiceTime) != nil {
		p.updateCounts(func(c *PlainServiceCounts) { c.EndedByCrash++ })
		abortConnection()
	}
	p.respond(w, processCtx, r.Header.Get(endpoint.AttemptHeader), PlainResponseBody(operation, body))
}

// recordRun records the run, unless the service crashed before it.
func (p *PlainService) recordRun(processCtx context.Context, operation, idempotencyKey string, body []byte) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	if processCtx.Err() != nil {
		return false
	}
	p.runs.recordRun(operation, idempotencyKey, body)
	p.counts.Runs++
	if !p.leaveTime.IsZero() && p.clock().After(p.leaveTime) {
		p.counts.RunsAfterLeave++
	}
	return true
}

func (p *PlainService) respond(w http.ResponseWriter, processCtx context.Context, attempt string, body []byte) {
	if p.rand.chance(p.config.DroppedResponseRatio) {
		p.updateCounts(func(c *PlainServiceCounts) { c.DroppedResponses++ })
		abortConnection()
	}
	if p.rand.chance(p.config.DelayedResponseRatio) {
		p.updateCounts(func(c *PlainServiceCounts) { c.DelayedResponses++ })
		_ = p.sleep(processCtx, p.config.ResponseDelay)
	}
	response := p.maybeMismatch(plainResponse{attempt: attempt, body: body})
	w.Header().Set(endpoint.AttemptHeader, response.attempt)
	w.Header().Set("Content-Type", "application/json")
	_, _ = w.Write(response.body)
}

// maybeMismatch returns the response, or that of an earlier call at the configured
// ratio.
func (p *PlainService) maybeMismatch(response plainResponse) plainResponse {
	p.mu.Lock()
	defer p.mu.Unlock()
	returned := response
	if len(p.recentResponses) > 0 && p.rand.chance(p.config.AttemptMismatchRatio) {
		returned = p.recentResponses[p.rand.intN(len(p.recentResponses))]
		p.counts.AttemptMismatches++
	}
	p.recentResponses = append(p.recentResponses, response)
	if len(p.recentResponses) > maxRecentResponses {
		p.recentResponses = p.recentResponses[1:]
	}
	return returned
}

func (p *PlainService) updateCounts(update func(*PlainServiceCounts)) {
	p.mu.Lock()
	defer p.mu.Unlock()
	update(&p.counts)
}
