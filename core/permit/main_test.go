package permit

import (
	"os"
	"testing"

	"yuccadoor/core/seeded"
)

// randomHistories is the number of random histories per property test.
const randomHistories = 1500

func TestMain(m *testing.M) { os.Exit(seeded.Run(m, randomHistories)) }
