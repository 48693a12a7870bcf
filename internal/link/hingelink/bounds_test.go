package hingelink

import "testing"

// Guards against calls and datagrams that allocate more often than both ends need.
func TestAllocationsOfCallsAndDatagrams(t *testing.T) {
	a, b := newPair(t)
	b.HandleCall("test.echo", echo)
	ctx := run(t, a, b)
	body := make([]byte, 200)
	call := func() {
		if _, err := a.Call(ctx, "roscoff-1", "test.echo", body); err != nil {
			t.Fatal(err)
		}
	}
	send := func() {
		a.Send("roscoff-1", "test.beat", body)
	}
	for _, c := range []struct {
		name  string
		do    func()
		bound float64
	}{
		{name: "call", do: call, bound: 170},
		{name: "datagram", do: send, bound: 20},
	} {
		if got := testing.AllocsPerRun(500, c.do); got > c.bound {
			t.Errorf("%s: %.0f allocations, bound %.0f", c.name, got, c.bound)
		}
	}
}
