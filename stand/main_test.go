package stand

import (
	"os"
	"testing"
)

// TestMain starts fasthttp's background goroutines outside any synctest bubble.
func TestMain(m *testing.M) {
	if err := StartBackgroundTasks(); err != nil {
		panic(err)
	}
	os.Exit(m.Run())
}
