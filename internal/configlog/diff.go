package configlog

import (
	"fmt"
	"slices"
	"strings"

	"google.golang.org/protobuf/reflect/protoreflect"

	"github.com/egretfield/egretfield/internal/apikey"
	"github.com/egretfield/egretfield/internal/pb"
)

// maxChanges is the greatest number of changes listed in one audit entry.
const maxChanges = 40

// diff returns the fields that differ between two states, sorted by path, and the
// number of those omitted over maxChanges.
func diff(before, after *pb.ConfigState) ([]*pb.Change, uint32) {
	old := flatten(before)
	updated := flatten(after)
	var changes []*pb.Change
	for _, path := range sortedPaths(old, updated) {
		if old[path] != updated[path] {
			changes = append(changes, &pb.Change{
				Path:   truncate(path),
				Before: truncate(old[path]),
				After:  truncate(updated[path]),
			})
		}
	}
	if len(changes) <= maxChanges {
		return changes, 0
	}
	return changes[:maxChanges], uint32(len(changes) - maxChanges)
}

// sortedPaths returns the keys of both maps in sorted order.
func sortedPaths(a, b map[string]string) []string {
	var all []string
	for path := range a {
		all = append(all, path)
	}
	for path := range b {
		if _, ok := a[path]; !ok {
			all = append(all, path)
		}
	}
	slices.Sort(all)
	return all
}

// flatten returns the values of a state by path.
func flatten(state *pb.ConfigState) map[string]string {
	values := map[string]string{}
	if state.GetPreset() != "" {
		values["preset"] = state.GetPreset()
	}
	if len(state.GetDraining()) > 0 {
		values["draining"] = strings.Join(state.GetDraining(), ", ")
	}
	if evacuated := Evacuated(state); len(evacuated) > 0 {
		values["evacuated"] = strings.Join(evacuated, ", ")
	}
	if state.GetConfig() != nil {
		flattenMessage(values, "config", state.GetConfig().ProtoReflect())
	}
	return values
}

func flattenMessage(values map[string]string, path string, message protoreflect.Message) {
	message.Range(func(field protoreflect.FieldDescriptor, value protoreflect.Value) bool {
		at := path + "." + string(field.Name())
		switch {
		case field.IsList() && field.Message() != nil:
			flattenList(values, at, value.List())
		case isAPIKeys(field):
			values[at] = joinKeys(value.List())
		case field.IsList():
			values[at] = joinList(value.List())
		case field.Message() != nil:
			flattenMessage(values, at, value.Message())
		default:
			values[at] = scalarText(field, value)
		}
		return true
	})
}

// flattenList uses the name or service of an element as its key, if it has one, so
// that an inserted element doesn't change the paths of the others.
func flattenList(values map[string]string, path string, list protoreflect.List) {
	for i := range list.Len() {
		element := list.Get(i).Message()
		key := elementKey(element)
		if key == "" {
			key = fmt.Sprint(i)
		}
		flattenMessage(values, path+"["+key+"]", element)
	}
}

// elementKey returns the name or service of an element, or "" if it has neither.
func elementKey(element protoreflect.Message) string {
	for _, name := range []protoreflect.Name{"name", "service"} {
		if field := element.Descriptor().Fields().ByName(name); field != nil {
			return element.Get(field).String()
		}
	}
	return ""
}

// isAPIKeys reports whether a field has the API keys of an organisation, which nothing
// may show.
func isAPIKeys(field protoreflect.FieldDescriptor) bool {
	return field.FullName() == apiKeysField
}

var apiKeysField = (&pb.Organisation{}).ProtoReflect().Descriptor().Fields().ByName("api_keys").FullName()

// joinKeys returns the digests of API keys.
func joinKeys(list protoreflect.List) string {
	parts := make([]string, 0, list.Len())
	for i := range list.Len() {
		parts = append(parts, apikey.Shown(list.Get(i).String()))
	}
	return strings.Join(parts, ", ")
}

func joinList(list protoreflect.List) string {
	parts := make([]string, 0, list.Len())
	for i := range list.Len() {
		parts = append(parts, list.Get(i).String())
	}
	return strings.Join(parts, ", ")
}

func scalarText(field protoreflect.FieldDescriptor, value protoreflect.Value) string {
	if field.Enum() == nil {
		return value.String()
	}
	if named := field.Enum().Values().ByNumber(value.Enum()); named != nil {
		return string(named.Name())
	}
	return fmt.Sprint(value.Enum())
}
