package yamlpb

import (
	"strconv"
	"strings"

	"go.yaml.in/yaml/v3"
)

// Locate prefixes message with the position of the field at path, for example
// "services[0].routes[2].name", or of its nearest parent in the document.
func (d *Document) Locate(path, message string) string {
	node := d.root
	if node.Kind == yaml.DocumentNode {
		node = node.Content[0]
	}
	if node.Kind == 0 {
		return d.name + ":1:1: " + message
	}
	for _, step := range splitPath(path) {
		next := child(node, step)
		if next == nil {
			break
		}
		node = next
	}
	return d.withPosition(node, message)
}

// splitPath splits "a[0].b" into "a", "0" and "b".
func splitPath(path string) []string {
	if path == "" {
		return nil
	}
	path = strings.ReplaceAll(path, "[", ".")
	path = strings.ReplaceAll(path, "]", "")
	return strings.Split(path, ".")
}

// child returns the value for a key or the element at an index, or nil.
func child(node *yaml.Node, step string) *yaml.Node {
	switch node.Kind {
	case yaml.MappingNode:
		return valueOf(node, step)
	case yaml.SequenceNode:
		index, err := strconv.Atoi(step)
		if err != nil || index >= len(node.Content) {
			return nil
		}
		return node.Content[index]
	default:
		return nil
	}
}

// valueOf returns the value of a field, which may be given by its schema name or its
// JSON name, or nil.
func valueOf(node *yaml.Node, field string) *yaml.Node {
	for i := 0; i+1 < len(node.Content); i += 2 {
		key := node.Content[i].Value
		if key == field || key == jsonName(field) {
			return node.Content[i+1]
		}
	}
	return nil
}

// jsonName converts a schema name to its JSON name: "deadline_ms" to "deadlineMs".
func jsonName(field string) string {
	parts := strings.Split(field, "_")
	for i := 1; i < len(parts); i++ {
		if parts[i] != "" {
			parts[i] = strings.ToUpper(parts[i][:1]) + parts[i][1:]
		}
	}
	return strings.Join(parts, "")
}
