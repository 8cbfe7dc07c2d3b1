// Package deployment holds the version of the operator's configuration that is in
// force on this VM.
//
// # Usage
//
//	current := deployment.NewCurrent()
//	if current.Apply(decoded, document) {
//		// The version was higher than the previous one and is now in force.
//	}
//	snapshot := current.Snapshot() // Nil before the first version.
//	route := snapshot.Route("example.org", "/plans/17")
//	tenant := snapshot.Tenant("key")
//
// A lower version never replaces a higher one, whatever its source.
package deployment

import (
	"strings"
	"sync"

	"kumquathitch.example/kumquathitch"
)

// Current holds the version in force. It is safe for concurrent use.
type Current struct {
	mutex    sync.RWMutex
	snapshot *Snapshot
	document []byte
}

// Snapshot is one version with indexes for requests. It is immutable.
type Snapshot struct {
	Deployment *kumquathitch.Deployment
	routes     map[routeKey]*kumquathitch.DeploymentRoute
	tenants    map[string]*kumquathitch.Tenant // By API key.
	ranked     map[string]bool                 // Services whose calls differ in priority.
}

type routeKey struct {
	host   string
	prefix string
}

// NewCurrent returns a Current that holds no version.
func NewCurrent() *Current {
	return &Current{}
}

// Apply puts a version in force if it is higher than the current one, and reports
// whether it did. The document is the encoded version; it is sent to other VMs.
func (c *Current) Apply(d *kumquathitch.Deployment, document []byte) bool {
	snapshot := newSnapshot(d)
	c.mutex.Lock()
	defer c.mutex.Unlock()
	if c.snapshot != nil && d.Version <= c.snapshot.Deployment.Version {
		return false
	}
	c.snapshot, c.document = snapshot, document
	return true
}

// Snapshot returns the version in force, or nil when there is none.
func (c *Current) Snapshot() *Snapshot {
	c.mutex.RLock()
	defer c.mutex.RUnlock()
	return c.snapshot
}

// Version returns the number of the version in force, or 0 when there is none.
func (c *Current) Version() uint64 {
	if snapshot := c.Snapshot(); snapshot != nil {
		return snapshot.Deployment.Version
	}
	return 0
}

// Document returns the encoded form and the number of the version in force, or
// nil and 0 when there is none.
func (c *Current) Document() ([]byte, uint64) {
	c.mutex.RLock()
	defer c.mutex.RUnlock()
	if c.snapshot == nil {
		return nil, 0
	}
	return c.document, c.snapshot.Deployment.Version
}

func newSnapshot(d *kumquathitch.Deployment) *Snapshot {
	s := &Snapshot{
		Deployment: d,
		routes:     make(map[routeKey]*kumquathitch.DeploymentRoute, len(d.Routes)),
		tenants:    map[string]*kumquathitch.Tenant{},
		ranked:     map[string]bool{},
	}
	for i := range d.Services {
		s.ranked[d.Services[i].Name] = d.RanksCalls(&d.Services[i])
	}
	for i := range d.Routes {
		r := &d.Routes[i]
		s.routes[routeKey{strings.ToLower(r.Host), r.PathPrefix}] = r
	}
	for i := range d.Tenants {
		for _, key := range d.Tenants[i].Keys {
			s.tenants[key] = &d.Tenants[i]
		}
	}
	return s
}

// Route returns the route of a host with the longest prefix of a path, or nil. The
// host must be in lower case.
func (s *Snapshot) Route(host, path string) *kumquathitch.DeploymentRoute {
	for end := len(path); end > 0; {
		slash := strings.LastIndexByte(path[:end], '/')
		if slash < 0 {
			return nil
		}
		if r := s.routes[routeKey{host, path[:slash+1]}]; r != nil {
			return r
		}
		end = slash
	}
	return nil
}

// Tenant returns the client account of an API key, or nil.
func (s *Snapshot) Tenant(key string) *kumquathitch.Tenant {
	return s.tenants[key]
}

// RanksCalls reports whether the calls for an engine service differ in priority.
func (s *Snapshot) RanksCalls(service string) bool {
	return s.ranked[service]
}

// RequiresKey reports whether routes that are not open require an API key.
func (s *Snapshot) RequiresKey() bool {
	return len(s.Deployment.Tenants) > 0
}
