package harness

import (
	"encoding/json"
	"os"
	"regexp"
	"strings"
)

// Settings are the settings of a process: texts, and tables with texts.
type Settings map[string]any

// find returns the value of a name with dots.
func (s Settings) find(name string) (any, bool) {
	key, rest, nested := strings.Cut(name, ".")
	value, ok := s[key]
	if !ok || !nested {
		return value, ok
	}
	switch table := value.(type) {
	case Settings:
		return table.find(rest)
	case map[string]string:
		text, ok := table[rest]
		return text, ok
	}
	return nil, false
}

// Lines returns the settings file, with lines of the form a.b=value.
func (s Settings) Lines(prefix string) []string {
	var lines []string
	for key, value := range s {
		switch v := value.(type) {
		case string:
			lines = append(lines, prefix+key+"="+v)
		case map[string]string:
			for name, text := range v {
				lines = append(lines, prefix+key+"."+name+"="+text)
			}
		case Settings:
			lines = append(lines, v.Lines(prefix+key+".")...)
		}
	}
	return lines
}

var (
	section     = regexp.MustCompile(`\{\{#([a-z_.]+)\}\}(.*?)\{\{/[a-z_.]+\}\}`)
	placeholder = regexp.MustCompile(`\{\{([a-z_.]+)(\|json)?\}\}`)
)

// render fills in the words of a command, as DEPLOY.md says.
func render(command string, settings Settings) []string {
	command = section.ReplaceAllStringFunc(command, func(found string) string {
		match := section.FindStringSubmatch(found)
		if value, ok := settings.find(match[1]); !ok || value == "" || value == "false" {
			return ""
		}
		return match[2]
	})
	var words []string
	for word := range strings.FieldsSeq(command) {
		words = append(words, placeholder.ReplaceAllStringFunc(word, func(found string) string {
			match := placeholder.FindStringSubmatch(found)
			value, _ := settings.find(match[1])
			if match[2] != "" {
				text, _ := json.Marshal(value)
				return string(text)
			}
			text, _ := value.(string)
			return text
		}))
	}
	return words
}

// frontCommand returns the command of the role that serves clients in the deploy file.
func frontCommand() (string, error) {
	text, err := os.ReadFile("deploy/system.toml")
	if err != nil {
		return "", err
	}
	inRole := false
	for line := range strings.Lines(string(text)) {
		line = strings.TrimSpace(line)
		if strings.HasPrefix(line, "[") {
			inRole = line == "[roles.front]"
		}
		if run, ok := strings.CutPrefix(line, `run = "`); ok && inRole {
			return strings.TrimSuffix(run, `"`), nil
		}
	}
	return "", os.ErrNotExist
}
