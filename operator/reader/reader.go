package reader

import (
	"errors"
	"fmt"
	"os"
	"path/filepath"
	"regexp"
	"sort"
	"strings"

	"github.com/goccy/go-yaml"

	"celerygap.example/lib/codec"
	"celerygap.example/lib/identifier"
	"celerygap.example/service/editor"
)

// File is the content of a catalogue file.
type File struct {
	// Revision is the catalogue revision on which the author based the file; zero if the file names none.
	Revision identifier.Revision `json:"revision,omitempty"`
	Pools    []codec.Pool        `json:"pools,omitempty"`
	Entries  []codec.Entry       `json:"entries,omitempty"`
}

// Catalogue returns the file's entries and pools as a catalogue.
func (f File) Catalogue() *codec.Catalogue {
	return &codec.Catalogue{Revision: f.Revision, Entries: f.Entries, Pools: f.Pools}
}

// InvalidError reports files that are not a valid catalogue.
type InvalidError struct {
	Path    string
	Message string
}

// Error formats the files and the problems.
func (e *InvalidError) Error() string { return fmt.Sprintf("%s: %s", e.Path, e.Message) }

// Read reads files and folders (their *.yaml and *.yml files) as one catalogue and checks it. It returns an *InvalidError
// if the catalogue is not valid.
func Read(paths []string) (File, error) {
	var merged File
	files, err := expand(paths)
	if err != nil {
		return merged, err
	}
	for _, path := range files {
		part, err := readFile(path)
		if err != nil {
			return merged, err
		}
		if part.Revision != 0 && merged.Revision != 0 && part.Revision != merged.Revision {
			return merged, &InvalidError{Path: path, Message: fmt.Sprintf("field revision: %d differs from %d in another file", part.Revision, merged.Revision)}
		}
		merged.Revision = max(merged.Revision, part.Revision)
		merged.Pools = append(merged.Pools, part.Pools...)
		merged.Entries = append(merged.Entries, part.Entries...)
	}
	if problems := editor.Check(merged.Entries, merged.Pools); len(problems) > 0 {
		return merged, &InvalidError{Path: strings.Join(paths, ", "), Message: editor.Format(problems)}
	}
	return merged, nil
}

func expand(paths []string) ([]string, error) {
	var files []string
	for _, path := range paths {
		info, err := os.Stat(path)
		if err != nil {
			return nil, fmt.Errorf("read catalogue: %w", err)
		}
		if !info.IsDir() {
			files = append(files, path)
			continue
		}
		for _, pattern := range []string{"*.yaml", "*.yml"} {
			found, err := filepath.Glob(filepath.Join(path, pattern))
			if err != nil {
				return nil, fmt.Errorf("list catalogue folder %s: %w", path, err)
			}
			files = append(files, found...)
		}
	}
	sort.Strings(files)
	if len(files) == 0 {
		return nil, errors.New("no catalogue file found; name files, or folders that contain *.yaml or *.yml files")
	}
	return files, nil
}

func readFile(path string) (File, error) {
	text, err := os.ReadFile(path)
	if err != nil {
		return File{}, fmt.Errorf("read catalogue: %w", err)
	}
	return Parse(path, text)
}

// Parse decodes the text of one catalogue file; it does not check references between entries and pools. Path is used in
// error messages only.
func Parse(path string, text []byte) (File, error) {
	var file File
	if err := yaml.UnmarshalWithOptions(text, &file, yaml.Strict()); err != nil {
		return file, &InvalidError{Path: path, Message: describe(text, err)}
	}
	return file, nil
}

// describe formats a decoding error. It adds the line and the field of a malformed duration, because the YAML library
// does not report them for types with an UnmarshalText method.
func describe(text []byte, err error) string {
	var malformed *identifier.DurationError
	if !errors.As(err, &malformed) {
		return yaml.FormatError(err, false, true)
	}
	field := regexp.MustCompile(`(\w+):\s*["']?` + regexp.QuoteMeta(malformed.Text) + `["']?\s*(?:[,}#]|$)`)
	for number, line := range strings.Split(string(text), "\n") {
		if match := field.FindStringSubmatch(line); match != nil {
			return fmt.Sprintf("line %d: field %s: %v", number+1, match[1], malformed)
		}
	}
	return malformed.Error()
}

// Write returns the text of a catalogue file that contains the catalogue.
func Write(catalogue *codec.Catalogue) ([]byte, error) {
	text, err := yaml.Marshal(File{Revision: catalogue.Revision, Pools: catalogue.Pools, Entries: catalogue.Entries})
	if err != nil {
		return nil, fmt.Errorf("write catalogue: %w", err)
	}
	return text, nil
}

var revisionLine = regexp.MustCompile(`(?m)^revision:.*$`)

// SetRevision replaces the revision line of a catalogue file and reports whether it has one.
func SetRevision(path string, revision identifier.Revision) (bool, error) {
	text, err := os.ReadFile(path)
	if err != nil {
		return false, fmt.Errorf("read catalogue: %w", err)
	}
	if !revisionLine.Match(text) {
		return false, nil
	}
	next := revisionLine.ReplaceAll(text, fmt.Appendf(nil, "revision: %d", revision))
	if err := os.WriteFile(path, next, 0o644); err != nil {
		return false, fmt.Errorf("write revision: %w", err)
	}
	return true, nil
}
