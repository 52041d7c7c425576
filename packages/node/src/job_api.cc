#include "job_api.h"

#include <Poco/Exception.h>
#include <Poco/JSON/Array.h>
#include <Poco/JSON/Object.h>
#include <Poco/JSON/Parser.h>
#include <Poco/URI.h>

#include <algorithm>
#include <cctype>
#include <sstream>
#include <string>
#include <utility>
#include <vector>

#include "basilspread/config/reader.h"
#include "http_message.h"

namespace basilspread::node {
namespace {

using Poco::JSON::Array;
using Poco::JSON::Object;

constexpr std::string_view kPrefix = "/jobs";
constexpr Duration kCallTimeout = std::chrono::seconds(5);
constexpr Duration kDefaultWait = std::chrono::seconds(20);
constexpr std::size_t kMaxIdLength = 128;
constexpr std::size_t kMaxGroups = 64;
constexpr std::int32_t kMaxPriority = 1000;
constexpr std::uint32_t kMaxAttemptsLimit = 100;
constexpr std::int64_t kMaxAmount = 1'000'000'000;
constexpr int kOk = 200;

Error BadRequest(std::string detail) {
  return Error{ErrorKind::kBadRequest, std::move(detail)};
}

bool IsIdCharacter(char character) {
  const auto byte = static_cast<unsigned char>(character);
  return std::isalnum(byte) != 0 || character == '-' || character == '_' ||
         character == '.';
}

bool IsJobId(const std::string& id) {
  return id.size() <= kMaxIdLength &&
         std::all_of(id.begin(), id.end(), IsIdCharacter);
}

/// Reads an integer in [low, high]; `fallback` if the key is absent.
/// Errors: kBadRequest.
Result<std::int64_t> ReadNumber(const Object& object, const std::string& key,
                                std::int64_t low, std::int64_t high,
                                std::int64_t fallback) {
  if (!object.has(key)) {
    return fallback;
  }
  const auto value = object.get(key);
  if (!value.isInteger()) {
    return BadRequest(key + " is not a whole number");
  }
  const auto number = value.convert<std::int64_t>();
  if (number < low || number > high) {
    return BadRequest(key + " is not between " + std::to_string(low) + " and " +
                      std::to_string(high));
  }
  return number;
}

/// Reads a string; empty if the key is absent. Errors: kBadRequest.
Result<std::string> ReadText(const Object& object, const std::string& key) {
  if (!object.has(key)) {
    return std::string();
  }
  const auto value = object.get(key);
  if (!value.isString()) {
    return BadRequest(key + " is not a text");
  }
  return value.convert<std::string>();
}

/// Reads a boolean; false if the key is absent. Errors: kBadRequest.
Result<bool> ReadFlag(const Object& object, const std::string& key) {
  if (!object.has(key)) {
    return false;
  }
  const auto value = object.get(key);
  if (!value.isBoolean()) {
    return BadRequest(key + " is not true or false");
  }
  return value.convert<bool>();
}

/// Reads a duration; zero if the key is absent. Errors: kBadRequest.
Result<Duration> ReadDuration(const Object& object, const std::string& key) {
  if (!object.has(key)) {
    return Duration::zero();
  }
  BOOST_OUTCOME_TRY(text, ReadText(object, key));
  const auto duration = config::ParseDuration(text);
  if (!duration) {
    return BadRequest(key + " is not a duration such as 500ms or 2s");
  }
  return *duration;
}

/// Errors: kBadRequest.
Result<TaskGroup> ReadGroup(const Object& object) {
  TaskGroup group;
  BOOST_OUTCOME_TRY(count, ReadNumber(object, "count", 1, kMaxTasksPerJob, 1));
  BOOST_OUTCOME_TRY(cpu,
                    ReadNumber(object, "cpu_millicores", 0, kMaxAmount, 0));
  BOOST_OUTCOME_TRY(memory,
                    ReadNumber(object, "memory_mebibytes", 0, kMaxAmount, 0));
  BOOST_OUTCOME_TRY(accelerators,
                    ReadNumber(object, "accelerators", 0, kMaxAmount, 0));
  group.count = static_cast<std::uint32_t>(count);
  group.demand = Resources{cpu, memory, accelerators};
  return group;
}

/// Errors: kBadRequest.
Result<std::vector<TaskGroup>> ReadGroups(const Object& object) {
  const Array::Ptr list = object.getArray("tasks");
  if (list.isNull() || list->size() == 0 || list->size() > kMaxGroups) {
    return BadRequest("tasks is not a list of 1 to 64 groups");
  }
  std::vector<TaskGroup> groups;
  std::uint32_t total = 0;
  for (unsigned i = 0; i < list->size(); ++i) {
    const Object::Ptr item = list->getObject(i);
    if (item.isNull()) {
      return BadRequest("a group of tasks is not an object");
    }
    BOOST_OUTCOME_TRY(group, ReadGroup(*item));
    total += group.count;
    groups.push_back(group);
  }
  if (total > kMaxTasksPerJob) {
    return BadRequest("a job has at most " + std::to_string(kMaxTasksPerJob) +
                      " tasks");
  }
  return groups;
}

/// Errors: kBadRequest. Throws Poco::Exception if a value cannot be converted.
Result<JobSpec> ReadSpec(const Object& object) {
  JobSpec spec;
  BOOST_OUTCOME_TRY(id, ReadText(object, "id"));
  if (!IsJobId(id)) {
    return BadRequest("id is not of letters, digits, '-', '_' and '.'");
  }
  BOOST_OUTCOME_TRY(route, ReadText(object, "route"));
  BOOST_OUTCOME_TRY(team, ReadText(object, "team"));
  BOOST_OUTCOME_TRY(run, ReadText(object, "run"));
  BOOST_OUTCOME_TRY(gang, ReadFlag(object, "gang"));
  BOOST_OUTCOME_TRY(service, ReadFlag(object, "service"));
  spec.id = JobId{std::move(id)};
  spec.route = RouteName{std::move(route)};
  spec.team = TeamName{std::move(team)};
  spec.run = std::move(run);
  spec.gang = gang;
  spec.service = service;
  BOOST_OUTCOME_TRY(groups, ReadGroups(object));
  BOOST_OUTCOME_TRY(
      priority, ReadNumber(object, "priority", -kMaxPriority, kMaxPriority, 0));
  BOOST_OUTCOME_TRY(attempts, ReadNumber(object, "max_attempts", 1,
                                         kMaxAttemptsLimit, spec.max_attempts));
  BOOST_OUTCOME_TRY(expected, ReadDuration(object, "expected_run_time"));
  BOOST_OUTCOME_TRY(deadline, ReadDuration(object, "deadline"));
  spec.tasks = std::move(groups);
  spec.priority = static_cast<std::int32_t>(priority);
  spec.max_attempts = static_cast<std::uint32_t>(attempts);
  spec.expected_run_time = expected;
  spec.deadline = deadline;
  return spec;
}

/// Errors: kBadRequest.
Result<JobSpec> ParseSpec(const std::string& body) {
  try {
    Poco::JSON::Parser parser;
    parser.setDepth(8);
    const auto parsed = parser.parse(body);
    if (parsed.type() != typeid(Object::Ptr)) {
      return BadRequest("the body is not a JSON object");
    }
    return ReadSpec(*parsed.extract<Object::Ptr>());
  } catch (const Poco::Exception& exception) {
    return BadRequest("the body is malformed: " + exception.displayText());
  }
}

/// The segments of the path after "/jobs".
std::vector<std::string> SegmentsOf(const Poco::URI& uri) {
  std::vector<std::string> segments;
  uri.getPathSegments(segments);
  segments.erase(segments.begin());
  return segments;
}

/// The "timeout" parameter of the query; kDefaultWait if it is absent.
/// Errors: kBadRequest.
Result<Duration> ReadWaitTimeout(const Poco::URI& uri) {
  for (const auto& [key, value] : uri.getQueryParameters()) {
    if (key != "timeout") {
      continue;
    }
    const auto timeout = config::ParseDuration(value);
    if (!timeout) {
      return BadRequest("timeout is not a duration such as 500ms or 2s");
    }
    return *timeout;
  }
  return kDefaultWait;
}

/// Reads a request to list the jobs or to query, cancel or await one of them.
/// Errors: kBadRequest, kUnknownRoute.
Result<JobArrived> ReadJobOperation(const std::string& method,
                                    const Poco::URI& uri) {
  const std::vector<std::string> segments = SegmentsOf(uri);
  JobArrived arrived;
  arrived.timeout = kCallTimeout;
  if (segments.empty() && method == "GET") {
    arrived.operation = JobOperation::kList;
    return arrived;
  }
  if (segments.empty() || !IsJobId(segments[0])) {
    return BadRequest("the path names no job");
  }
  arrived.spec.id = JobId{segments[0]};
  if (segments.size() == 1 && method == "GET") {
    arrived.operation = JobOperation::kStatus;
    return arrived;
  }
  if (segments.size() == 1 && method == "DELETE") {
    arrived.operation = JobOperation::kCancel;
    return arrived;
  }
  if (segments.size() == 2 && segments[1] == "wait" && method == "GET") {
    BOOST_OUTCOME_TRY(timeout, ReadWaitTimeout(uri));
    arrived.operation = JobOperation::kWait;
    arrived.timeout = timeout;
    return arrived;
  }
  return Error{ErrorKind::kUnknownRoute, "no such call of /jobs"};
}

Object MakeJob(const JobStatus& status) {
  Object object;
  object.set("id", status.id.value);
  object.set("state", std::string(NameOf(status.state)));
  object.set("reason", status.reason);
  object.set("tasks", status.tasks);
  object.set("running", status.running);
  object.set("succeeded", status.succeeded);
  object.set("failed", status.failed);
  object.set("attempts", status.attempts);
  return object;
}

}  // namespace

bool IsJobTarget(std::string_view target) {
  const std::string_view path = target.substr(0, target.find('?'));
  return path == kPrefix || path.starts_with("/jobs/");
}

Result<JobArrived> ReadJobRequest(CallId call, const Payload& request) {
  try {
    const Poco::URI uri(request.target);
    if (request.method == "POST" && SegmentsOf(uri).empty()) {
      BOOST_OUTCOME_TRY(spec, ParseSpec(request.body));
      JobArrived arrived;
      arrived.call = call;
      arrived.operation = JobOperation::kSubmit;
      arrived.spec = std::move(spec);
      arrived.timeout = kCallTimeout;
      return arrived;
    }
    BOOST_OUTCOME_TRY(arrived, ReadJobOperation(request.method, uri));
    arrived.call = call;
    return std::move(arrived);
  } catch (const Poco::Exception& exception) {
    return BadRequest("the path is malformed: " + exception.displayText());
  }
}

PayloadPtr MakeJobResponse(const JobAnswer& answer) {
  if (answer.kind != ErrorKind::kNone) {
    return MakeErrorResponse(answer.kind, answer.detail);
  }
  Object root;
  Array jobs;
  for (const JobStatus& status : answer.jobs) {
    jobs.add(MakeJob(status));
  }
  root.set("jobs", jobs);
  std::ostringstream out;
  root.stringify(out);
  return MakeJsonResponse(kOk, out.str());
}

}  // namespace basilspread::node
