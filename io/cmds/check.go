package cmds

import (
	"encoding/json"
	"fmt"
	"os"

	"github.com/pkg/errors"

	"yuccadoor/core/find"
	"yuccadoor/platform"
)

// findingsStatus is the exit status of a check that ran and has findings; a check that could
// not run exits with 1.
const findingsStatus = 3

// errFindings reports findings that are printed already.
var errFindings = errors.New("the configuration has findings")

// platformCheck is the result of a check in JSON.
type platformCheck struct {
	Findings []find.Finding
	Changes  []platform.Change
}

// checkPlatform checks a configuration of the platform, and compares it with the one in
// force if that is named.
func (c *checkCommand) checkPlatform(e *env) error {
	text, err := os.ReadFile(c.File)
	if err != nil {
		return errors.Wrap(err, "read the configuration file")
	}
	result := platformCheck{Findings: platform.CheckConfig(c.File, text)}
	if c.InForce != "" {
		inForce, err := os.ReadFile(c.InForce)
		if err != nil {
			return errors.Wrap(err, "read the configuration in force")
		}
		result.Changes, err = platform.CompareConfigs(inForce, text)
		if err != nil && len(result.Findings) == 0 {
			return err // otherwise the findings tell why
		}
	}
	if err := c.printCheck(e, result); err != nil {
		return err
	}
	if len(result.Findings) > 0 {
		return errFindings
	}
	return nil
}

func (c *checkCommand) printCheck(e *env, r platformCheck) error {
	if c.JSON {
		return errors.Wrap(json.NewEncoder(e.out).Encode(r), "print the result")
	}
	for _, f := range r.Findings {
		fmt.Fprintf(e.out, "%s: %s\n", f.Position, f.Message)
	}
	for _, change := range r.Changes {
		fmt.Fprintln(e.out, change)
	}
	_, err := fmt.Fprintf(e.out, "%s: %d findings\n", c.File, len(r.Findings))
	return errors.Wrap(err, "print the result")
}
