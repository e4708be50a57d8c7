package stand

import (
	"os"
	"testing"
)

// TestMain starts the HTTP library's lasting tasks outside any bubble.
func TestMain(m *testing.M) {
	if err := StartBackgroundTasks(); err != nil {
		panic(err)
	}
	os.Exit(m.Run())
}
