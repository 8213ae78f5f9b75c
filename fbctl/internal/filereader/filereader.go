// Package filereader reads the paths and values of a change from a file: JSON, nested
// or flat, or lines of PATH=VALUE with # for comments.
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

// File is what a file sets.
type File struct {
	Set map[string]json.RawMessage
	// Places tells where each path stands in the file.
	Places map[string]string
}

// Read reads the content of the file called name. Its findings name every place that cannot be read.
func Read(name string, content []byte) (File, configurer.Findings) {
	f := File{Set: map[string]json.RawMessage{}, Places: map[string]string{}}
	if bytes.HasPrefix(bytes.TrimSpace(content), []byte("{")) {
		return f, f.readJSON(name, content)
	}
	return f, f.readLines(name, content)
}

// ValueOf takes a text as JSON when it is, else as a string.
func ValueOf(text string) json.RawMessage {
	if json.Valid([]byte(text)) {
		return json.RawMessage(text)
	}
	raw, _ := json.Marshal(text)
	return raw
}

// Check returns the findings on a change made from the file, with their places in it.
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
		var below map[string]json.RawMessage
		if bytes.HasPrefix(value, []byte("{")) && json.Unmarshal(value, &below) == nil {
			findings = append(findings, f.flatten(name, path+"/", below)...)
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
	if before, ok := f.Places[path]; ok {
		return configurer.Findings{{Path: place + ": " + path, Message: "stands twice, first at " + before}}
	}
	f.Set[path], f.Places[path] = value, place
	return nil
}
