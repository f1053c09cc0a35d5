//go:build review

package main

import (
	"context"
	"crypto/sha256"
	"encoding/binary"
	"encoding/hex"
	"encoding/json"
	"math/rand/v2"
	"net"
	"net/http"
	"strconv"
	"sync"
	"time"
)

// The weights of the Kalamu site.
const (
	pieces     = 64
	pieceBytes = 32768
	layers     = 16
	model      = "daka510000"
)

// pieceOf returns a piece of a version of the model.
func pieceOf(version, num int) []byte {
	var seed [32]byte
	binary.BigEndian.PutUint64(seed[:], uint64(version))
	binary.BigEndian.PutUint64(seed[8:], uint64(num))
	data := make([]byte, pieceBytes)
	_, _ = rand.NewChaCha8(seed).Read(data)
	return data
}

func digestOf(data []byte) string {
	sum := sha256.Sum256(data)
	return hex.EncodeToString(sum[:])
}

// origin is a stand-in of the origin of weights. It sends at the site's bandwidth.
type origin struct {
	record *record

	mu     sync.Mutex
	newest int
	freeAt time.Time
}

const originBytesPerSecond = 9.9e6 / 8

func startOrigin(b *bench) (*origin, error) {
	o := &origin{record: b.record, newest: 1}
	mux := http.NewServeMux()
	mux.HandleFunc("GET /manifest/{id}", o.serveManifest)
	mux.HandleFunc("GET /piece/{id}", o.servePiece)
	server := &http.Server{Handler: mux}
	var config net.ListenConfig
	listener, err := config.Listen(context.Background(), "tcp", b.address(9, 2, originPort))
	if err != nil {
		return nil, err
	}
	go func() { _ = server.Serve(listener) }()
	b.onClose(func() { _ = server.Close() })
	return o, nil
}

// name makes a version the newest named one.
func (o *origin) name(version int) {
	o.mu.Lock()
	defer o.mu.Unlock()
	o.newest = version
}

// version returns the version that a call asks for, and whether it can be had.
func (o *origin) version(r *http.Request) (int, bool) {
	o.mu.Lock()
	defer o.mu.Unlock()
	text := r.URL.Query().Get("version")
	if text == "" {
		return o.newest, true
	}
	version, err := strconv.Atoi(text)
	return version, err == nil && version <= o.newest && version > o.newest-2
}

func (o *origin) serveManifest(w http.ResponseWriter, r *http.Request) {
	version, ok := o.version(r)
	if !ok || r.PathValue("id") != model {
		w.WriteHeader(http.StatusGone)
		return
	}
	hashes := make([]string, pieces)
	for num := range hashes {
		hashes[num] = digestOf(pieceOf(version, num))
	}
	o.record.say("origin", "manifest of version %d to %s", version, r.RemoteAddr)
	w.Header().Set("Content-Type", "application/json")
	_ = json.NewEncoder(w).Encode(map[string]any{"model_id": model, "version": version, "block_bytes": pieceBytes, "layers": layers, "hashes": hashes})
}

func (o *origin) servePiece(w http.ResponseWriter, r *http.Request) {
	version, ok := o.version(r)
	num, err := strconv.Atoi(r.URL.Query().Get("num"))
	if !ok || err != nil || num < 0 || num >= pieces {
		w.WriteHeader(http.StatusGone)
		return
	}
	o.mu.Lock()
	now := time.Now()
	if o.freeAt.Before(now) {
		o.freeAt = now
	}
	bytes := float64(pieceBytes)
	o.freeAt = o.freeAt.Add(time.Duration(bytes / originBytesPerSecond * float64(time.Second)))
	wait := time.Until(o.freeAt)
	o.mu.Unlock()
	time.Sleep(wait)
	_, _ = w.Write(pieceOf(version, num))
}
