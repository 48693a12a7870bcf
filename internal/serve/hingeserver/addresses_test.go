package hingeserver

import (
	"fmt"
	"net"
	"os"
	"os/exec"
	"sync"
	"testing"
	"time"
)

// Guards against hosts that end at their start because an address that was found free is still in use: a process that
// is being started at that moment has copies of all open sockets until its program is loaded.
func TestReleasedAddressesAreFreeAtOnce(t *testing.T) {
	stop := make(chan struct{})
	var others sync.WaitGroup
	for range 3 {
		others.Go(func() {
			for {
				select {
				case <-stop:
					return
				default:
					_ = exec.Command("/bin/true").Run()
				}
			}
		})
	}
	defer others.Wait()
	defer close(stop)
	// Tests of other packages bind ports of the usual loopback address meanwhile.
	ip := fmt.Sprintf("127.%d.%d.1", 100+os.Getpid()/250%100, os.Getpid()%250)
	for range 300 {
		free := newAddresses(t)
		tcp, udp := free.free("tcp", ip), free.free("udp", ip)
		time.Sleep(time.Millisecond)
		free.release()
		l, err := net.Listen("tcp", tcp)
		if err != nil {
			t.Fatal(err)
		}
		_ = l.Close()
		c, err := net.ListenPacket("udp", udp)
		if err != nil {
			t.Fatal(err)
		}
		_ = c.Close()
	}
}
