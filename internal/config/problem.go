package config

import "fmt"

// Problem is one violation of the rules for a configuration.
type Problem struct {
	// Path is the path of the field, for example
	// "services[0].routes[2].deadline_ms"; empty for the whole configuration.
	Path string
	// Message describes what was found and what was expected.
	Message string
}

// String returns "path: message".
func (p Problem) String() string {
	if p.Path == "" {
		return p.Message
	}
	return p.Path + ": " + p.Message
}

// checker collects problems.
type checker struct {
	problems []Problem
}

func (c *checker) addf(path, format string, args ...any) {
	c.problems = append(c.problems, Problem{Path: path, Message: fmt.Sprintf(format, args...)})
}

// checkMax adds a problem if value is above limit.
func (c *checker) checkMax(path string, value, limit uint64, unit string) {
	if value > limit {
		c.addf(path, "got %d, expected at most %d %s", value, limit, unit)
	}
}

// checkUnique adds a problem if name is in seen, which maps each name to the path of
// its first use, and otherwise adds it there.
func (c *checker) checkUnique(path, name string, seen map[string]string) {
	if first, ok := seen[name]; ok {
		c.addf(path, "%q is already used at %s, expected a unique name", name, first)
		return
	}
	seen[name] = path
}
