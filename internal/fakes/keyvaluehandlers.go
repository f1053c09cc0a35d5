package fakes

import (
	"errors"
	"io"
	"net/http"
	"strconv"
	"time"

	"github.com/snipestep/snipestep/backing"
	"github.com/snipestep/snipestep/internal/httpcall"
)

// completeWrite ends a write: it drops the connection, writes the error response,
// or returns true if the caller is to write the response.
func completeWrite(w http.ResponseWriter, dropResponse bool, err error) bool {
	if dropResponse {
		abortConnection()
	}
	if err != nil {
		writeKeyValueError(w, err)
		return false
	}
	return true
}

func (k *KeyValue) get(w http.ResponseWriter, r *http.Request) {
	var entry backing.KeyValueEntry
	var err error
	k.countedRead(&k.counts.Get, func() { entry, err = k.state.get(r.URL.Query().Get("key")) })
	if err != nil {
		writeKeyValueError(w, err)
		return
	}
	setVersion(w, entry.Version)
	_, _ = w.Write(entry.Value)
}

func (k *KeyValue) compareAndSwap(w http.ResponseWriter, r *http.Request) {
	value, err := io.ReadAll(http.MaxBytesReader(w, r.Body, backing.MaxValueBytes))
	if err != nil {
		writeError(w, http.StatusRequestEntityTooLarge, backing.CodeTooLarge)
		return
	}
	expectedVersion, valid := queryUint(r, "version")
	if !valid {
		writeError(w, http.StatusBadRequest, backing.CodeBadRequest)
		return
	}
	lease, _ := queryUint(r, "lease")
	var newVersion uint64
	dropResponse, err := k.countedWrite(&k.counts.CompareAndSwap, func() error {
		var swapErr error
		newVersion, swapErr = k.state.compareAndSwap(r.URL.Query().Get("key"), expectedVersion, value, backing.LeaseID(lease))
		return swapErr
	})
	if completeWrite(w, dropResponse, err) {
		setVersion(w, newVersion)
	}
}

func (k *KeyValue) remove(w http.ResponseWriter, r *http.Request) {
	version, valid := queryUint(r, "version")
	if !valid {
		writeError(w, http.StatusBadRequest, backing.CodeBadRequest)
		return
	}
	dropResponse, err := k.countedWrite(&k.counts.Delete, func() error { return k.state.remove(r.URL.Query().Get("key"), version) })
	completeWrite(w, dropResponse, err)
}

func (k *KeyValue) list(w http.ResponseWriter, r *http.Request) {
	limit, valid := queryUint(r, "limit")
	if !valid {
		writeError(w, http.StatusBadRequest, backing.CodeBadRequest)
		return
	}
	query := r.URL.Query()
	var document backing.ListDocument
	k.countedRead(&k.counts.List, func() {
		document.Entries = k.state.list(query.Get("prefix"), query.Get("after"), int(min(limit, backing.MaxListLimit)))
	})
	httpcall.WriteJSON(w, document)
}

func (k *KeyValue) grant(w http.ResponseWriter, r *http.Request) {
	ttlMS, valid := queryUint(r, "ttl_ms")
	if !valid || ttlMS == 0 {
		writeError(w, http.StatusBadRequest, backing.CodeBadRequest)
		return
	}
	var document backing.LeaseDocument
	dropResponse, err := k.countedWrite(&k.counts.Grant, func() error {
		document.Lease = k.state.grant(time.Duration(ttlMS)*time.Millisecond, k.clock())
		return nil
	})
	if completeWrite(w, dropResponse, err) {
		httpcall.WriteJSON(w, document)
	}
}

func (k *KeyValue) keepAlive(w http.ResponseWriter, r *http.Request) {
	lease := parsePathLease(r)
	dropResponse, err := k.countedWrite(&k.counts.KeepAlive, func() error { return k.state.keepAlive(lease, k.clock()) })
	completeWrite(w, dropResponse, err)
}

func (k *KeyValue) revoke(w http.ResponseWriter, r *http.Request) {
	lease := parsePathLease(r)
	dropResponse, err := k.countedWrite(&k.counts.Revoke, func() error { return k.state.revoke(lease) })
	completeWrite(w, dropResponse, err)
}

func parsePathLease(r *http.Request) backing.LeaseID {
	// Lease 0 does not exist.
	lease, _ := strconv.ParseUint(r.PathValue("lease"), 10, 64)
	return backing.LeaseID(lease)
}

func setVersion(w http.ResponseWriter, version uint64) {
	w.Header().Set(backing.VersionHeader, strconv.FormatUint(version, 10))
}

func writeKeyValueError(w http.ResponseWriter, err error) {
	var conflict *backing.ConflictError
	switch {
	case errors.As(err, &conflict):
		document := httpcall.ErrorDocument{Code: backing.CodeConflict, Version: conflict.CurrentVersion}
		httpcall.WriteError(w, http.StatusConflict, document)
	case errors.Is(err, backing.ErrLeaseNotFound):
		writeError(w, http.StatusNotFound, backing.CodeLeaseNotFound)
	default:
		writeError(w, http.StatusNotFound, backing.CodeKeyNotFound)
	}
}
