// Package yamlpb decodes protobuf messages from YAML strictly and locates fields in the
// source, so that each error names the file, line and column.
package yamlpb

import (
	"errors"
	"fmt"
	"regexp"
	"strconv"
	"strings"

	"buf.build/go/protoyaml"
	"go.yaml.in/yaml/v3"
	"google.golang.org/protobuf/proto"
)

// Document is a parsed YAML file.
type Document struct {
	name string
	root *yaml.Node
}

// syntaxErrorLine matches the errors of the YAML parser, which name the line but no
// column.
var syntaxErrorLine = regexp.MustCompile(`^yaml: line (\d+): (.*)$`)

// Unmarshal decodes data into message and returns the document and one line for each
// error: "name:line:column: message". Syntax errors have no column, and no line if the
// parser gives none. Unknown and duplicate keys are errors.
func Unmarshal(name string, data []byte, message proto.Message) (*Document, []string) {
	document := &Document{name: name, root: &yaml.Node{}}
	if err := yaml.Unmarshal(data, document.root); err != nil {
		return document, []string{syntaxError(name, err)}
	}
	if document.root.Kind == 0 {
		return document, nil
	}
	if lines := document.duplicateKeys(document.root); len(lines) > 0 {
		return document, lines
	}
	return document, errorLines(decode(name, data, message))
}

// decode decodes data into message. The library panics on some malformed files when it
// quotes a line past the end; the panic is returned as an error.
func decode(name string, data []byte, message proto.Message) (err error) {
	defer func() {
		if failure := recover(); failure != nil {
			err = fmt.Errorf("%s:1:1 not a mapping of known fields: %v", name, failure)
		}
	}()
	return protoyaml.UnmarshalOptions{Path: name}.Unmarshal(data, message)
}

// zeroBasedLine matches the syntax errors for which the parser counts lines from zero.
var zeroBasedLine = regexp.MustCompile(`^did not find expected ('-' indicator|key|',' or|node content|<)`)

func syntaxError(name string, err error) string {
	match := syntaxErrorLine.FindStringSubmatch(err.Error())
	if match == nil {
		return fmt.Sprintf("%s: %s", name, strings.TrimPrefix(err.Error(), "yaml: "))
	}
	line, _ := strconv.Atoi(match[1])
	if zeroBasedLine.MatchString(match[2]) {
		line++
	}
	return fmt.Sprintf("%s:%d: %s", name, line, match[2])
}

// errorLines returns the first line of err, or of each error joined in it. The lines
// after the first quote the source.
func errorLines(err error) []string {
	if err == nil {
		return nil
	}
	var joined interface{ Unwrap() []error }
	if !errors.As(err, &joined) {
		return []string{errorLine(err)}
	}
	var lines []string
	for _, one := range joined.Unwrap() {
		lines = append(lines, errorLine(one))
	}
	return lines
}

// positionPrefix matches the "file:line:column " before a message.
var positionPrefix = regexp.MustCompile(`^(.*?:\d+:\d+) `)

func errorLine(err error) string {
	line, _, _ := strings.Cut(err.Error(), "\n")
	return positionPrefix.ReplaceAllString(line, "$1: ")
}

// duplicateKeys returns an error line for every duplicate key of the mappings in node.
func (d *Document) duplicateKeys(node *yaml.Node) []string {
	var lines []string
	if node.Kind == yaml.MappingNode {
		seen := map[string]int{}
		for i := 0; i+1 < len(node.Content); i += 2 {
			key := node.Content[i]
			if first, ok := seen[key.Value]; ok {
				lines = append(lines, d.withPosition(key, fmt.Sprintf("key %q is already set on line %d, expected it once", key.Value, first)))
				continue
			}
			seen[key.Value] = key.Line
		}
	}
	for _, child := range node.Content {
		lines = append(lines, d.duplicateKeys(child)...)
	}
	return lines
}

func (d *Document) withPosition(node *yaml.Node, message string) string {
	return fmt.Sprintf("%s:%d:%d: %s", d.name, node.Line, node.Column, message)
}
