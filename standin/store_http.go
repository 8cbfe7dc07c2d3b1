package standin

import (
	"context"
	"encoding/json"
	"errors"
	"net/http"
	"net/url"
	"strconv"
	"time"

	"github.com/go-chi/chi/v5"

	"kumquathitch.example/kumquathitch"
)

// NewStoreHandler serves a store over HTTP:
//
//	GET /kv/{key}                          one record, or 404
//	GET /kv?prefix=P                       records in order of keys
//	PUT /kv/{key}                          compare-and-swap of a record; 409 with the current one
//	GET /watch?prefix=P&since=V&timeout-ms=T  newer records, or none after the timeout
//	GET /vms, PUT /vms                     the list of VMs
//	PUT /standin/faults                    a StoreFaults
//	GET /standin/calls                     a StoreCalls
func NewStoreHandler(store *Store) http.Handler {
	router := chi.NewRouter()
	router.Get("/kv/{key}", func(w http.ResponseWriter, r *http.Request) {
		record, err := store.Get(r.Context(), pathKey(r))
		writeStoreAnswer(w, record, err)
	})
	router.Get("/kv", func(w http.ResponseWriter, r *http.Request) {
		records, err := store.List(r.Context(), r.URL.Query().Get("prefix"))
		writeStoreAnswer(w, records, err)
	})
	router.Put("/kv/{key}", func(w http.ResponseWriter, r *http.Request) {
		var record kumquathitch.Record
		if !readJSON(w, r, &record) {
			return
		}
		record.Key = pathKey(r)
		written, err := store.CompareAndSwap(r.Context(), record)
		writeStoreAnswer(w, written, err)
	})
	router.Get("/watch", serveWatch(store))
	router.Get("/vms", func(w http.ResponseWriter, r *http.Request) {
		listings, err := store.VMs(r.Context())
		writeStoreAnswer(w, listings, err)
	})
	router.Put("/vms", func(w http.ResponseWriter, r *http.Request) {
		var listings kumquathitch.VMListings
		if readJSON(w, r, &listings) {
			store.SetVMs(listings)
		}
	})
	router.Put("/standin/faults", func(w http.ResponseWriter, r *http.Request) {
		var faults StoreFaults
		if readJSON(w, r, &faults) {
			store.SetFaults(faults)
		}
	})
	router.Get("/standin/calls", func(w http.ResponseWriter, _ *http.Request) {
		writeJSON(w, http.StatusOK, store.Calls())
	})
	return router
}

func serveWatch(store *Store) http.HandlerFunc {
	return func(w http.ResponseWriter, r *http.Request) {
		query := r.URL.Query()
		since, _ := strconv.ParseUint(query.Get("since"), 10, 64)
		timeout, _ := strconv.Atoi(query.Get("timeout-ms"))
		ctx, cancel := context.WithTimeout(r.Context(), time.Duration(timeout)*time.Millisecond)
		defer cancel()
		records, err := store.Watch(ctx, query.Get("prefix"), since)
		writeStoreAnswer(w, records, err)
	}
}

func pathKey(r *http.Request) string {
	key, err := url.PathUnescape(chi.URLParam(r, "key"))
	if err != nil {
		return chi.URLParam(r, "key")
	}
	return key
}

func writeStoreAnswer(w http.ResponseWriter, value any, err error) {
	var missing *kumquathitch.NotFoundError
	var conflict *kumquathitch.ConflictError
	switch {
	case err == nil:
		writeJSON(w, http.StatusOK, value)
	case errors.As(err, &missing):
		w.WriteHeader(http.StatusNotFound)
	case errors.As(err, &conflict):
		writeJSON(w, http.StatusConflict, conflict.Current)
	default:
		http.Error(w, err.Error(), http.StatusServiceUnavailable)
	}
}

func writeJSON(w http.ResponseWriter, status int, value any) {
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(status)
	_ = json.NewEncoder(w).Encode(value)
}

func readJSON(w http.ResponseWriter, r *http.Request, value any) bool {
	if err := json.NewDecoder(r.Body).Decode(value); err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return false
	}
	return true
}
