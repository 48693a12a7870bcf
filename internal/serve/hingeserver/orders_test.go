package hingeserver

import (
	"fmt"
	"net/http"
	"testing"
	"time"

	"github.com/swifthinge/swifthinge/internal/config/hingeinventory"
	"github.com/swifthinge/swifthinge/internal/core/hingeids"
	"github.com/swifthinge/swifthinge/internal/membership/hingeannounce"
	"github.com/swifthinge/swifthinge/internal/operate/hingeadmin"
)

func (f *fleet) roleChange(expected hingeids.Revision, engine hingeids.ServerID, role string) hingeadmin.Change {
	f.changes++
	inventory := f.inventory
	inventory.Servers = append([]hingeinventory.Server(nil), f.inventory.Servers...)
	path := "servers/" + string(engine)
	for i, s := range inventory.Servers {
		if s.Name == engine {
			inventory.Servers[i].Role = role
			inventory.Servers[i].Version = "2"
		}
	}
	return hingeadmin.Change{
		ChangeID:         hingeadmin.ChangeID(fmt.Sprintf("%s-%d", f.t.Name(), f.changes)),
		ExpectedRevision: expected,
		Operator:         "test",
		Puts: map[string]string{
			path: string(hingeinventory.Split(&inventory, &f.rules)[path]),
		},
	}
}

// Guards against a delayed order of an earlier issuer that takes effect after newer ones, as the
// issuer is suspended and killed.
func TestOrdersAcrossIssuerChanges(t *testing.T) {
	t.Parallel()
	f := newEngines(t, 2*time.Millisecond)
	engine := hingeids.ServerID("redacteur-3")
	standin := f.standins[engine]
	at := f.order[1]
	awaitRole := func(role string) {
		t.Helper()
		f.await("the engine to be "+role, 15*time.Second, func() error {
			status, err := f.status(at)
			if err != nil {
				return err
			}
			for _, s := range status.Servers {
				if s.Server == engine && s.Kind == role {
					return nil
				}
			}
			return fmt.Errorf("%+v", standin.Counts())
		})
	}
	change := func(role string) {
		t.Helper()
		f.await("the change of the role to be accepted", 10*time.Second, func() error {
			status, err := f.status(at)
			if err != nil {
				return err
			}
			_, code, err := f.apply(at, f.roleChange(status.Committed, engine, role))
			if code != http.StatusOK {
				return err
			}
			return nil
		})
	}
	change(string(hingeannounce.Both))
	awaitRole(string(hingeannounce.Both))

	leader := f.leader()
	f.signal(leader, 19)
	change(string(hingeannounce.Prefill))
	awaitRole(string(hingeannounce.Prefill))
	f.signal(leader, 18)
	change(string(hingeannounce.Decode))
	awaitRole(string(hingeannounce.Decode))

	f.kill(f.leader())
	change(string(hingeannounce.Both))
	awaitRole(string(hingeannounce.Both))
	time.Sleep(2 * time.Second)
	awaitRole(string(hingeannounce.Both))
	if c := standin.Counts(); c.StaleOrders > 0 || c.Orders == 0 {
		t.Errorf("the engine received %d orders, %d of them from a replaced issuer", c.Orders, c.StaleOrders)
	}
}
