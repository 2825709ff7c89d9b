package daemon

import (
	"encoding/json"
	"testing"
)

// The decoder names Go types in its errors, which are the body of the answer to an invalid heartbeat.
func TestHeartbeatDecodeErrorTexts(t *testing.T) {
	for body, want := range map[string]string{
		`[]`:             "json: cannot unmarshal array into Go value of type weave.report",
		`{"Endpoint":5}`: "json: cannot unmarshal number into Go struct field report.Endpoint of type string",
		`{`:              "unexpected end of JSON input",
	} {
		var r report
		err := json.Unmarshal([]byte(body), &r)
		if err == nil || stableDecodeError(err).Error() != want {
			t.Errorf("%s: %v, want %s", body, err, want)
		}
	}
}
