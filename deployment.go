package kumquathitch

import (
	"fmt"
	"slices"
	"strings"
	"time"
)

// Deployment is one complete version of the configuration that the operator of a
// platform sets. It is immutable once decoded.
type Deployment struct {
	Version  uint64
	Routes   DeploymentRoutes
	Services Services
	Tenants  Tenants // Empty when callers present no keys.
	Limits   CallerLimits
}

// DeploymentRoute maps the calls of a host below a path prefix to services.
type DeploymentRoute struct {
	Name             string
	Host             string
	PathPrefix       string // Begins and ends with a slash.
	RetryMode        RetryMode
	Stream           bool // The response is a stream of events.
	Open             bool // Callers need no API key.
	Shares           ServiceShares
	MaxAttempts      int           // Instances that may run one call, the first included.
	Timeout          time.Duration // Limit for the whole response; 0 when the operator sets none.
	LatencyObjective time.Duration // Time to the response, or to the first event of a stream, that meets the objective.
	GapLimit         time.Duration // Longest pause between events that meets the objective; 0 when not stated.
	Priority         int           // 0 is the highest.
	Homes            Homes         // Regions whose instances may get the calls.
}

// DeploymentRoutes is a list of routes of a deployment.
type DeploymentRoutes []DeploymentRoute

// accountPriorityStep is the number of route priorities that are told apart within the
// calls of accounts of one priority.
const accountPriorityStep = 3

// CallPriority ranks the calls of an account on the route by the account first, then by the
// route. The account may be nil.
func (r *DeploymentRoute) CallPriority(account *Tenant) int {
	if account == nil || account.Priority < 0 {
		return r.Priority
	}
	return accountPriorityStep*account.Priority + min(r.Priority, accountPriorityStep-1)
}

// Priorities returns the different priorities that the calls of a route may have.
func (d *Deployment) Priorities(route *DeploymentRoute) []int {
	var priorities []int
	if len(d.Tenants) == 0 || route.Open {
		priorities = append(priorities, route.CallPriority(nil))
	}
	for i := range d.Tenants {
		if p := route.CallPriority(&d.Tenants[i]); !slices.Contains(priorities, p) {
			priorities = append(priorities, p)
		}
	}
	return priorities
}

// RanksCalls reports whether the calls for an engine service differ in priority.
func (d *Deployment) RanksCalls(service *Service) bool {
	if service.Engine == nil {
		return false
	}
	seen := map[int]bool{}
	for i := range d.Routes {
		if !d.Routes[i].uses(service.Name) {
			continue
		}
		for _, priority := range d.Priorities(&d.Routes[i]) {
			seen[priority] = true
		}
	}
	return len(seen) > 1
}

func (r *DeploymentRoute) uses(service string) bool {
	return slices.ContainsFunc(r.Shares, func(share ServiceShare) bool { return share.Service == service })
}

// ServiceShare is a service that a route sends calls to, with its weight.
type ServiceShare struct {
	Service string
	Weight  int
}

// ServiceShares split the calls of a route over services in proportion to the weights.
type ServiceShares []ServiceShare

// Service is a group of instances that run the same program.
type Service struct {
	Name           string
	MaxConnections int           // Connections that one instance accepts, from all VMs together.
	ColdTime       time.Duration // How long an instance is cold after its start; 0 when it never is.
	ColdPerSecond  float64       // Calls a second that a cold instance takes from all VMs together.
	Engine         *EngineSpec   // Nil for a plain service.
}

// Services is a list of services.
type Services []Service

// EngineSpec describes the model engines of a service.
type EngineSpec struct {
	Slots            int     // Calls that an engine runs at once.
	KVCapacityTokens int64   // Capacity of the KV cache.
	MemoryMB         float64 // For weights and adapters together.
	AdapterSlots     int
	LoadsPerSecond   float64 // Limit of the weight store, over all instances.
	DiskMB           float64 // Space for copies of weights on an instance's disk.
	Models           ModelSpecs
}

// ModelSpec is a model that the engines of a service can load.
type ModelSpec struct {
	Name         string
	MemoryMB     float64
	LoadTime     time.Duration // Time to load the weights from the weight store.
	AdapterCount int           // The adapters are named a1, a2 and so on.
	AdapterMB    float64
}

// ModelSpecs is a list of models of a service.
type ModelSpecs []ModelSpec

// Tenant is a client account of a deployment. Its rate applies over all VMs.
type Tenant struct {
	Name          string
	Keys          []string
	Priority      int     // 0 is the highest; negative when not stated.
	Rate          float64 // Tokens per second.
	Burst         float64 // Tokens.
	DefaultTokens int64   // Cost of a call without token counts.
	RateLimited   bool    // Rate and Burst apply.
	Homes         Homes   // Regions whose instances may get the calls.
}

// Tenants is a list of client accounts of a deployment.
type Tenants []Tenant

// CallerLimits bound the requests of callers.
type CallerLimits struct {
	MaxBodyBytes   int64
	MaxHeaderBytes int64
	IdleTimeout    time.Duration // How long a connection may be idle before callers no longer reuse it.
}

// Validate returns a *ValidationError with every problem of the deployment, or nil.
func (d *Deployment) Validate() error {
	var problems Problems
	names := map[string]bool{}
	for _, s := range d.Services {
		names[s.Name] = true
	}
	for i, r := range d.Routes {
		field := fmt.Sprintf("routes[%d]", i)
		if !strings.HasPrefix(r.PathPrefix, "/") || !strings.HasSuffix(r.PathPrefix, "/") {
			problems.Add(field+".path-prefix", r.PathPrefix, "a path that begins and ends with a slash")
		}
		for _, s := range r.Shares {
			if !names[s.Service] {
				problems.Add(field+".service", s.Service, "the name of a listed service")
			}
		}
	}
	for i, t := range d.Tenants {
		if t.RateLimited && t.Rate < 0 || t.Burst < 0 {
			problems.Add(fmt.Sprintf("tenants[%d].rate", i), t.Rate, "tokens per second, 0 or more")
		}
	}
	return problems.Err()
}

// Find returns the service with a name, or nil.
func (s Services) Find(name string) *Service {
	for i := range s {
		if s[i].Name == name {
			return &s[i]
		}
	}
	return nil
}

// Find returns the model with a name, or nil.
func (m ModelSpecs) Find(name string) *ModelSpec {
	for i := range m {
		if m[i].Name == name {
			return &m[i]
		}
	}
	return nil
}
