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

// Plain is one replica of a plain service. It is safe for concurrent use.
type Plain struct {
	mux    *http.ServeMux
	config PlainConfig
	clock  Clock
	sleep  Sleep
	chance *chance
	slots  *slotQueue
	ledger *Ledger

	mu        sync.Mutex
	counts    PlainCounts
	leaving   time.Time
	downUntil time.Time
	work      context.Context // Ends at a crash.
	endWork   context.CancelFunc
	recent    []plainAnswer
}

// plainAnswer is an answer with the attempt it belongs to.
type plainAnswer struct {
	attempt string
	body    []byte
}

const maxRecentPlain = 32

// NewPlain returns a service that records its runs in the ledger.
func NewPlain(config PlainConfig, ledger *Ledger) *Plain {
	p := &Plain{
		mux:    http.NewServeMux(),
		config: config,
		clock:  config.Clock.orSystem(),
		sleep:  config.Sleep.orSystem(),
		chance: newChance(config.Seed),
		ledger: ledger,
	}
	p.slots = &slotQueue{free: config.Slots, changed: func(int, int) {}}
	p.work, p.endWork = context.WithCancel(context.Background())
	p.mux.HandleFunc("POST /v1/operations/{operation}", p.call)
	return p
}

// ServeHTTP implements http.Handler.
func (p *Plain) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	if _, up := p.current(); !up {
		p.refuse(w, http.StatusServiceUnavailable, codeRestarting)
		return
	}
	p.mux.ServeHTTP(w, r)
}

// Counts returns the counts so far.
func (p *Plain) Counts() PlainCounts {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.counts
}

// MarkLeaving makes runs that begin after the time count as work after leave.
// The zero time ends this.
func (p *Plain) MarkLeaving(at time.Time) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.leaving = at
}

// Crash drops the connection of each call.
func (p *Plain) Crash() {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.counts.Crashes++
	p.downUntil = p.clock().Add(p.config.Restart)
	p.endWork()
	p.work, p.endWork = context.WithCancel(context.Background())
}

func (p *Plain) call(w http.ResponseWriter, r *http.Request) {
	operation := r.PathValue("operation")
	body, err := io.ReadAll(http.MaxBytesReader(w, r.Body, maxPlainRequestBytes))
	if err != nil {
		p.refuse(w, http.StatusBadRequest, codeBadRequest)
		return
	}
	if !slices.Contains(p.config.Operations, operation) {
		p.refuse(w, http.StatusNotFound, codeUnknownOperation)
		return
	}
	work, up := p.current()
	if !up {
		p.refuse(w, http.StatusServiceUnavailable, codeRestarting)
		return
	}
	ctx, end := context.WithCancel(r.Context())
	defer end()
	stop := context.AfterFunc(work, end)
	defer stop()
	if p.slots.acquire(ctx, 0) != nil {
		abort()
	}
	defer p.slots.release()
	p.run(w, r, work, body)
}

// current returns the context that ends at the next crash.
func (p *Plain) current() (context.Context, bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.work, !p.clock().Before(p.downUntil)
}

func (p *Plain) refuse(w http.ResponseWriter, status int, code string) {
	p.count(func(c *PlainCounts) { c.Refused++ })
	w.Header().Set(endpoint.RunHeader, endpoint.RunNotRun)
	httpcall.WriteError(w, status, httpcall.ErrorDocument{Code: code, Detail: http.StatusText(status)})
}

// run takes effect at once and goes on when the caller has gone.
func (p *Plain) run(w http.ResponseWriter, r *http.Request, work context.Context, body []byte) {
	operation := r.PathValue("operation")
	if !p.begin(work, operation, r.Header.Get(endpoint.IdempotencyKeyHeader), body) {
		abort()
	}
	if bytes.Contains(body, []byte(CrashMarker)) {
		p.Crash()
	}
	if p.sleep(work, p.config.Service) != nil {
		p.count(func(c *PlainCounts) { c.CutByCrash++ })
		abort()
	}
	p.answer(w, work, r.Header.Get(endpoint.AttemptHeader), PlainBody(operation, body))
}

// begin records the run, unless the service crashed before it.
func (p *Plain) begin(work context.Context, operation, idempotencyKey string, body []byte) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	if work.Err() != nil {
		return false
	}
	p.ledger.record(operation, idempotencyKey, body)
	p.counts.Runs++
	if !p.leaving.IsZero() && p.clock().After(p.leaving) {
		p.counts.AfterLeave++
	}
	return true
}

func (p *Plain) answer(w http.ResponseWriter, work context.Context, attempt string, body []byte) {
	if p.chance.hit(p.config.LostRatio) {
		p.count(func(c *PlainCounts) { c.Lost++ })
		abort()
	}
	if p.chance.hit(p.config.LateRatio) {
		p.count(func(c *PlainCounts) { c.Late++ })
		_ = p.sleep(work, p.config.Late)
	}
	answered := p.cross(plainAnswer{attempt: attempt, body: body})
	w.Header().Set(endpoint.AttemptHeader, answered.attempt)
	w.Header().Set("Content-Type", "application/json")
	_, _ = w.Write(answered.body)
}

// cross returns the answer, or now and then that of an earlier call.
func (p *Plain) cross(answer plainAnswer) plainAnswer {
	p.mu.Lock()
	defer p.mu.Unlock()
	given := answer
	if len(p.recent) > 0 && p.chance.hit(p.config.ForeignRatio) {
		given = p.recent[p.chance.intN(len(p.recent))]
		p.counts.Foreign++
	}
	p.recent = append(p.recent, answer)
	if len(p.recent) > maxRecentPlain {
		p.recent = p.recent[1:]
	}
	return given
}

func (p *Plain) count(change func(*PlainCounts)) {
	p.mu.Lock()
	defer p.mu.Unlock()
	change(&p.counts)
}
