package trace

import (
	"bytes"
	"strings"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"yuccadoor/core/burn"
	"yuccadoor/io/logs"
)

const line = `   0.18 edge-a Time=2026-07-28T01:02:16.5Z Level=info Event="request ended" Request=q1 Route=review Service=lm ` +
	`Workspace="" Tier=1 Class=2 Status=503 Cause=Overload Target="" Waited=897.5µs Prompt=12 Output=30 Events=0 Aim=800ms First=0s Total=1.5s`

func TestReadRequestEndedLines(t *testing.T) {
	all, err := Read(strings.NewReader("starting\n" + line + "\n   0.2 edge-a Time=x Event=\"host started\"\n"))
	assert.NilError(t, err)
	assert.Equal(t, len(all), 1)
	assert.DeepEqual(t, all[0], Request{
		Ended: time.Date(2026, 7, 28, 1, 2, 16, 500_000_000, time.UTC), ID: "q1", Route: "review", Service: "lm",
		Cause: "Overload", Tier: 1, Class: 2, Status: 503, PromptTokens: 12, MaxOutputTokens: 30, FirstByteObjective: 800 * time.Millisecond,
		Waited: 897500 * time.Nanosecond, Total: 1500 * time.Millisecond,
	})
	assert.Equal(t, all[0].Outcome(), burn.Refused)
	assert.Equal(t, all[0].Arrived().Nanosecond(), 0)
}

func TestInvalidFieldIsReportedWithLineNumber(t *testing.T) {
	_, err := Read(strings.NewReader("\n" + strings.Replace(line, "Total=1.5s", "Total=soon", 1)))
	assert.ErrorContains(t, err, "line 2")
	assert.ErrorContains(t, err, "Total")
}

// A log line truncated because its host was killed must be skipped. It used to make
// the log of a whole day unreadable.
func TestTruncatedLineIsSkipped(t *testing.T) {
	for n := strings.Index(line, "Request="); n < strings.Index(line, " Total="); n += 7 {
		all, err := Read(strings.NewReader(line[:n] + "\n" + line + "\n"))
		assert.NilError(t, err, line[:n])
		assert.Equal(t, len(all), 1)
	}
}

// Values with spaces, quotes, separators and line breaks must survive being logged
// and parsed again.
func TestLoggedValuesAreParsedUnchanged(t *testing.T) {
	for _, value := range []string{"plain", "", "two words", `a "quoted" = one`, "line\nbreak"} {
		var b bytes.Buffer
		l, err := logs.New(&b, "info")
		assert.NilError(t, err)
		l.Event("info", "request ended", "Cause", value)
		assert.Equal(t, parseLine(b.Bytes())["Cause"], value)
	}
}
