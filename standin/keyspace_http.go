package standin

import (
	"context"
	"errors"
	"net/http"
	"strconv"
	"time"

	"github.com/go-chi/chi/v5"

	"kumquathitch.example/kumquathitch"
)

// keyspaceItem is an item in the store protocol of the users' platform.
type keyspaceItem struct {
	Key      string `json:"key,omitempty"`
	Value    []byte `json:"value,omitempty"`
	Revision uint64 `json:"revision,omitempty"`
	Lease    uint64 `json:"lease,omitempty"`
	Deleted  bool   `json:"deleted,omitempty"`
}

type keyspaceResponse struct {
	keyspaceItem
	Items         []keyspaceItem `json:"items,omitempty"`
	Events        []keyspaceItem `json:"events,omitempty"`
	StoreRevision uint64         `json:"store_revision,omitempty"`
	TTLMS         int64          `json:"ttl_ms,omitempty"`
}

// epochHeader names in each response the number of restores from a copy.
const epochHeader = "Store-Era"

// NewKeyspaceHandler serves a keyspace over the store protocol of the users' platform.
func NewKeyspaceHandler(store *Keyspace) http.Handler {
	k := keyspaceCalls{store}
	router := chi.NewRouter()
	router.Use(func(next http.Handler) http.Handler { // Also for responses that reach no call.
		return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
			setEpoch(w, store.Epoch())
			next.ServeHTTP(w, r)
		})
	})
	router.Get("/v1/kv-key", func(w http.ResponseWriter, r *http.Request) {
		item, at, err := k.Read(r.Context(), r.URL.Query().Get("key"))
		if err == nil && item.Revision == 0 {
			setEpoch(w, at.Number)
			w.WriteHeader(http.StatusNotFound)
			return
		}
		writeKeyspaceResponse(w, at, keyspaceResponse{keyspaceItem: encodeItem(item)}, err)
	})
	router.Get("/v1/kv-range", func(w http.ResponseWriter, r *http.Request) {
		found, at, err := k.Scan(r.Context(), r.URL.Query().Get("path_prefix"), false)
		response := keyspaceResponse{StoreRevision: found.Revision}
		for _, item := range found.Items {
			if item.Key > r.URL.Query().Get("after") {
				response.Items = append(response.Items, encodeItem(item))
			}
		}
		writeKeyspaceResponse(w, at, response, err)
	})
	router.Get("/v1/kv-watch", serveFollow(k))
	router.Post("/v1/kv-txn", serveWrite(k))
	router.Post("/v1/kv-lease", func(w http.ResponseWriter, r *http.Request) {
		var body keyspaceResponse
		if readJSON(w, r, &body) {
			lease, at, err := k.Grant(r.Context(), time.Duration(body.TTLMS)*time.Millisecond)
			writeKeyspaceResponse(w, at, keyspaceResponse{keyspaceItem: keyspaceItem{Lease: lease.ID}, TTLMS: lease.TTL.Milliseconds()}, err)
		}
	})
	router.Post("/v1/kv-keep/{id}", func(w http.ResponseWriter, r *http.Request) {
		lease, at, err := k.Renew(r.Context(), leaseFromPath(r))
		writeKeyspaceResponse(w, at, keyspaceResponse{TTLMS: lease.TTL.Milliseconds()}, err)
	})
	router.Delete("/v1/kv-lease-end/{id}", func(w http.ResponseWriter, r *http.Request) {
		at, err := k.Release(r.Context(), leaseFromPath(r))
		writeKeyspaceResponse(w, at, keyspaceResponse{}, err)
	})
	return router
}

func serveFollow(k keyspaceCalls) http.HandlerFunc {
	return func(w http.ResponseWriter, r *http.Request) {
		query := r.URL.Query()
		after, _ := strconv.ParseUint(query.Get("after"), 10, 64)
		wait, _ := strconv.Atoi(query.Get("wait_ms"))
		changes, at, err := k.Follow(r.Context(), query.Get("path_prefix"), after, time.Duration(wait)*time.Millisecond)
		response := keyspaceResponse{StoreRevision: changes.Revision}
		for _, change := range changes.Changes {
			event := encodeItem(change.KeyItem)
			event.Deleted = change.Removed
			response.Events = append(response.Events, event)
		}
		writeKeyspaceResponse(w, at, response, err)
	}
}

func serveWrite(k keyspaceCalls) http.HandlerFunc {
	return func(w http.ResponseWriter, r *http.Request) {
		var body struct {
			Expected []keyspaceItem `json:"expected"`
			Set      []keyspaceItem `json:"set_keys"`
			Remove   []string       `json:"remove"`
		}
		if !readJSON(w, r, &body) {
			return
		}
		write := kumquathitch.KeyWrite{Remove: body.Remove}
		for _, item := range body.Expected {
			write.Expect = append(write.Expect, kumquathitch.KeyItem{Key: item.Key, Revision: item.Revision})
		}
		for _, item := range body.Set {
			write.Set = append(write.Set, kumquathitch.KeyItem{Key: item.Key, Value: item.Value, Lease: item.Lease})
		}
		revision, at, err := k.Write(r.Context(), write)
		writeKeyspaceResponse(w, at, keyspaceResponse{keyspaceItem: keyspaceItem{Revision: revision}}, err)
	}
}

func leaseFromPath(r *http.Request) kumquathitch.Lease {
	id, _ := strconv.ParseUint(chi.URLParam(r, "id"), 10, 64)
	return kumquathitch.Lease{ID: id}
}

func encodeItem(item kumquathitch.KeyItem) keyspaceItem {
	return keyspaceItem{Key: item.Key, Value: item.Value, Revision: item.Revision, Lease: item.Lease}
}

func setEpoch(w http.ResponseWriter, epoch uint64) {
	w.Header().Set(epochHeader, strconv.FormatUint(epoch, 10))
}

func writeKeyspaceResponse(w http.ResponseWriter, at kumquathitch.ResponseEpoch, response keyspaceResponse, err error) {
	setEpoch(w, at.Number)
	var conflict *kumquathitch.ConflictError
	var ended *kumquathitch.LeaseEndedError
	var lost *kumquathitch.HistoryLostError
	var failed *kumquathitch.StoreError
	switch {
	case err == nil:
		writeJSON(w, http.StatusOK, response)
	case errors.As(err, &conflict):
		writeJSON(w, http.StatusPreconditionFailed, keyspaceResponse{Items: []keyspaceItem{{
			Key: conflict.Current.Key, Value: conflict.Current.Value, Revision: conflict.Current.Version,
		}}})
	case errors.As(err, &ended):
		w.WriteHeader(http.StatusNotFound)
	case errors.As(err, &lost):
		w.WriteHeader(http.StatusGone)
	case errors.As(err, &failed) && failed.Unknown, errors.Is(err, context.Canceled):
		panic(http.ErrAbortHandler) // The caller gets no response.
	default:
		w.WriteHeader(http.StatusServiceUnavailable)
	}
}
