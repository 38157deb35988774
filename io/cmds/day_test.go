package cmds

import (
	"bytes"
	"fmt"
	"os"
	"path/filepath"
	"strings"
	"testing"

	"gotest.tools/v3/assert"
)

// requestEndedLine formats a "request ended" log line from its second, status, cause,
// waiting time and time to the first byte.
const requestEndedLine = `Time=2026-07-28T01:02:%02dZ Level=info Event="request ended" Request=q Route=r Service=lm Workspace="" Tier=1 Class=0 ` +
	`Status=%d Cause=%q Target="" Waited=%s Prompt=12 Output=30 Events=0 Aim=800ms First=%s Total=1s` + "\n"

func TestBurnPrintsTimelineOfLogs(t *testing.T) {
	path := filepath.Join(t.TempDir(), "host.log")
	text := fmt.Sprintf(requestEndedLine, 10, 200, "", "1ms", "5ms") + fmt.Sprintf(requestEndedLine, 10, 200, "", "700ms", "900ms") +
		fmt.Sprintf(requestEndedLine, 17, 503, "Overload", "2s", "0s")
	assert.NilError(t, os.WriteFile(path, []byte(text), 0o600))
	var out, errOut bytes.Buffer
	assert.Equal(t, Main([]string{"burn", "--log", path}, &out, &errOut), 0, errOut.String())
	lines := strings.Split(strings.TrimSpace(out.String()), "\n")
	assert.Equal(t, len(lines), 3, out.String())
	assert.Assert(t, strings.HasSuffix(lines[1], strings.Repeat("=", 25)+strings.Repeat("-", 25)), lines[1])
	assert.Assert(t, strings.Contains(lines[2], "2s") && strings.HasSuffix(lines[2], " "+strings.Repeat(".", 50)), lines[2])
}

func TestBurnNeedsHostsOrLogs(t *testing.T) {
	var out, errOut bytes.Buffer
	assert.Equal(t, Main([]string{"burn"}, &out, &errOut), 1)
	assert.Assert(t, strings.Contains(errOut.String(), "--log"), errOut.String())
}
