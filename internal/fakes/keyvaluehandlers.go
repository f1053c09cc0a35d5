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

// acknowledge ends a write: it drops the connection, or answers the error, or
// returns true for the answer to be written.
func acknowledge(w http.ResponseWriter, lost bool, err error) bool {
	if lost {
		abort()
	}
	if err != nil {
		refuseKeyValue(w, err)
		return false
	}
	return true
}

func (k *KeyValue) get(w http.ResponseWriter, r *http.Request) {
	var entry backing.KeyValueEntry
	var err error
	k.read(&k.counts.Get, func() { entry, err = k.state.get(r.URL.Query().Get("key")) })
	if err != nil {
		refuseKeyValue(w, err)
		return
	}
	setVersion(w, entry.Version)
	_, _ = w.Write(entry.Value)
}

func (k *KeyValue) compareAndSwap(w http.ResponseWriter, r *http.Request) {
	value, err := io.ReadAll(http.MaxBytesReader(w, r.Body, backing.MaxValueBytes))
	if err != nil {
		refuse(w, http.StatusRequestEntityTooLarge, backing.CodeTooLarge)
		return
	}
	version, valid := queryUint(r, "version")
	if !valid {
		refuse(w, http.StatusBadRequest, backing.CodeBadRequest)
		return
	}
	lease, _ := queryUint(r, "lease")
	var written uint64
	lost, err := k.write(&k.counts.CompareAndSwap, func() error {
		var failure error
		written, failure = k.state.swap(r.URL.Query().Get("key"), version, value, backing.LeaseID(lease))
		return failure
	})
	if acknowledge(w, lost, err) {
		setVersion(w, written)
	}
}

func (k *KeyValue) remove(w http.ResponseWriter, r *http.Request) {
	version, valid := queryUint(r, "version")
	if !valid {
		refuse(w, http.StatusBadRequest, backing.CodeBadRequest)
		return
	}
	lost, err := k.write(&k.counts.Delete, func() error { return k.state.remove(r.URL.Query().Get("key"), version) })
	acknowledge(w, lost, err)
}

func (k *KeyValue) list(w http.ResponseWriter, r *http.Request) {
	limit, valid := queryUint(r, "limit")
	if !valid {
		refuse(w, http.StatusBadRequest, backing.CodeBadRequest)
		return
	}
	query := r.URL.Query()
	var document backing.ListDocument
	k.read(&k.counts.List, func() {
		document.Entries = k.state.list(query.Get("prefix"), query.Get("after"), int(min(limit, backing.MaxListLimit)))
	})
	httpcall.WriteJSON(w, document)
}

func (k *KeyValue) grant(w http.ResponseWriter, r *http.Request) {
	ttl, valid := queryUint(r, "ttl_ms")
	if !valid || ttl == 0 {
		refuse(w, http.StatusBadRequest, backing.CodeBadRequest)
		return
	}
	var document backing.LeaseDocument
	lost, err := k.write(&k.counts.Grant, func() error {
		document.Lease = k.state.grant(time.Duration(ttl)*time.Millisecond, k.clock())
		return nil
	})
	if acknowledge(w, lost, err) {
		httpcall.WriteJSON(w, document)
	}
}

func (k *KeyValue) keepAlive(w http.ResponseWriter, r *http.Request) {
	lease := pathLease(r)
	lost, err := k.write(&k.counts.KeepAlive, func() error { return k.state.keepAlive(lease, k.clock()) })
	acknowledge(w, lost, err)
}

func (k *KeyValue) revoke(w http.ResponseWriter, r *http.Request) {
	lease := pathLease(r)
	lost, err := k.write(&k.counts.Revoke, func() error { return k.state.revoke(lease) })
	acknowledge(w, lost, err)
}

func pathLease(r *http.Request) backing.LeaseID {
	// Lease 0 does not exist.
	lease, _ := strconv.ParseUint(r.PathValue("lease"), 10, 64)
	return backing.LeaseID(lease)
}

func setVersion(w http.ResponseWriter, version uint64) {
	w.Header().Set(backing.VersionHeader, strconv.FormatUint(version, 10))
}

func refuseKeyValue(w http.ResponseWriter, err error) {
	var conflict *backing.ConflictError
	switch {
	case errors.As(err, &conflict):
		document := httpcall.ErrorDocument{Code: backing.CodeConflict, Version: conflict.Actual}
		httpcall.WriteError(w, http.StatusConflict, document)
	case errors.Is(err, backing.ErrLeaseNotFound):
		refuse(w, http.StatusNotFound, backing.CodeLeaseNotFound)
	default:
		refuse(w, http.StatusNotFound, backing.CodeKeyNotFound)
	}
}
