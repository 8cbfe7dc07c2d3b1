package configuration

import (
	"sync"

	"kumquathitch.example/kumquathitch"
)

// Applier puts a configuration in force in one component of the process. Apply is
// not called concurrently, and each call has a higher generation than the one before.
type Applier interface {
	Apply(config kumquathitch.Configuration)
}

// Current holds the configuration in force on this VM. Its generation never
// decreases. It is safe for concurrent use.
type Current struct {
	appliers []Applier

	mutex  sync.Mutex
	config kumquathitch.Configuration
}

// NewCurrent returns a Current without a configuration. Each new configuration is
// passed to the appliers in order.
func NewCurrent(appliers ...Applier) *Current {
	return &Current{appliers: appliers}
}

// Apply puts a configuration in force if its generation is higher than the
// current one, and reports whether it did.
func (c *Current) Apply(config kumquathitch.Configuration) bool {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	if config.Generation <= c.config.Generation {
		return false
	}
	c.config = config
	for _, a := range c.appliers {
		a.Apply(config)
	}
	return true
}

// Load returns the configuration in force, with generation 0 if there is none.
func (c *Current) Load() kumquathitch.Configuration {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	return c.config
}
