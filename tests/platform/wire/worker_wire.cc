#include "platform/wire/worker_wire.h"

#include <Poco/NumberParser.h>
#include <Poco/StringTokenizer.h>
#include <fmt/format.h>

#include "http_message.h"
#include "json.h"
#include "platform/wire/body.h"

namespace standin::wire {
namespace {

namespace json = basilspread::adapter::json;

constexpr int kOk = 200;
constexpr int kTooManyRequests = 429;

/// Unset for another form than ID.0.STEP.INDEX.
std::optional<RunName> ReadRun(const json::Value& object) {
  const auto text = json::FindText(object, "task");
  const auto run = json::FindCount(object, "run");
  if (!text || !run) {
    return std::nullopt;
  }
  const Poco::StringTokenizer parts(*text, ".");
  constexpr std::size_t kParts = 4;
  RunName name;
  unsigned occurrence = 0;
  const bool is_valid =
      parts.count() == kParts &&
      Poco::NumberParser::tryParseUnsigned(parts[1], occurrence) &&
      Poco::NumberParser::tryParseUnsigned(parts[2], name.task.step) &&
      Poco::NumberParser::tryParseUnsigned(parts[3], name.task.index);
  if (!is_valid || occurrence != 0) {
    return std::nullopt;
  }
  name.task.id = parts[0];
  name.run = static_cast<std::uint32_t>(*run);
  return name;
}

std::optional<WorkerTime> LeaseOf(const json::Value& object) {
  const auto until = json::FindCount(object, "deadlineMs");
  return until ? std::optional(WorkerTime(static_cast<std::int64_t>(*until)))
               : std::nullopt;
}

std::optional<WorkerOrder> ReadLook(const json::Value& object) {
  LookOrder order;
  order.fence = json::FindCount(object, "fencingToken").value_or(0);
  order.noted = json::FindCount(object, "ackedThrough").value_or(0);
  order.lease_until = LeaseOf(object);
  order.wait = std::chrono::milliseconds(
      static_cast<std::int64_t>(json::FindCount(object, "waitMs").value_or(0)));
  return order;
}

std::string TaskText(const RunName& name) {
  return fmt::format("{}.0.{}.{}", name.task.id, name.task.step,
                     name.task.index);
}

}  // namespace

std::string ExpectedWorker(const basilspread::Payload& request) {
  return std::string(basilspread::node::HeaderOf(request, "Expect-Instance"));
}

std::optional<WorkerOrder> ReadOrder(const basilspread::Payload& request) {
  const auto object = json::ParseObject(request.body);
  if (!object || request.method != "POST") {
    return std::nullopt;
  }
  if (request.target == "/v1/hold") {
    return ReadLook(*object);
  }
  const auto run = ReadRun(*object);
  const std::uint64_t fence =
      json::FindCount(*object, "fencingToken").value_or(0);
  if (!run) {
    return std::nullopt;
  }
  if (request.target == "/v1/run-stop") {
    return StopOrder{*run, fence};
  }
  const auto lease = LeaseOf(*object);
  if (request.target != "/v1/run-start" || !lease) {
    return std::nullopt;
  }
  return StartOrder{*run,
                    json::FindText(*object, "specification").value_or(""),
                    json::FindText(*object, "lastCheckpoint").value_or(""),
                    json::FindText(*object, "ticket").value_or(""),
                    fence,
                    *lease};
}

PayloadPtr MakeWorkerAnswer(const WorkerAnswer& answer) {
  std::vector<std::string> running;
  for (const ListedRun& run : answer.running) {
    running.push_back(fmt::format(R"(["{}",{},"{}",{},0])", TaskText(run.run),
                                  run.run.run, run.checkpoint, run.percent));
  }
  std::vector<std::string> ended;
  for (const ListedEnd& end : answer.ended) {
    ended.push_back(fmt::format(R"([{},"{}",{},"{}","{}"])", end.number,
                                TaskText(end.run), end.run.run, NameOf(end.end),
                                end.checkpoint));
  }
  return basilspread::node::MakeJsonResponse(
      answer.status,
      fmt::format(R"({{"clockMs":{},"born":{}{}{}}})", answer.clock.count(),
                  answer.born,
                  answer.reason.empty()
                      ? ""
                      : fmt::format(R"(,"reason":"{}")", answer.reason),
                  answer.has_lists
                      ? fmt::format(R"(,"running":{},"endedRuns":{})",
                                    ListOf(running), ListOf(ended))
                      : ""));
}

std::optional<AdviceQuestion> ReadQuestion(
    const basilspread::Payload& request) {
  const auto object = json::ParseObject(request.body);
  const auto step = object ? json::FindText(*object, "step") : std::nullopt;
  const json::Value* workers =
      object ? json::Find(*object, "workers") : nullptr;
  if (!step || workers == nullptr || !workers->IsArray()) {
    return std::nullopt;
  }
  AdviceQuestion question;
  question.step = *step;
  for (const json::Value& worker : workers->GetArray()) {
    if (worker.IsString()) {
      question.workers.emplace_back(worker.GetString());
    }
  }
  return question;
}

PayloadPtr MakeAdvice(const Advice& advice) {
  if (advice.is_refused) {
    return basilspread::node::MakeJsonResponse(kTooManyRequests, "{}");
  }
  std::vector<std::string> rows;
  for (const auto& [worker, ticket] : advice.tickets) {
    rows.push_back(fmt::format(R"(["{}","{}"])", worker, ticket));
  }
  return basilspread::node::MakeJsonResponse(
      kOk, fmt::format(R"({{"good":{},"validityMs":{}}})", ListOf(rows),
                       ToMilliseconds(advice.validity)));
}

}  // namespace standin::wire
