package fakeserver

import (
	"context"
	"errors"
	"net"
	"net/http"
	"path/filepath"
	"strings"
	"time"

	"github.com/rotisserie/eris"

	"github.com/snipestep/snipestep/core"
	"github.com/snipestep/snipestep/internal/fakes"
)

const (
	headerTimeout    = 5 * time.Second
	listLag          = time.Second
	storeCallsPerSec = 200
	storeBurst       = 400
)

// Server serves the stand-ins on loopback until Close.
type Server struct {
	// Processes are the entries and agents that the settings are for.
	Processes []Process

	config   Config
	keyValue *fakes.KeyValue
	list     *fakes.InstanceList
	origin   *fakes.Origin
	store    *fakes.WeightStore
	ledger   *fakes.Ledger
	urls     struct{ keyValue, list, origin, store string }
	servers  []*http.Server
}

// Start serves the stand-ins and writes the settings of every process to
// Config.Dir. It does not block once the settings are written.
func Start(ctx context.Context, config Config) (*Server, error) {
	s := &Server{
		config:   config,
		keyValue: fakes.NewKeyValue(time.Now),
		list:     fakes.NewInstanceList(listLag, time.Now),
		origin:   fakes.NewOrigin(),
		store:    fakes.NewWeightStore(storeCallsPerSec, storeBurst, time.Now),
		ledger:   fakes.NewLedger(),
	}
	for _, step := range []func(context.Context) error{s.servePlatform, s.addProcesses, s.writeFiles} {
		if err := step(ctx); err != nil {
			_ = s.Close()
			return nil, err
		}
	}
	return s, nil
}

// Close ends every stand-in.
func (s *Server) Close() error {
	var failed []error
	for _, server := range s.servers {
		failed = append(failed, server.Close())
	}
	return errors.Join(failed...)
}

func (s *Server) servePlatform(ctx context.Context) error {
	for _, service := range []struct {
		handler http.Handler
		url     *string
	}{
		{s.keyValue, &s.urls.keyValue},
		{s.list, &s.urls.list},
		{s.origin, &s.urls.origin},
		{s.store, &s.urls.store},
	} {
		url, err := s.serve(ctx, service.handler)
		if err != nil {
			return err
		}
		*service.url = url
	}
	return s.publish()
}

func (s *Server) serve(ctx context.Context, handler http.Handler) (string, error) {
	var config net.ListenConfig
	listener, err := config.Listen(ctx, "tcp", anyPort)
	if err != nil {
		return "", eris.Wrap(err, "listen for a stand-in")
	}
	server := &http.Server{Handler: handler, ReadHeaderTimeout: headerTimeout}
	s.servers = append(s.servers, server)
	go func() { _ = server.Serve(listener) }()
	return "http://" + listener.Addr().String(), nil
}

// addProcesses chooses the addresses of every process, puts it on the
// instance list and serves its endpoint.
func (s *Server) addProcesses(ctx context.Context) error {
	free := &ports{}
	defer free.release()
	for _, group := range []struct {
		role  core.InstanceRole
		count int
	}{
		{core.RoleEntry, s.config.Entries},
		{core.RoleModel, s.config.Models},
		{core.RolePlain, s.config.Plains},
	} {
		for number := range group.count {
			if err := s.addProcess(ctx, free, group.role, number); err != nil {
				return err
			}
		}
	}
	instances := make([]core.Instance, 0, len(s.Processes))
	for _, p := range s.Processes {
		instances = append(instances, p.Instance)
	}
	s.list.Set(instances)
	return nil
}

func (s *Server) addProcess(ctx context.Context, free *ports, role core.InstanceRole, number int) error {
	p, err := newProcess(ctx, free, s.config.Dir, role, number)
	if err != nil {
		return err
	}
	if handler := s.endpoint(role, number); handler != nil {
		if p.EndpointURL, err = s.serve(ctx, handler); err != nil {
			return err
		}
	}
	s.Processes = append(s.Processes, p)
	return nil
}

// endpoint returns the stand-in beside an agent, nil for entries.
func (s *Server) endpoint(role core.InstanceRole, number int) http.Handler {
	switch role {
	case core.RoleModel:
		return fakes.NewEngine(fakes.EngineConfig{
			Slots:        s.config.Slots,
			PerToken:     s.config.Token,
			Load:         s.config.Load,
			Seed:         uint64(number),
			ChunkDigests: chunkDigests,
		})
	case core.RolePlain:
		return fakes.NewPlain(fakes.PlainConfig{
			Operations: []string{OperationPurchase, OperationBalance},
			Slots:      s.config.Slots,
			Seed:       uint64(number),
		}, s.ledger)
	}
	return nil
}

func (s *Server) writeFiles(context.Context) error {
	var entries []string
	for _, p := range s.Processes {
		sections := s.agentSections(p)
		if p.Instance.Role == core.RoleEntry {
			sections = s.entrySections(p)
			entries = append(entries, "http://"+p.HTTPAddr)
		}
		if err := writeSettings(p.Settings, sections); err != nil {
			return err
		}
	}
	control := [][2]string{{"servers", strings.Join(entries, ",")}, {"token", OperatorToken}}
	return writeSettings(filepath.Join(s.config.Dir, ControlFile), []section{{"operator", control}})
}
