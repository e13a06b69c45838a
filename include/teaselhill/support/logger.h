/// \file
/// Structured logging: one JSON object a line.

#ifndef TEASELHILL_SUPPORT_LOGGER_H_
#define TEASELHILL_SUPPORT_LOGGER_H_

#include <cstdint>
#include <memory>
#include <string>
#include <string_view>

#include "teaselhill/support/time.h"

namespace teaselhill {

enum class LogLevel { kDebug, kInfo, kWarning, kError };

/// Builds one log line. Field names are snake_case; durations are written in
/// milliseconds with the suffix `_ms` in the field's name.
class LogLine {
 public:
  LogLine(LogLevel level, std::string_view event);

  LogLine& Field(std::string_view name, std::string_view value);
  LogLine& Field(std::string_view name, const char* value);
  LogLine& Field(std::string_view name, int64_t value);
  LogLine& Field(std::string_view name, uint64_t value);
  LogLine& Field(std::string_view name, int value);
  LogLine& Field(std::string_view name, double value);
  LogLine& Field(std::string_view name, bool value);
  LogLine& Field(std::string_view name, Duration value);

  /// Adds `json`, which must be a valid JSON value, as it is.
  LogLine& RawField(std::string_view name, std::string_view json);

  LogLevel level() const { return level_; }

  /// Returns the finished object without a line break.
  std::string Finish() const { return text_ + "}"; }

 private:
  void Name(std::string_view name);

  LogLevel level_;
  std::string text_;
};

/// Appends `value` to `out` as a quoted JSON string; invalid UTF-8 bytes are
/// replaced.
void AppendJsonString(std::string_view value, std::string* out);

/// Receives log lines from any thread and never blocks its caller.
class Logger {
 public:
  virtual ~Logger() = default;
  virtual void Write(const LogLine& line) = 0;
};

/// Discards everything; for tests.
class NullLogger : public Logger {
 public:
  void Write(const LogLine& line) override {}
};

/// Writes lines of at least `minimum` to standard output through Boost.Log. A
/// full pipe drops lines and counts them instead of blocking.
class JsonLogger : public Logger {
 public:
  JsonLogger(std::string_view process, LogLevel minimum);
  ~JsonLogger() override;
  void Write(const LogLine& line) override;

  /// Lines dropped so far because the output did not keep up.
  uint64_t dropped() const;

 private:
  class Sink;
  std::string process_;
  LogLevel minimum_;
  std::unique_ptr<Sink> sink_;
};

}  // namespace teaselhill

#endif  // TEASELHILL_SUPPORT_LOGGER_H_
