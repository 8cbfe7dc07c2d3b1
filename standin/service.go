package standin

import (
	"fmt"
	"io"
	"net/http"
	"slices"
	"sync"
	"time"

	"github.com/cespare/xxhash/v2"
	"github.com/go-chi/chi/v5"
)

// ServiceFaults is how a plain service misbehaves.
type ServiceFaults struct {
	LoseResponses int `json:"lose-answers"` // The next calls are executed and their connections closed.
	DelayMS       int `json:"delay-ms"`     // Added to every call, milliseconds.
}

// Service is a plain service. GET calls are idempotent; every POST is executed
// and counted, so that a repeat shows.
type Service struct {
	Name string

	mutex      sync.Mutex
	faults     ServiceFaults
	executions map[string]int
	seen       []RecordedRequest
}

// NewService returns a service that has executed nothing.
func NewService(name string) *Service {
	return &Service{Name: name, executions: map[string]int{}}
}

// SetFaults replaces how the service misbehaves.
func (s *Service) SetFaults(faults ServiceFaults) {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	s.faults = faults
}

// Executions returns how often each body was executed.
func (s *Service) Executions() map[string]int {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	copied := make(map[string]int, len(s.executions))
	for body, n := range s.executions {
		copied[body] = n
	}
	return copied
}

// Requests returns the requests that the service remembers, oldest first.
func (s *Service) Requests() []RecordedRequest {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	return slices.Clone(s.seen)
}

// Handler serves GET and POST on every path, PUT /standin/faults with a
// ServiceFaults, and GET /standin/executions with the counts by body.
func (s *Service) Handler() http.Handler {
	router := chi.NewRouter()
	router.Put("/standin/faults", func(w http.ResponseWriter, r *http.Request) {
		var faults ServiceFaults
		if readJSON(w, r, &faults) {
			s.SetFaults(faults)
		}
	})
	router.Get("/standin/executions", func(w http.ResponseWriter, _ *http.Request) {
		writeJSON(w, http.StatusOK, s.Executions())
	})
	router.Get("/standin/requests", func(w http.ResponseWriter, _ *http.Request) { writeJSON(w, http.StatusOK, s.Requests()) })
	router.Get("/*", s.serveCall)
	router.Post("/*", s.serveCall)
	return router
}

type serviceAnswer struct {
	Service   string `json:"service"`
	Path      string `json:"path"`
	Reference string `json:"reference"`
}

func (s *Service) serveCall(w http.ResponseWriter, r *http.Request) {
	body, err := io.ReadAll(r.Body)
	if err != nil {
		return
	}
	faults, lose := s.execute(r, body)
	if faults.DelayMS > 0 {
		time.Sleep(time.Duration(faults.DelayMS) * time.Millisecond)
	}
	if lose {
		panic(http.ErrAbortHandler)
	}
	writeJSON(w, http.StatusOK, serviceAnswer{
		Service: s.Name, Path: r.URL.Path, Reference: fmt.Sprintf("%016x", xxhash.Sum64(body)),
	})
}

func (s *Service) execute(r *http.Request, body []byte) (faults ServiceFaults, lose bool) {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	s.seen = appendSeen(s.seen, r, body)
	if r.Method == http.MethodPost {
		s.executions[string(body)]++
	}
	if s.faults.LoseResponses > 0 {
		s.faults.LoseResponses--
		lose = true
	}
	return s.faults, lose
}
