package logger

import (
	"fmt"
	"io"

	"github.com/rs/zerolog"
)

// Format is the form of log lines.
type Format string

// The forms of log lines.
const (
	FormatJSON    Format = "json"
	FormatConsole Format = "console"
)

// Levels lists the names that ParseLevel accepts.
const Levels = "debug, info, warn or error"

// ParseLevel returns the level with the given name and an error for a name that is not in Levels.
func ParseLevel(name string) (zerolog.Level, error) {
	switch name {
	case "debug", "info", "warn", "error":
		return zerolog.ParseLevel(name)
	default:
		return zerolog.NoLevel, fmt.Errorf("log level %q: want %s", name, Levels)
	}
}

// Config configures a logger.
type Config struct {
	Output io.Writer
	Format Format
	Level  zerolog.Level
}

// Logger writes numbered events.
type Logger struct {
	log zerolog.Logger
}

// New returns a logger that adds the current time to each line.
func New(config Config) *Logger {
	out := config.Output
	if config.Format == FormatConsole {
		out = zerolog.ConsoleWriter{Out: config.Output, TimeFormat: "15:04:05.000"}
	}
	return &Logger{log: zerolog.New(out).Level(config.Level).With().Timestamp().Logger()}
}

// Discard returns a logger that writes nothing.
func Discard() *Logger { return &Logger{log: zerolog.Nop()} }

// With returns a logger that adds one field to each line.
func (l *Logger) With(key, value string) *Logger {
	return &Logger{log: l.log.With().Str(key, value).Logger()}
}

// Info starts an information line for an event; finish it with Msg or Send.
func (l *Logger) Info(event Event) *zerolog.Event {
	return annotate(l.log.Info(), event)
}

// Warn starts a warning line for an event; finish it with Msg or Send.
func (l *Logger) Warn(event Event) *zerolog.Event {
	return annotate(l.log.Warn(), event)
}

// Error starts an error line for an event; finish it with Msg or Send.
func (l *Logger) Error(event Event) *zerolog.Event {
	return annotate(l.log.Error(), event)
}

func annotate(line *zerolog.Event, event Event) *zerolog.Event {
	return line.Int("event", int(event)).Str("title", titles[event])
}

var titles = indexTitles()

func indexTitles() map[Event]string {
	m := make(map[Event]string, len(Catalogue))
	for _, entry := range Catalogue {
		m[entry.Event] = entry.Title
	}
	return m
}
