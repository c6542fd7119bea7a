package loadgen

import (
	"fmt"

	"github.com/rotisserie/eris"
	"go.yaml.in/yaml/v3"
)

// positions finds the line numbers of the parts of a YAML text.
type positions struct {
	file string
	root *yaml.Node
}

// newPositions parses text. It fails on invalid YAML and on duplicate keys.
func newPositions(file string, text []byte) (*positions, error) {
	document := yaml.Node{}
	if err := yaml.Unmarshal(text, &document); err != nil {
		return nil, eris.Errorf("%s: %v", file, err)
	}
	p := &positions{file: file, root: &document}
	if document.Kind == yaml.DocumentNode {
		p.root = document.Content[0]
	}
	return p, p.checkKeys(p.root)
}

// checkKeys returns an error if a mapping has a duplicate key.
func (p *positions) checkKeys(node *yaml.Node) error {
	seen := map[string]bool{}
	for i, child := range node.Content {
		if node.Kind == yaml.MappingNode && i%2 == 0 {
			if seen[child.Value] {
				return eris.Errorf("%s:%d: %s is there twice", p.file, child.Line, child.Value)
			}
			seen[child.Value] = true
		}
		if err := p.checkKeys(child); err != nil {
			return err
		}
	}
	return nil
}

// locate returns "file:line" of the part at a path of keys and indexes, or of
// the closest enclosing part that exists.
func (p *positions) locate(path ...any) string {
	node := p.root
	for _, key := range path {
		child := childOf(node, key)
		if child == nil {
			break
		}
		node = child
	}
	return fmt.Sprintf("%s:%d", p.file, max(1, node.Line))
}

func childOf(node *yaml.Node, key any) *yaml.Node {
	switch key := key.(type) {
	case int:
		if node.Kind == yaml.SequenceNode && key < len(node.Content) {
			return node.Content[key]
		}
	case string:
		if node.Kind != yaml.MappingNode {
			return nil
		}
		for i := 0; i+1 < len(node.Content); i += 2 {
			if node.Content[i].Value == key {
				return node.Content[i+1]
			}
		}
	}
	return nil
}
