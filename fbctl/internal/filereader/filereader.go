// Package filereader parses files that contain the paths and values of a configuration change. A file
// is either a nested or flat JSON object, or lines of PATH=VALUE in which # starts a comment line.
package filereader

import (
	"bytes"
	"encoding/json"
	"fmt"
	"maps"
	"slices"
	"strings"

	"fuchsiabridge.example/common/configurer"
)

// File is the parsed content of a file.
type File struct {
	// Set maps paths to values.
	Set map[string]json.RawMessage
	// Places maps each path to its file name and, in files of lines, its line number.
	Places map[string]string
}

// Read parses the content of the file called name. The findings list all places that cannot be parsed.
func Read(name string, content []byte) (File, configurer.Findings) {
	f := File{Set: map[string]json.RawMessage{}, Places: map[string]string{}}
	if bytes.HasPrefix(bytes.TrimSpace(content), []byte("{")) {
		return f, f.readJSON(name, content)
	}
	return f, f.readLines(name, content)
}

// ValueOf returns text unchanged if it is valid JSON, and encoded as a JSON string otherwise.
func ValueOf(text string) json.RawMessage {
	if json.Valid([]byte(text)) {
		return json.RawMessage(text)
	}
	raw, _ := json.Marshal(text)
	return raw
}

// Check validates a change made from the file and returns the findings with their places in the file.
func (f File) Check(c configurer.Change) configurer.Findings {
	findings := configurer.Check(c)
	for i, finding := range findings {
		if place, ok := f.Places[finding.Path]; ok {
			findings[i].Path = place + ": " + finding.Path
		}
	}
	return findings
}

func (f File) readJSON(name string, content []byte) configurer.Findings {
	var tree map[string]json.RawMessage
	if err := json.Unmarshal(content, &tree); err != nil {
		return configurer.Findings{{Path: name, Message: err.Error()}}
	}
	return f.flatten(name, "", tree)
}

func (f File) flatten(name, prefix string, tree map[string]json.RawMessage) configurer.Findings {
	var findings configurer.Findings
	for _, key := range slices.Sorted(maps.Keys(tree)) {
		path, value := prefix+key, tree[key]
		var object map[string]json.RawMessage
		if bytes.HasPrefix(value, []byte("{")) && json.Unmarshal(value, &object) == nil {
			findings = append(findings, f.flatten(name, path+"/", object)...)
			continue
		}
		findings = append(findings, f.add(path, value, name)...)
	}
	return findings
}

func (f File) readLines(name string, content []byte) configurer.Findings {
	var findings configurer.Findings
	for n, line := range strings.Split(string(content), "\n") {
		line = strings.TrimSpace(line)
		if line == "" || strings.HasPrefix(line, "#") {
			continue
		}
		place := fmt.Sprintf("%s:%d", name, n+1)
		path, value, ok := strings.Cut(line, "=")
		if !ok {
			findings = append(findings, configurer.Finding{Path: place, Message: "must be PATH=VALUE"})
			continue
		}
		findings = append(findings, f.add(strings.TrimSpace(path), ValueOf(strings.TrimSpace(value)), place)...)
	}
	return findings
}

func (f File) add(path string, value json.RawMessage, place string) configurer.Findings {
	if first, ok := f.Places[path]; ok {
		return configurer.Findings{{Path: place + ": " + path, Message: "duplicate path, first set at " + first}}
	}
	f.Set[path], f.Places[path] = value, place
	return nil
}
