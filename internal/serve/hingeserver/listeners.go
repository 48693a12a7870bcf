package hingeserver

import (
	"net"

	"github.com/rotisserie/eris"

	"github.com/swifthinge/swifthinge/internal/config/hingesettings"
)

type listeners struct {
	callers   net.Listener
	servers   net.Listener
	operators net.Listener
}

func (l *listeners) open(s hingesettings.Listen) error {
	for _, endpoint := range []struct {
		name     string
		address  string
		listener *net.Listener
	}{
		{
			name:     "callers",
			address:  s.Callers,
			listener: &l.callers,
		},
		{
			name:     "servers",
			address:  s.Servers,
			listener: &l.servers,
		},
		{
			name:     "operators",
			address:  s.Operators,
			listener: &l.operators,
		},
	} {
		opened, err := net.Listen("tcp", endpoint.address)
		if err != nil {
			l.close()
			return eris.Wrapf(err, "open the listener for %s", endpoint.name)
		}
		*endpoint.listener = opened
	}
	return nil
}

func (l *listeners) close() {
	for _, listener := range []net.Listener{l.callers, l.servers, l.operators} {
		if listener != nil {
			_ = listener.Close()
		}
	}
}
