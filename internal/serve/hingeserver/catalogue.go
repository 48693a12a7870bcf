package hingeserver

import (
	"github.com/swifthinge/swifthinge/internal/config/hingecustomers"
	"github.com/swifthinge/swifthinge/internal/config/hingeinventory"
	"github.com/swifthinge/swifthinge/internal/core/hingeboard"
	"github.com/swifthinge/swifthinge/internal/core/hingeids"
)

// Configuration is a parsed and validated revision of the configuration. It is immutable.
type Configuration struct {
	Revision  hingeids.Revision
	Inventory hingeinventory.Inventory
	Rules     hingeinventory.Rules
	models    map[hingeids.Model]hingeinventory.Model
	listed    map[hingeids.ServerID]bool
	customers *hingecustomers.Set
}

func newConfiguration(r hingeids.Revision, inv hingeinventory.Inventory, rules hingeinventory.Rules) *Configuration {
	c := &Configuration{
		Revision:  r,
		Inventory: inv,
		Rules:     rules,
		models:    make(map[hingeids.Model]hingeinventory.Model, len(inv.Models)),
		listed:    make(map[hingeids.ServerID]bool, len(inv.Servers)),
		customers: rules.CustomerSet(),
	}
	for _, m := range inv.Models {
		c.models[m.Name] = m
	}
	for _, s := range inv.Servers {
		c.listed[s.Name] = true
	}
	return c
}

// catalogue implements hingecaller.Catalogue with the configuration in force.
type catalogue struct {
	configuration *hingeboard.Cell[Configuration]
}

// HasModel reports whether the inventory has the model.
func (c catalogue) HasModel(m hingeids.Model) bool {
	_, ok := c.configuration.Load().models[m]
	return ok
}

// ServiceFor returns the plain service that a path is routed to.
func (c catalogue) ServiceFor(path string) (hingeids.Service, bool) {
	return c.configuration.Load().Inventory.ServiceOf(path)
}

// Customers returns the customers whose API keys are checked, or nil if callers need no key.
func (c catalogue) Customers() *hingecustomers.Set {
	return c.configuration.Load().customers
}

// Classify returns the class of a request under the rules in force.
func (c catalogue) Classify(
	m hingeids.Model, s hingeids.Service, path, method string,
) hingeinventory.Class {
	return c.configuration.Load().Rules.Classify(hingeinventory.RequestAttributes{
		Model:   m,
		Service: s,
		Route:   path,
		Method:  method,
	})
}
