package hingeserver

import (
	"context"
	"encoding/json"
	"errors"
	"slices"
	"time"

	"github.com/swifthinge/swifthinge/internal/capacity/hingeorders"
	"github.com/swifthinge/swifthinge/internal/core/hingeids"
	"github.com/swifthinge/swifthinge/internal/membership/hingeannounce"
	"github.com/swifthinge/swifthinge/internal/path/hingeengine"
)

// orders makes engines match the inventory. Every entry host computes the orders; only the
// leader of the configuration log issues them.
type orders struct {
	server  *Server
	client  *hingeengine.Client
	driver  *hingeorders.Orders
	engines []hingeorders.Engine
	// configuration is the one that was last passed to the driver.
	configuration *Configuration
}

var (
	_ hingeorders.Engines = (*orders)(nil)
	_ hingeorders.Issuer  = (*orders)(nil)
)

// orderTimeout has to be well below the leader's lease, or no order could be sent. An engine
// responds before it starts loading.
const orderTimeout = 150 * time.Millisecond

func newOrders(s *Server) *orders {
	o := &orders{
		server: s,
		client: hingeengine.NewClient(s.tunnels),
	}
	o.driver = hingeorders.New(hingeorders.Config{
		Settings: hingeorders.Settings{
			OrderTimeout: orderTimeout,
		},
		Engines: o,
		Lease:   o,
		Events:  s.recorder,
	})
	return o
}

// Holder returns the leader's fencing number and the end of its lease. ok is false if this
// host doesn't lead.
func (o *orders) Holder(now time.Time) (fence hingeids.Fence, until time.Time, ok bool) {
	fence, ok = o.server.shared.config.Leading(now)
	return fence, o.server.shared.config.Status().LeaseUntil, ok
}

// State requests the current state of an engine.
func (o *orders) State(ctx context.Context, id hingeids.ServerID) (hingeorders.ActualState, error) {
	t, err := o.server.target(id)
	if err != nil {
		return hingeorders.ActualState{}, err
	}
	s, err := o.client.FetchState(ctx, t)
	return hingeorders.ActualState{
		Model:          s.Model,
		Version:        s.Version,
		Adapters:       s.Adapters,
		Role:           hingeorders.Role(s.Role),
		Loading:        s.Loading,
		BytesRemaining: s.BytesRemaining,
	}, err
}

// Send sends an order to an engine. The errors are hingeorders.ErrStaleFence,
// hingeorders.ErrRefused or those of the connection.
func (o *orders) Send(
	ctx context.Context, id hingeids.ServerID, fence hingeids.Fence, order hingeorders.Order,
) error {
	t, err := o.server.target(id)
	if err != nil {
		return err
	}
	body, err := json.Marshal(struct {
		hingeorders.Order
		Fence hingeids.Fence `json:"fence"`
	}{
		Order: order,
		Fence: fence,
	})
	if err != nil {
		return err
	}
	err = o.client.SendOrder(ctx, t, body)
	switch {
	case errors.Is(err, hingeengine.ErrStaleFence):
		return hingeorders.ErrStaleFence
	case errors.Is(err, hingeengine.ErrOrderRefused):
		return hingeorders.ErrRefused
	default:
		return err
	}
}

// update is called by the control loop.
func (o *orders) update() {
	configuration := o.server.configuration.Load()
	if configuration == nil {
		return
	}
	if configuration != o.configuration {
		o.configuration = configuration
		o.driver.SetStoreRate(configuration.Inventory.WeightStore)
		o.driver.SetDesired(desiredStates(configuration))
	}
	var engines []hingeorders.Engine
	for _, x := range o.server.listedServers(o.server.servers.Load().Servers) {
		if x.Kind != hingeannounce.Service {
			engines = append(engines, hingeorders.Engine{
				ID:          x.Server,
				Incarnation: x.Incarnation,
				ChecksFence: x.ChecksFence,
			})
		}
	}
	if !slices.Equal(engines, o.engines) {
		o.engines = engines
		o.driver.SetEngines(engines)
	}
}

// desiredStates returns the desired state of each engine for which the inventory sets one.
func desiredStates(c *Configuration) []hingeorders.DesiredState {
	var out []hingeorders.DesiredState
	for _, s := range c.Inventory.Servers {
		if s.Version == "" && s.Role == "" && len(s.Adapters) == 0 {
			continue
		}
		desired := hingeorders.DesiredState{
			Engine:     s.Name,
			Version:    s.Version,
			Adapters:   s.Adapters,
			Role:       hingeorders.Role(s.Role),
			ModelBytes: c.models[s.Model].WeightBytes,
		}
		if s.Version != "" {
			desired.Model = s.Model
		}
		out = append(out, desired)
	}
	return out
}
