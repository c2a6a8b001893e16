package setting

import (
	"io"
	"reflect"

	"github.com/go-logr/logr"
	"github.com/go-logr/zapr"
	"go.uber.org/zap"
	"go.uber.org/zap/zapcore"
)

// Log holds the settings of the logger.
type Log struct {
	Level  string `long:"log-level" env:"HIBISCUSROUTE_LOG_LEVEL" default:"info" description:"least severe level that is logged: debug, info or error"`
	Format string `long:"log-format" env:"HIBISCUSROUTE_LOG_FORMAT" default:"json" description:"form of the log: json or console"`
}

var levels = map[string]zapcore.Level{
	"debug": zapcore.DebugLevel, "info": zapcore.InfoLevel, "error": zapcore.ErrorLevel,
}

func (l *Log) check(f *faults) {
	settings := f.settingsType
	f.settingsType = reflect.TypeFor[Log]()
	defer func() { f.settingsType = settings }()
	if _, ok := levels[l.Level]; !ok {
		f.addFault("Level", "must be debug, info or error, is %q", l.Level)
	}
	if l.Format != "json" && l.Format != "console" {
		f.addFault("Format", "must be json or console, is %q", l.Format)
	}
}

// Logger returns a logger that writes to w; verbosity 1 is the debug level. It expects settings that were checked.
func (l *Log) Logger(w io.Writer) logr.Logger {
	cfg := zap.NewProductionEncoderConfig()
	cfg.TimeKey, cfg.EncodeTime = "time", zapcore.RFC3339NanoTimeEncoder
	encoder := zapcore.NewJSONEncoder(cfg)
	if l.Format == "console" {
		encoder = zapcore.NewConsoleEncoder(cfg)
	}
	return zapr.NewLogger(zap.New(zapcore.NewCore(encoder, zapcore.Lock(zapcore.AddSync(w)), levels[l.Level])))
}
