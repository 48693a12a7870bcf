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

// orders has engines become what the inventory says. Every entry host plans;
// only the one that leads the configuration log issues.
type orders struct {
	server  *Server
	client  *hingeengine.Client
	driver  *hingeorders.Orders
	engines []hingeorders.Engine
	// configuration is what the driver was told of.
	configuration *Configuration
}

var (
	_ hingeorders.Engines = (*orders)(nil)
	_ hingeorders.Issuer  = (*orders)(nil)
)

// orderTime bounds an order: an engine answers at once and loads afterwards. It
// has to be well under the leader's lease, or no order could ever be sent.
const orderTime = 150 * time.Millisecond

func newOrders(s *Server) *orders {
	o := &orders{
		server: s,
		client: hingeengine.NewClient(),
	}
	o.driver = hingeorders.New(hingeorders.Config{
		Settings: hingeorders.Settings{
			OrderTimeout: orderTime,
		},
		Engines: o,
		Lease:   o,
		Events:  s.recorder,
	})
	return o
}

// Holder gives the leader's term and the end of its lease.
func (o *orders) Holder(now time.Time) (fence hingeids.Fence, until time.Time, ok bool) {
	fence, ok = o.server.shared.config.Leading(now)
	return fence, o.server.shared.config.Status().LeaseUntil, ok
}

// State asks an engine what it is.
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

// Send gives an engine an order.
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

// feed tells what the inventory wants and which engines are there. It runs in
// the control loop.
func (o *orders) feed() {
	configuration := o.server.configuration.Load()
	if configuration == nil {
		return
	}
	if configuration != o.configuration {
		o.configuration = configuration
		o.driver.SetStoreRate(configuration.Inventory.WeightStore)
		o.driver.SetDesired(wantsOf(configuration))
	}
	var engines []hingeorders.Engine
	for _, x := range o.server.listed(o.server.servers.Load().Servers) {
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

// wantsOf are the engines that the inventory orders to be something.
func wantsOf(c *Configuration) []hingeorders.DesiredState {
	var out []hingeorders.DesiredState
	for _, s := range c.Inventory.Servers {
		if s.Version == "" && s.Role == "" && len(s.Adapters) == 0 {
			continue
		}
		want := hingeorders.DesiredState{
			Engine:     s.Name,
			Version:    s.Version,
			Adapters:   s.Adapters,
			Role:       hingeorders.Role(s.Role),
			ModelBytes: c.models[s.Model].WeightBytes,
		}
		if s.Version != "" {
			want.Model = s.Model
		}
		out = append(out, want)
	}
	return out
}
