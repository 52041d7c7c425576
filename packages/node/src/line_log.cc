#include "line_log.h"

#include <fmt/chrono.h>
#include <fmt/format.h>
#include <poll.h>
#include <rapidjson/stringbuffer.h>
#include <rapidjson/writer.h>
#include <unistd.h>

#include <atomic>
#include <cerrno>
#include <chrono>
#include <condition_variable>
#include <mutex>
#include <string>
#include <thread>
#include <utility>

#include "log_limiter.h"
#include "thread_usage.h"

namespace basilspread::node {
namespace {

constexpr std::string_view kPart = "log";
/// A submission logs about five lines in its lifetime. The limit drops none of
/// them at 50 submissions per second, but does bound a flood of rejections.
constexpr LogLimiter::Limits kLimits = {400, 100};
/// Maximum size of the queue; a line has about 200 bytes.
constexpr std::size_t kMaxQueuedBytes = std::size_t{1} << 20U;
/// Lines logged within this time share a write, since each write costs a
/// wake-up and a system call.
constexpr Duration kBatchInterval = std::chrono::milliseconds(100);
constexpr Duration kDroppedReportInterval = std::chrono::seconds(1);
/// Time after which a stop no longer waits for a stalled reader of standard
/// output.
constexpr Duration kStopWriteTimeout = std::chrono::milliseconds(200);

std::string_view NameOf(LogLevel level) {
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

using Writer = rapidjson::Writer<rapidjson::StringBuffer>;

void WriteText(Writer& writer, std::string_view text) {
  writer.String(text.data(), static_cast<rapidjson::SizeType>(text.size()));
}

void WriteField(Writer& writer, const LogField& field) {
  WriteText(writer, field.key);
  if (field.is_literal) {
    writer.RawValue(field.value.data(), field.value.size(),
                    rapidjson::kNumberType);
  } else {
    WriteText(writer, field.value);
  }
}

std::string TimeOfDay() {
  const auto now = std::chrono::time_point_cast<std::chrono::milliseconds>(
      std::chrono::system_clock::now());
  return fmt::format("{:%Y-%m-%dT%H:%M:%S}.{:03}Z",
                     fmt::gmtime(std::chrono::system_clock::to_time_t(now)),
                     now.time_since_epoch().count() % 1000);
}

std::string Format(const LogLine& line, const LogIdentity& identity) {
  rapidjson::StringBuffer buffer;
  Writer writer(buffer);
  writer.StartObject();
  WriteField(writer, {"time", TimeOfDay()});
  WriteField(writer, {"level", NameOf(line.level)});
  WriteField(writer, {"node", identity.node});
  WriteField(writer, {"part", line.part});
  WriteField(writer, {"event", line.message});
  for (const LogField& field : line.fields) {
    WriteField(writer, field);
  }
  writer.EndObject();
  return std::string(buffer.GetString(), buffer.GetSize()) + "\n";
}

/// Queue of the log lines of the process, and the thread that writes them.
class LineWriter {
 public:
  void Start(LogLevel minimum, LogIdentity process) {
    this->level = minimum;
    this->identity = std::move(process);
    this->thread = std::thread([this] { this->Run(); });
  }

  void SetLevel(LogLevel minimum) { this->level = minimum; }

  void Stop() {
    {
      const std::lock_guard lock(this->mutex);
      this->stopping = true;
    }
    this->changed.notify_all();
    if (this->thread.joinable()) {
      this->thread.join();
    }
  }

  void Add(const LogLine& line) {
    if (line.level < this->level) {
      return;
    }
    const std::string kind = fmt::format("{}: {}", line.part, line.message);
    const TimePoint now = std::chrono::steady_clock::now();
    {
      const std::lock_guard lock(this->mutex);
      if (!this->limiter.Admit(kind, now)) {
        return;
      }
    }
    std::string text = Format(line, this->identity);
    const std::lock_guard lock(this->mutex);
    if (this->queued.size() + text.size() > kMaxQueuedBytes) {
      this->limiter.CountDropped(kind);
      return;
    }
    if (this->queued.empty()) {
      this->changed.notify_all();
    }
    this->queued += text;
  }

 private:
  void Run() {
    const NamedThread named("log");
    while (this->WaitForLines()) {
      this->WriteQueued();
    }
    this->WriteQueued();
  }

  /// Waits for lines, and then for more of them to share the write. Returns
  /// false on a stop.
  bool WaitForLines() {
    std::unique_lock lock(this->mutex);
    this->changed.wait(
        lock, [this] { return this->stopping || !this->queued.empty(); });
    this->changed.wait_for(lock, kBatchInterval, [this] {
      return this->stopping || this->queued.size() > kMaxQueuedBytes / 2;
    });
    return !this->stopping;
  }

  void WriteQueued() {
    std::string text;
    {
      const std::lock_guard lock(this->mutex);
      text = std::exchange(this->queued, {}) + this->DescribeDropped();
    }
    std::size_t written = 0;
    while (written < text.size() && this->WaitForOutput()) {
      const ssize_t count =
          write(STDOUT_FILENO, text.data() + written, text.size() - written);
      if (count < 0 && errno != EINTR && errno != EAGAIN) {
        // Standard output is closed, and there is nowhere else to report it.
        return;
      }
      written += count > 0 ? static_cast<std::size_t>(count) : 0;
    }
  }

  /// Waits until standard output is writable. Returns false if the log is
  /// stopping and it does not become so in time.
  bool WaitForOutput() {
    constexpr int kMilliseconds =
        std::chrono::duration_cast<std::chrono::milliseconds>(kStopWriteTimeout)
            .count();
    pollfd output{STDOUT_FILENO, POLLOUT, 0};
    while (poll(&output, 1, kMilliseconds) == 0) {
      const std::lock_guard lock(this->mutex);
      if (this->stopping) {
        return false;
      }
    }
    return true;
  }

  /// Formats the counts of dropped lines. The caller must hold the mutex.
  std::string DescribeDropped() {
    const TimePoint now = std::chrono::steady_clock::now();
    if (now < this->next_dropped_report && !this->stopping) {
      return "";
    }
    this->next_dropped_report = now + kDroppedReportInterval;
    std::string text;
    for (const DroppedLines& lines : this->limiter.TakeDropped()) {
      text +=
          Format({LogLevel::kWarning,
                  kPart,
                  "Log lines were dropped by the rate limit or the full queue.",
                  {{"kind", lines.kind}, {"count", lines.count}}},
                 this->identity);
    }
    return text;
  }

  std::atomic<LogLevel> level = LogLevel::kInfo;
  LogIdentity identity;
  std::mutex mutex;
  std::condition_variable changed;
  std::string queued;
  LogLimiter limiter{kLimits};
  TimePoint next_dropped_report;
  bool stopping = false;
  std::thread thread;
};

LineWriter& GetWriter() {
  // Never destroyed, since threads of libraries may log during process exit.
  static LineWriter& writer = *new LineWriter;
  return writer;
}

}  // namespace

LogSession::LogSession(LogLevel level, const LogIdentity& identity) {
  GetWriter().Start(level, identity);
}

void SetLogLevel(LogLevel level) { GetWriter().SetLevel(level); }

void LogSession::End() { GetWriter().Stop(); }

LogLevel LogLevelNamed(std::string_view name) {
  for (const LogLevel level :
       {LogLevel::kDebug, LogLevel::kWarning, LogLevel::kError}) {
    if (NameOf(level) == name) {
      return level;
    }
  }
  return LogLevel::kInfo;
}

void Log(const LogLine& line) { GetWriter().Add(line); }

void Log(LogLevel level, std::string_view part, std::string_view message,
         std::vector<LogField> fields) {
  GetWriter().Add({level, part, message, std::move(fields)});
}

}  // namespace basilspread::node
