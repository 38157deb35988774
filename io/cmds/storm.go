package cmds

import (
	"fmt"
	"time"

	"yuccadoor/core/storm"
)

type stormCommand struct {
	Hosts   int           `help:"Number of entry hosts." default:"295"`
	Engines int           `help:"Number of model engines." default:"240"`
	Rate    float64       `help:"Rate of requests, relative to 1,756 a second." default:"1"`
	Speed   float64       `help:"Speed of engines, relative to those of a large site." default:"1"`
	Burst   float64       `help:"Factor of the rate in the storm." default:"2"`
	Seed    uint64        `help:"Seed." default:"77"`
	Length  time.Duration `help:"Length of the play; the storm begins after 4 s and lasts 5 s." default:"28s"`
}

// Run plays a storm and prints what is served in time, by second and by kind of request.
func (c *stormCommand) Run(e *env) error {
	r := storm.Play(storm.Config{Hosts: c.Hosts, Engines: c.Engines, Rate: c.Rate, Speed: c.Speed, Burst: c.Burst, Seed: c.Seed}, c.Length)
	for second, count := range r.Seconds {
		fmt.Fprintf(e.out, "%3d s  %6d asked  %.3f in time\n", second, count.Asked, count.Share())
	}
	for n, count := range r.InStorm {
		fmt.Fprintf(e.out, "in the storm, %s, class %d: %d asked, %.3f in time\n", storm.Routes[n].Service, storm.Routes[n].Class, count.Asked, count.Share())
	}
	fmt.Fprintf(e.out, "at the end %d messages wait for the leader, %d requests for a target\n", r.Messages, r.Requests)
	return nil
}
