#include "support/jobs.h"

#include <Poco/JSON/Array.h>
#include <Poco/JSON/Object.h>
#include <Poco/JSON/Parser.h>
#include <fmt/format.h>

#include "support/http.h"

namespace test {
namespace {

using Poco::JSON::Object;

Object::Ptr Parse(const std::string& text) {
  return Poco::JSON::Parser().parse(text).extract<Object::Ptr>();
}

void AddRuns(const WorkerProcess& worker, const Object& stats,
             WorkerTotals& totals) {
  const auto runs = stats.getArray("runs");
  for (unsigned i = 0; i < runs->size(); ++i) {
    const Object::Ptr object = runs->getObject(i);
    TaskRun run;
    run.worker = worker.name;
    run.task = object->getValue<std::string>("task");
    run.attempt = object->getValue<unsigned>("attempt");
    run.state = object->getValue<std::string>("state");
    run.from = object->getValue<std::int64_t>("from");
    run.to = object->getValue<std::int64_t>("to");
    totals.runs.push_back(run);
  }
}

}  // namespace

WorkerTotals ReadTotals(const Cluster& cluster) {
  WorkerTotals totals;
  for (const WorkerProcess& worker : cluster.workers) {
    const Response response =
        Call(worker.port, "GET", "/stats", "", {}, std::chrono::seconds(2));
    if (response.status != 200) {
      continue;
    }
    const Object::Ptr stats = Parse(response.body);
    totals.starts += stats->getValue<int>("starts");
    totals.overcommits += stats->getValue<int>("overcommits");
    totals.doubles += stats->getValue<int>("doubles");
    totals.calls += stats->getValue<int>("calls");
    AddRuns(worker, *stats, totals);
  }
  return totals;
}

std::vector<std::string> Overlaps(const std::vector<TaskRun>& runs) {
  std::vector<std::string> overlaps;
  for (std::size_t i = 0; i < runs.size(); ++i) {
    for (std::size_t j = i + 1; j < runs.size(); ++j) {
      const bool is_overlap = runs[i].task == runs[j].task &&
                              runs[i].from < runs[j].to &&
                              runs[j].from < runs[i].to;
      if (is_overlap) {
        overlaps.push_back(fmt::format("{}: {}, {}", runs[i].task,
                                       runs[i].worker, runs[j].worker));
      }
    }
  }
  return overlaps;
}

std::string JobStateAt(const EntryProcess& entry, const std::string& job) {
  const Response response = Call(entry.http, "GET", "/jobs/" + job);
  if (response.status != 200) {
    return "";
  }
  const auto jobs = Parse(response.body)->getArray("jobs");
  return jobs->size() == 0 ? ""
                           : jobs->getObject(0)->getValue<std::string>("state");
}

std::string JobBody(const std::string& id, int count,
                    const std::string& command, const std::string& more) {
  return fmt::format(R"({{"id":"{}","route":"plan","team":"braan","run":"{}",)"
                     R"("tasks":[{{"count":{},"cpu_millicores":1000,)"
                     R"("memory_mebibytes":512}}]{}}})",
                     id, command, count, more);
}

}  // namespace test
