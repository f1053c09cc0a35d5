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

// reloadTick is how often the settings file is looked at: it may change
// without a signal.
const reloadTick = 2 * time.Second

// reload takes up the store's address when the settings file changes, until
// ctx ends. Other keys count from the next start; a file that cannot be used
// changes nothing.
func reload(ctx context.Context, path string, s *settings.Direct, store *platform.Store, logger *slog.Logger) {
	hangups := make(chan os.Signal, 1)
	signal.Notify(hangups, syscall.SIGHUP)
	defer signal.Stop(hangups)
	ticker := time.NewTicker(reloadTick)
	defer ticker.Stop()
	last, err := os.ReadFile(path)
	if err != nil {
		logger.Warn("settings not readable", "file", path, "error", err)
	}
	for {
		signalled := false
		select {
		case <-ctx.Done():
			return
		case <-hangups:
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
			logger.Error("changed settings not usable, keeping the old ones", "error", err)
			continue
		}
		logger.Info("settings reloaded", "signalled", signalled, "store", next.StoreAddr, "store_before", s.StoreAddr)
		s.StoreAddr = next.StoreAddr
		store.SetAddress(next.StoreAddr)
	}
}
