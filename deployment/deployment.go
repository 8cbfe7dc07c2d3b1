// Package deployment keeps the version of the operator's configuration that is
// in force on this VM.
//
// # Usage
//
//	current := deployment.NewCurrent()
//	if current.Apply(decoded, document) {
//		// a higher version is in force
//	}
//	view := current.View() // Nil until the first version.
//	route := view.Route("example.org", "/plans/17")
//	tenant := view.Tenant("key")
//
// A lower version never replaces a higher one, wherever it comes from.
package deployment

import (
	"strings"
	"sync"

	"kumquathitch.example/kumquathitch"
)

// Current is the version in force. It is safe for concurrent use.
type Current struct {
	mutex    sync.RWMutex
	view     *View
	document []byte
}

// View is one version, indexed for requests. It is never changed.
type View struct {
	Deployment *kumquathitch.Deployment
	routes     map[routeKey]*kumquathitch.DeploymentRoute
	tenants    map[string]*kumquathitch.Tenant // By key.
}

type routeKey struct {
	host   string
	prefix string
}

// NewCurrent returns a Current without a version.
func NewCurrent() *Current {
	return &Current{}
}

// Apply puts a version in force and reports whether it did: a version that is
// not higher than the one in force changes nothing. The document is the
// encoded form, which other VMs ask for.
func (c *Current) Apply(d *kumquathitch.Deployment, document []byte) bool {
	view := newView(d)
	c.mutex.Lock()
	defer c.mutex.Unlock()
	if c.view != nil && d.Version <= c.view.Deployment.Version {
		return false
	}
	c.view, c.document = view, document
	return true
}

// View returns the version in force, or nil.
func (c *Current) View() *View {
	c.mutex.RLock()
	defer c.mutex.RUnlock()
	return c.view
}

// Version returns the number of the version in force, 0 for none.
func (c *Current) Version() uint64 {
	if view := c.View(); view != nil {
		return view.Deployment.Version
	}
	return 0
}

// Document returns the encoded form and the number of the version in force.
func (c *Current) Document() ([]byte, uint64) {
	c.mutex.RLock()
	defer c.mutex.RUnlock()
	if c.view == nil {
		return nil, 0
	}
	return c.document, c.view.Deployment.Version
}

func newView(d *kumquathitch.Deployment) *View {
	v := &View{
		Deployment: d,
		routes:     make(map[routeKey]*kumquathitch.DeploymentRoute, len(d.Routes)),
		tenants:    map[string]*kumquathitch.Tenant{},
	}
	for i := range d.Routes {
		r := &d.Routes[i]
		v.routes[routeKey{strings.ToLower(r.Host), r.PathPrefix}] = r
	}
	for i := range d.Tenants {
		for _, key := range d.Tenants[i].Keys {
			v.tenants[key] = &d.Tenants[i]
		}
	}
	return v
}

// Route returns the route of a host with the longest prefix of a path, or nil.
func (v *View) Route(host, path string) *kumquathitch.DeploymentRoute {
	for end := len(path); end > 0; {
		slash := strings.LastIndexByte(path[:end], '/')
		if slash < 0 {
			return nil
		}
		if r := v.routes[routeKey{host, path[:slash+1]}]; r != nil {
			return r
		}
		end = slash
	}
	return nil
}

// Tenant returns the client account that holds a key, or nil.
func (v *View) Tenant(key string) *kumquathitch.Tenant {
	return v.tenants[key]
}

// Keyed reports whether callers have to present keys on routes that are not open.
func (v *View) Keyed() bool {
	return len(v.Deployment.Tenants) > 0
}
