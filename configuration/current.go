package configuration

import (
	"sync"

	"kumquathitch.example/kumquathitch"
)

// Applier puts a configuration in force in one part of the process. Calls come
// one at a time, with rising generations.
type Applier interface {
	Apply(config kumquathitch.Configuration)
}

// Current holds the configuration that this VM has in force. Its generation only rises.
type Current struct {
	appliers []Applier

	mutex  sync.Mutex
	config kumquathitch.Configuration
}

// NewCurrent returns a holder without a configuration; appliers are called in order.
func NewCurrent(appliers ...Applier) *Current {
	return &Current{appliers: appliers}
}

// Apply puts a configuration in force when its generation is higher than the
// one in force, and reports whether it did.
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

// Load returns the configuration in force; its generation is 0 when there is none.
func (c *Current) Load() kumquathitch.Configuration {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	return c.config
}
