/// \file
/// JSON log lines on Boost.Log.

#include "teaselhill/support/logger.h"

#include <boost/log/attributes/value_extraction.hpp>
#include <boost/log/core.hpp>
#include <boost/log/expressions.hpp>
#include <boost/log/sinks/async_frontend.hpp>
#include <boost/log/sinks/basic_sink_backend.hpp>
#include <boost/log/sinks/bounded_fifo_queue.hpp>
#include <boost/log/sinks/drop_on_overflow.hpp>
#include <boost/log/sources/logger.hpp>
#include <boost/log/sources/record_ostream.hpp>
#include <boost/smart_ptr/make_shared_object.hpp>

#include <limits.h>
#include <poll.h>
#include <unistd.h>

#include <algorithm>
#include <atomic>
#include <charconv>
#include <cmath>

#include "teaselhill/support/text.h"

namespace teaselhill {

namespace logging = boost::log;

static std::string_view LevelName(LogLevel level) {
  switch (level) {
    case LogLevel::kDebug:
      return "debug";
    case LogLevel::kInfo:
      return "info";
    case LogLevel::kWarning:
      return "warning";
    case LogLevel::kError:
      return "error";
  }
  return "info";
}

void AppendJsonString(std::string_view value, std::string* out) {
  static constexpr char kDigits[] = "0123456789abcdef";
  out->push_back('"');
  while (!value.empty()) {
    const size_t length = Utf8CharacterBytes(value);
    const char c = value[0];
    if (length == 0) {
      out->append("\\ufffd");
      value.remove_prefix(1);
      continue;
    }
    if (length > 1) {
      out->append(value.substr(0, length));
      value.remove_prefix(length);
      continue;
    }
    if (c == '"' || c == '\\') {
      out->push_back('\\');
      out->push_back(c);
    } else if (c == '\n') {
      out->append("\\n");
    } else if (static_cast<unsigned char>(c) < 0x20) {
      out->append("\\u00");
      out->push_back(kDigits[c >> 4]);
      out->push_back(kDigits[c & 15]);
    } else {
      out->push_back(c);
    }
    value.remove_prefix(1);
  }
  out->push_back('"');
}

LogLine::LogLine(LogLevel level, std::string_view event) : level_(level) {
  text_ = "{\"event\":";
  AppendJsonString(event, &text_);
  Field("level", LevelName(level));
}

void LogLine::Name(std::string_view name) {
  text_.push_back(',');
  AppendJsonString(name, &text_);
  text_.push_back(':');
}

LogLine& LogLine::Field(std::string_view name, std::string_view value) {
  Name(name);
  AppendJsonString(value, &text_);
  return *this;
}

LogLine& LogLine::Field(std::string_view name, const char* value) {
  return Field(name, std::string_view(value));
}

LogLine& LogLine::Field(std::string_view name, int64_t value) {
  return RawField(name, std::to_string(value));
}

LogLine& LogLine::Field(std::string_view name, uint64_t value) {
  return RawField(name, std::to_string(value));
}

LogLine& LogLine::Field(std::string_view name, int value) {
  return RawField(name, std::to_string(value));
}

LogLine& LogLine::Field(std::string_view name, double value) {
  if (!std::isfinite(value))
    return RawField(name, "null");
  char text[32];
  const auto end = std::to_chars(text, text + sizeof(text), value,
                                 std::chars_format::general, 6);
  return RawField(name, std::string_view(text, end.ptr - text));
}

LogLine& LogLine::Field(std::string_view name, bool value) {
  return RawField(name, value ? "true" : "false");
}

LogLine& LogLine::Field(std::string_view name, Duration value) {
  return Field(name, ToMilliseconds(value));
}

LogLine& LogLine::RawField(std::string_view name, std::string_view json) {
  Name(name);
  text_.append(json);
  return *this;
}

namespace {

/// Lines that wait for the output at most; beyond it lines are dropped.
constexpr size_t kQueuedLines = 16384;

/// A reader that takes nothing for this long does not hold up the exit: the
/// lines that still wait are lost.
constexpr int kExitFlushMilliseconds = 500;

std::atomic<uint64_t> dropped_lines{0};

/// Counts what the bounded queue drops.
class CountingDrop : public logging::sinks::drop_on_overflow {
 public:
  template <typename Lock>
  static bool on_overflow(const logging::record_view& record, Lock& lock) {
    dropped_lines.fetch_add(1, std::memory_order_relaxed);
    return drop_on_overflow::on_overflow(record, lock);
  }
};

/// Writes formatted lines to standard output on the sink's own thread.
class OutputBackend : public logging::sinks::basic_formatted_sink_backend<
                          char,
                          logging::sinks::synchronized_feeding> {
 public:
  void consume(const logging::record_view& record,
               const std::string& formatted) {
    std::string line = formatted + "\n";
    std::string_view rest = line;
    while (!rest.empty()) {
      if (!WaitUntilWritable())
        return;
      // A pipe that is writable takes this much without blocking.
      const size_t size = std::min<size_t>(rest.size(), PIPE_BUF);
      const ssize_t written = ::write(STDOUT_FILENO, rest.data(), size);
      if (written <= 0)
        return;
      rest.remove_prefix(static_cast<size_t>(written));
    }
  }

  void StopSoon() { stopping_ = true; }

 private:
  /// Returns false when the process ends while nobody reads the output. All
  /// further lines are lost then, or each of them would wait.
  bool WaitUntilWritable() {
    while (!abandoned_) {
      pollfd output{STDOUT_FILENO, POLLOUT, 0};
      if (::poll(&output, 1, kExitFlushMilliseconds) > 0)
        return true;
      abandoned_ = stopping_;
    }
    return false;
  }

  std::atomic<bool> stopping_{false};
  bool abandoned_ = false;
};

using AsyncSink = logging::sinks::asynchronous_sink<
    OutputBackend,
    logging::sinks::bounded_fifo_queue<kQueuedLines, CountingDrop>>;

}  // namespace

class JsonLogger::Sink {
 public:
  Sink()
      : backend_(boost::make_shared<OutputBackend>()),
        sink_(boost::make_shared<AsyncSink>(backend_)) {
    sink_->set_formatter(logging::expressions::stream
                         << logging::expressions::smessage);
    logging::core::get()->add_sink(sink_);
  }

  ~Sink() {
    logging::core::get()->remove_sink(sink_);
    backend_->StopSoon();
    sink_->stop();
    sink_->flush();
  }

  void Write(const std::string& line) {
    logging::record record = source_.open_record();
    if (!record)
      return;
    logging::record_ostream stream(record);
    stream << line;
    stream.flush();
    source_.push_record(std::move(record));
  }

 private:
  boost::shared_ptr<OutputBackend> backend_;
  boost::shared_ptr<AsyncSink> sink_;
  logging::sources::logger_mt source_;
};

JsonLogger::JsonLogger(std::string_view process, LogLevel minimum)
    : process_(process), minimum_(minimum), sink_(std::make_unique<Sink>()) {}

JsonLogger::~JsonLogger() = default;

void JsonLogger::Write(const LogLine& line) {
  if (line.level() < minimum_)
    return;
  LogLine complete = line;
  complete.Field("process", process_);
  complete.Field("time_ms",
                 static_cast<int64_t>(WallNow().time_since_epoch().count()));
  sink_->Write(complete.Finish());
}

uint64_t JsonLogger::dropped() const {
  return dropped_lines.load(std::memory_order_relaxed);
}

}  // namespace teaselhill
