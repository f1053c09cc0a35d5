package main

import (
	"bytes"
	"context"
	"log/slog"
	"os"
	"os/signal"
	"syscall"
	"time"

	"github.com/snipestep/snipestep/platform"
	"github.com/snipestep/snipestep/settings"
)

// settingsPollInterval is how often the settings file is checked, because it may
// change without a signal.
const settingsPollInterval = 2 * time.Second

// watchSettings applies the store's address when the settings file changes or
// SIGHUP arrives, until ctx ends. Other keys take effect at the next start; an
// invalid file changes nothing.
func watchSettings(ctx context.Context, path string, s *settings.Direct, store *platform.Store, logger *slog.Logger) {
	hangupSignals := make(chan os.Signal, 1)
	signal.Notify(hangupSignals, syscall.SIGHUP)
	defer signal.Stop(hangupSignals)
	ticker := time.NewTicker(settingsPollInterval)
	defer ticker.Stop()
	last, err := os.ReadFile(path)
	if err != nil {
		logger.Warn("cannot read settings file", "file", path, "error", err)
	}
	for {
		signalled := false
		select {
		case <-ctx.Done():
			return
		case <-hangupSignals:
			signalled = true
		case <-ticker.C:
		}
		data, err := os.ReadFile(path)
		if err != nil || (bytes.Equal(data, last) && !signalled) {
			continue
		}
		last = data
		next, err := settings.LoadDirect(path)
		if err != nil {
			logger.Error("changed settings are invalid; keeping the previous ones", "error", err)
			continue
		}
		logger.Info("settings reloaded", "signalled", signalled, "store", next.StoreAddr, "store_before", s.StoreAddr)
		s.StoreAddr = next.StoreAddr
		store.SetAddress(next.StoreAddr)
	}
}
