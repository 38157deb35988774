package edge

import (
	"fmt"
	"io"
	"time"

	"yuccadoor/core/admit"
)

// statusWait bounds how long the metrics wait for the event loop, so that those of a host whose
// decisions are late can still be read.
const statusWait = 200 * time.Millisecond

// writeFlows writes how the requests of flows that compete for a service ended, as metrics of
// the host that leads.
func writeFlows(w io.Writer, flows map[string][]admit.FlowStatus) {
	for service, of := range flows {
		for i := range of {
			f := &of[i]
			for _, c := range []struct {
				kind  string
				count int
			}{
				{"Granted", f.Granted}, {"Refused", f.Refused}, {"Booked", f.Booked}, {"Returned", f.Returned}, {"Early", f.Early},
			} {
				if c.count > 0 {
					fmt.Fprintf(w, "yuccadoor_flow_requests_total{service=%q,tier=\"%d\",class=\"%d\",workspace=%q,band=%q,kind=%q} %d\n",
						service, f.Tier, f.Class.Class, f.Workspace, f.Band, c.kind, c.count)
				}
			}
		}
	}
}
