package e2e

import (
	"bytes"
	"os"
)

// countLines returns the number of lines of a file, 0 if it can't be read.
func countLines(file string) int {
	data, err := os.ReadFile(file)
	if err != nil {
		return 0
	}
	return bytes.Count(data, []byte("\n"))
}
