package roster

import (
	"os"
	"testing"

	"yuccadoor/core/seeded"
)

// checks is the number of random histories that a property test tries.
const checks = 500

func TestMain(m *testing.M) { os.Exit(seeded.Run(m, checks)) }
