package hingeworld

import (
	"fmt"
	"io"
	"maps"
	"slices"

	"github.com/swifthinge/swifthinge/internal/core/hingeids"
)

// WriteMetrics writes the version of the routes in force and the number of usable servers of each service, in the
// Prometheus text format. A configured service without servers is written too.
func (v *ClusterView) WriteMetrics(w io.Writer) {
	version := uint64(0)
	counts := make(map[hingeids.Service]int)
	if v.table != nil {
		version = v.table.Version
		for s := range v.table.Services {
			counts[s] = 0
		}
	}
	for s, list := range v.services {
		counts[s] = list.list.Len()
	}
	// A failed write means that the client has disconnected.
	_, _ = fmt.Fprintf(w, "swifthinge_config_version %d\n", version)
	for _, s := range slices.Sorted(maps.Keys(counts)) {
		_, _ = fmt.Fprintf(w, "swifthinge_servers_usable{service=%q} %d\n", s, counts[s])
	}
}
